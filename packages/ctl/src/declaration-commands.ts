/** The commands `validate`, `plan`, `apply` and `outcome`. */
import type { RecordId } from '@hibiscushill/base';
import {
  type FileProblem,
  compareDeclarations,
  formatProblem,
  loadDeclarations,
} from '@hibiscushill/config';

import { type ApplyOutcome, ChangeApplier, NOTHING } from './applying';
import { formatChanges, formatProblems } from './changes';
import { ConfigReader } from './config-reader';
import type { CommandContext } from './context';
import { type Report, createReport } from './report';

/** Checks a directory of declarations. */
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
  const text = Object.entries(counts).map(([section, count]) => `${count} ${section}`);
  return createReport('ok', [`Valid: ${text.join(', ')}.`], { counts });
}

/** Shows what applying a directory would change. */
export async function plan(context: CommandContext, directory: string): Promise<Report> {
  const loaded = await loadDeclarations(directory);
  if (loaded.isErr()) return reportProblems(loaded.error);
  const reader = new ConfigReader(context.log);
  const read = await reader.catchUp();
  if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
  if (!reader.isAttached) return reportOutcome({ type: 'detached' });
  const changes = compareDeclarations(reader.state?.declarations ?? NOTHING, loaded.value);
  const against = reader.version < 0 ? 'no configuration' : `version ${reader.version}`;
  const lines = [...formatChanges(changes), `Compared with ${against}.`];
  return createReport('ok', lines, { version: reader.version, changes });
}

/** Puts a directory of declarations in force. */
export async function apply(
  context: CommandContext,
  directory: string,
  expected?: number,
): Promise<Report> {
  const loaded = await loadDeclarations(directory);
  if (loaded.isErr()) return reportProblems(loaded.error);
  return reportOutcome(await new ChangeApplier(context).apply(loaded.value, expected));
}

/** Finds out what became of a change whose outcome was unknown. */
export async function findOutcome(context: CommandContext, id: string): Promise<Report> {
  const reader = new ConfigReader(context.log);
  const read = await reader.catchUp();
  if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
  const verdict = reader.verdictOf(id as RecordId);
  if (verdict?.type === 'accepted') {
    const { version } = verdict;
    return createReport('ok', [`Accepted as version ${version}.`], { version });
  }
  if (verdict?.type === 'invalid') {
    return reportOutcome({ type: 'invalid', problems: verdict.problems });
  }
  if (verdict?.type === 'conflict') {
    return reportOutcome({ type: 'conflict', winner: verdict.winner, changes: [] });
  }
  const line = `The log holds no record ${id} now; it may have been dropped, or may still land.`;
  return createReport('missing', [line], { record: id });
}

/** Tells what became of a change. */
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
          ...(outcome.changes.length > 0 ? ['It brought:', ...formatChanges(outcome.changes)] : []),
          'Take it into your files, plan again, then apply.',
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
        [`The log did not answer: ${outcome.failure.detail}. Nothing was changed.`],
        { failure: outcome.failure },
      );
    default:
      return createReport('detached', [
        'The log was trimmed and holds no snapshot that can be relied on.',
        'A running entry writes one; where none runs, use restore.',
      ]);
  }
}

/** Tells the problems of files. */
export function reportProblems(problems: readonly FileProblem[]): Report {
  return createReport('invalid', problems.map(formatProblem), { problems });
}
