/**
 * Checks a race of operators: compares what each process observed with the records of the log.
 */
import { CHANGE_KIND, ConfigProjection } from '@hibiscushill/config';
import type { LogRecord } from '@hibiscushill/log';

/** The outcome of one change, as reported to its operator. */
export interface ReportedOutcome {
  readonly operator: string;
  /** A number that identifies the declarations of the change. */
  readonly content: number;
  readonly outcome: string;
  readonly version: number;
}

/** A configuration version that a process applied. */
export interface AppliedVersion {
  readonly process: string;
  readonly version: number;
}

/** The records of the log after a race, and what the processes observed. */
export interface RaceHistory {
  readonly records: readonly LogRecord[];
  /** In the order in which each operator made its changes. */
  readonly reported: readonly ReportedOutcome[];
  /** In the order in which each process applied them. */
  readonly applied: readonly AppliedVersion[];
  /** Reads the content number from a change's payload. */
  readonly contentOf: (payload: unknown) => number;
}

/**
 * Checks that every reported outcome was right and that every process followed all versions.
 *
 * @param history - the records and observations of the race
 * @returns a line for each violation; empty if there is none
 */
export function checkRace(history: RaceHistory): string[] {
  const accepted = findAccepted(history);
  return [
    ...checkBases(history.records, accepted),
    ...history.reported.flatMap((each) => checkReportedOutcome(each, accepted)),
    ...checkAppliedVersions(history.applied, accepted),
  ];
}

/** Replays the records and maps each accepted version to its content. */
function findAccepted(history: RaceHistory): Map<number, number> {
  const projection = new ConfigProjection();
  const accepted = new Map<number, number>();
  history.records.forEach((record) => {
    projection.apply(record).forEach(({ effect }) => {
      if (effect.type !== 'accepted') return;
      accepted.set(effect.version, history.contentOf(record.payload));
    });
  });
  return accepted;
}

function checkBases(records: readonly LogRecord[], accepted: Map<number, number>): string[] {
  const changes = records.filter(
    (record) => record.kind === CHANGE_KIND && accepted.has(record.offset),
  );
  const bases = changes.map((record) => (record.payload as { base: number }).base);
  return new Set(bases).size === bases.length
    ? []
    : ['two changes were accepted on the same base version'];
}

function checkReportedOutcome(reported: ReportedOutcome, accepted: Map<number, number>): string[] {
  const { operator, content, outcome, version } = reported;
  const isAccepted = [...accepted.values()].includes(content);
  if (outcome === 'accepted' && accepted.get(version) !== content) {
    return [`${operator}: ${content} was reported as version ${version}, but is not that version`];
  }
  if (outcome === 'conflict' && isAccepted) {
    return [`${operator}: ${content} was reported as a conflict, but was accepted`];
  }
  return [];
}

function checkAppliedVersions(
  applied: readonly AppliedVersion[],
  accepted: Map<number, number>,
): string[] {
  const latest = new Map<string, number>();
  const problems: string[] = [];
  applied.forEach(({ process, version }) => {
    if (version <= (latest.get(process) ?? -1))
      problems.push(`${process}: went back to version ${version}`);
    if (!accepted.has(version))
      problems.push(`${process}: applied version ${version}, which was not accepted`);
    latest.set(process, version);
  });
  const last = Math.max(...accepted.keys());
  latest.forEach((version, process) => {
    if (version !== last)
      problems.push(`${process}: ended at version ${version} instead of ${last}`);
  });
  return problems;
}
