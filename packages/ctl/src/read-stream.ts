/** Reads all records of a stream of the log. */
import type { Failure, Offset } from '@hibiscushill/base';
import type { Log, LogRecord, StreamName } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

const PAGE_LIMIT = 500;

/**
 * Reads the records that a stream holds now.
 *
 * @param log - the log
 * @param stream - the stream
 * @param onRecord - called with each record, in order of offset
 * @returns the first offset that the stream holds, or why the stream could not be read
 */
export async function readStream(
  log: Log,
  stream: StreamName,
  onRecord: (record: LogRecord) => void,
): Promise<Result<Offset, Failure>> {
  const bounds = await log.bounds(stream);
  if (bounds.isErr()) return err(bounds.error);
  const { first, next } = bounds.value;
  let offset = first;
  while (offset < next) {
    const page = await log.read(stream, offset, { limit: PAGE_LIMIT });
    if (page.isErr()) return err(page.error);
    page.value.records.forEach(onRecord);
    offset = page.value.next;
  }
  return ok(first);
}
