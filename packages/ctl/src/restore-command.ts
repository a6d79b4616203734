/** The command `restore`: founds a configuration on a log that has lost it. */
import { type Offset, type RecordId, createId } from '@hibiscushill/base';
import { SNAPSHOT_KIND, loadDeclarations, toCanonical } from '@hibiscushill/config';

import { ConfigReader } from './config-reader';
import type { CommandContext } from './context';
import { reportOutcome, reportProblems } from './declaration-commands';
import { type Report, createReport } from './report';

/**
 * Writes a snapshot of a directory where the log was trimmed and holds none that can be used.
 * Its version is the last offset, which no earlier version can exceed. Of two that race, every
 * reader takes the one that stands first, since both need the same records to be read.
 *
 * @param context - the log
 * @param directory - the declarations
 * @returns the version that is in force now
 */
export async function restore(context: CommandContext, directory: string): Promise<Report> {
  const loaded = await loadDeclarations(directory);
  if (loaded.isErr()) return reportProblems(loaded.error);
  const reader = new ConfigReader(context.log);
  const read = await reader.catchUp();
  if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
  if (reader.isAttached) {
    const line = `Version ${reader.version} is in force: use apply.`;
    return createReport('conflict', [line], { winner: reader.version });
  }
  const last = (reader.next ?? (0 as Offset)) - 1;
  const payload = { through: last, asOf: last, state: toCanonical(loaded.value) };
  const id = createId<RecordId>();
  await context.log.append('config', [{ id, kind: SNAPSHOT_KIND, payload }]);
  return conclude(reader, id);
}

/** Tells the outcome by what the log holds, whatever the append's answer was. */
async function conclude(reader: ConfigReader, id: RecordId): Promise<Report> {
  const read = await reader.catchUp();
  if (read.isOk() && reader.verdictOf(id)?.type === 'snapshot') {
    return createReport('ok', [`Restored as version ${reader.version}.`], {
      version: reader.version,
    });
  }
  if (read.isErr() || !reader.isAttached) {
    return createReport('unknown', ['The snapshot may still land. Run status.'], { record: id });
  }
  const line = `Conflict: version ${reader.version} was restored first.`;
  return createReport('conflict', [line], { winner: reader.version });
}
