/** The checks of a race of operators, over what each process saw and the log's records. */
import { CHANGE_KIND, ConfigHistory } from '@hibiscushill/config';
import type { LogRecord } from '@hibiscushill/log';

/** What an operator was told about one change. */
export interface Told {
  readonly operator: string;
  /** The content that the change would have put in force. */
  readonly content: number;
  readonly outcome: string;
  readonly version: number;
}

/** A version that came into force in a process. */
export interface Seen {
  readonly process: string;
  readonly version: number;
}

/** What a race left behind. */
export interface RaceHistory {
  readonly records: readonly LogRecord[];
  readonly told: readonly Told[];
  readonly seen: readonly Seen[];
  /** The content of a change's payload. */
  readonly contentOf: (payload: unknown) => number;
}

/**
 * Checks a race.
 *
 * @param history - what it left behind
 * @returns what is wrong; nothing when all holds
 */
export function checkRace(history: RaceHistory): string[] {
  const accepted = judge(history);
  return [
    ...checkWinners(history.records, accepted),
    ...history.told.flatMap((told) => checkTold(told, accepted)),
    ...checkSeen(history.seen, accepted),
  ];
}

/** Maps each accepted version to its content. */
function judge(history: RaceHistory): Map<number, number> {
  const reference = new ConfigHistory();
  const accepted = new Map<number, number>();
  history.records.forEach((record) => {
    reference.read(record).forEach(({ verdict }) => {
      if (verdict.type !== 'accepted') return;
      accepted.set(verdict.version, history.contentOf(record.payload));
    });
  });
  return accepted;
}

function checkWinners(records: readonly LogRecord[], accepted: Map<number, number>): string[] {
  const changes = records.filter(
    (record) => record.kind === CHANGE_KIND && accepted.has(record.offset),
  );
  const bases = changes.map((record) => (record.payload as { base: number }).base);
  return new Set(bases).size === bases.length ? [] : ['two changes were accepted on one base'];
}

function checkTold(told: Told, accepted: Map<number, number>): string[] {
  const { operator, content, outcome, version } = told;
  const isInForce = [...accepted.values()].includes(content);
  if (outcome === 'accepted' && accepted.get(version) !== content) {
    return [`${operator} was told that ${content} is version ${version}, which it is not`];
  }
  if (outcome === 'conflict' && isInForce) {
    return [`${operator} was told that ${content} lost, and it was accepted`];
  }
  return [];
}

function checkSeen(seen: readonly Seen[], accepted: Map<number, number>): string[] {
  const latest = new Map<string, number>();
  const problems: string[] = [];
  seen.forEach(({ process, version }) => {
    if (version <= (latest.get(process) ?? -1)) problems.push(`${process} went back to ${version}`);
    if (!accepted.has(version)) problems.push(`${process} took ${version}, never accepted`);
    latest.set(process, version);
  });
  const last = Math.max(...accepted.keys());
  latest.forEach((version, process) => {
    if (version !== last) problems.push(`${process} ended at ${version}, not at ${last}`);
  });
  return problems;
}
