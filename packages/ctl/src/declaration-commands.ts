/** The commands `validate`, `plan`, `apply` and `outcome`. */
import type { RecordId } from '@hibiscushill/base';
import {
  type FileProblem,
  compareDeclarations,
  formatProblem,
  loadDeclarations,
} from '@hibiscushill/config';

import { type ApplyOutcome, ChangeApplier, EMPTY_DECLARATIONS } from './change-applier';
import { formatChanges, formatProblems } from './format-changes';
import { ConfigReader } from './config-reader';
import type { CommandContext } from './context';
import { type Report, createReport } from './report';

/** Validates the declarations in a directory. */
export async function validate(_: CommandContext, directory: string): Promise<Report> {
  const loaded = await loadDeclarations(directory);
  if (loaded.isErr()) return reportProblems(loaded.error);
  const { teams, keys, services, trainers } = loaded.value;
  const counts = {
    teams: teams.length,
    keys: keys.length,
    services: services.length,
    trainers: trainers.length,
  };
  const countTexts = Object.entries(counts).map(([section, count]) => `${count} ${section}`);
  return createReport('ok', [`Valid: ${countTexts.join(', ')}.`], { counts });
}

/** Reports what applying the declarations in a directory would change. */
export async function plan(context: CommandContext, directory: string): Promise<Report> {
  const loaded = await loadDeclarations(directory);
  if (loaded.isErr()) return reportProblems(loaded.error);
  const reader = new ConfigReader(context.log);
  const read = await reader.catchUp();
  if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
  if (!reader.isComplete) return reportOutcome({ type: 'detached' });
  const changes = compareDeclarations(
    reader.state?.declarations ?? EMPTY_DECLARATIONS,
    loaded.value,
  );
  const comparedWith = reader.version < 0 ? 'no configuration' : `version ${reader.version}`;
  const lines = [...formatChanges(changes), `Compared with ${comparedWith}.`];
  return createReport('ok', lines, { version: reader.version, changes });
}

/** Applies the declarations in a directory and reports the outcome. */
export async function apply(
  context: CommandContext,
  directory: string,
  expected?: number,
): Promise<Report> {
  const loaded = await loadDeclarations(directory);
  if (loaded.isErr()) return reportProblems(loaded.error);
  return reportOutcome(await new ChangeApplier(context).apply(loaded.value, expected));
}

/**
 * Determines the outcome of a change that was reported as unknown.
 *
 * @param context - the log to read
 * @param id - the id of the change's record
 * @returns the outcome, or `missing` if the log does not hold the record
 */
export async function findOutcome(context: CommandContext, id: string): Promise<Report> {
  const reader = new ConfigReader(context.log);
  const read = await reader.catchUp();
  if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
  const effect = reader.effectOf(id as RecordId);
  if (effect?.type === 'accepted') {
    const { version } = effect;
    return createReport('ok', [`Accepted as version ${version}.`], { version });
  }
  if (effect?.type === 'invalid') {
    return reportOutcome({ type: 'invalid', problems: effect.problems });
  }
  if (effect?.type === 'conflict') {
    return reportOutcome({ type: 'conflict', winner: effect.winner, changes: [] });
  }
  const line = `The log does not hold record ${id}. It may have been trimmed, or may still be stored.`;
  return createReport('missing', [line], { record: id });
}

/** Creates the report on the outcome of a change. */
export function reportOutcome(outcome: ApplyOutcome): Report {
  switch (outcome.type) {
    case 'accepted':
      return createReport(
        'ok',
        [...formatChanges(outcome.changes), `Accepted as version ${outcome.version}.`],
        { version: outcome.version, changed: true, changes: outcome.changes },
      );
    case 'unchanged':
      return createReport('ok', [`Nothing differs from version ${outcome.version}.`], {
        version: outcome.version,
        changed: false,
      });
    case 'conflict':
      return createReport(
        'conflict',
        [
          `Conflict: version ${outcome.winner} was accepted first.`,
          ...(outcome.changes.length > 0 ? ['It changed:', ...formatChanges(outcome.changes)] : []),
          'Merge it into your files, run plan again, then apply.',
        ],
        { winner: outcome.winner, changes: outcome.changes },
      );
    case 'invalid':
      return createReport('invalid', formatProblems(outcome.problems), {
        problems: outcome.problems,
      });
    case 'unknown':
      return createReport(
        'unknown',
        [
          `Unknown: record ${outcome.record} on version ${outcome.base} may still be accepted.`,
          `Run: hibiscusctl outcome ${outcome.record}`,
        ],
        { record: outcome.record, base: outcome.base },
      );
    case 'unavailable':
      return createReport(
        'unavailable',
        [`The log is not available: ${outcome.failure.detail}. Nothing was changed.`],
        { failure: outcome.failure },
      );
    default:
      return createReport('detached', [
        'The log was trimmed and holds no usable snapshot.',
        'A running entry writes one. If no entry is running, use restore.',
      ]);
  }
}

/** Creates the report on invalid declaration files. */
export function reportProblems(problems: readonly FileProblem[]): Report {
  return createReport('invalid', problems.map(formatProblem), { problems });
}
