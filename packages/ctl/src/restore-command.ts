/** The command `restore`: writes a new configuration to a log that lost it when it was trimmed. */
import { type Offset, type RecordId, createId } from '@hibiscushill/base';
import { SNAPSHOT_KIND, loadDeclarations, toCanonical } from '@hibiscushill/config';

import { ConfigReader } from './config-reader';
import type { CommandContext } from './context';
import { reportOutcome, reportProblems } from './declaration-commands';
import { type Report, createReport } from './report';

/**
 * Writes a snapshot of the declarations in a directory to a log that was trimmed and holds no
 * usable snapshot. Its version is the last offset of the log, which no earlier version can exceed.
 * If two commands race, every reader uses the snapshot that comes first on the log, since a reader
 * can apply either one as soon as it has read the same records.
 *
 * @param context - the log to write to
 * @param directory - the directory of declarations
 * @returns the restored version, or why the configuration was not restored
 */
export async function restore(context: CommandContext, directory: string): Promise<Report> {
  const loaded = await loadDeclarations(directory);
  if (loaded.isErr()) return reportProblems(loaded.error);
  const reader = new ConfigReader(context.log);
  const read = await reader.catchUp();
  if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
  if (reader.isComplete) {
    const line = `Version ${reader.version} is in force: use apply.`;
    return createReport('conflict', [line], { winner: reader.version });
  }
  const lastOffset = (reader.next ?? (0 as Offset)) - 1;
  const payload = { through: lastOffset, asOf: lastOffset, state: toCanonical(loaded.value) };
  const id = createId<RecordId>();
  await context.log.append('config', [{ id, kind: SNAPSHOT_KIND, payload }]);
  return reportRestored(reader, id);
}

/** Reports the outcome from the log's records, independently of the append's response. */
async function reportRestored(reader: ConfigReader, id: RecordId): Promise<Report> {
  const read = await reader.catchUp();
  if (read.isOk() && reader.effectOf(id)?.type === 'snapshot') {
    return createReport('ok', [`Restored as version ${reader.version}.`], {
      version: reader.version,
    });
  }
  if (read.isErr() || !reader.isComplete) {
    return createReport('unknown', ['The snapshot may still be stored. Run status.'], {
      record: id,
    });
  }
  const line = `Conflict: version ${reader.version} was restored first.`;
  return createReport('conflict', [line], { winner: reader.version });
}
