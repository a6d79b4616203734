/** Reads a whole stream of the log. */
import type { Failure, Offset } from '@hibiscushill/base';
import type { Log, LogRecord, StreamName } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

const PAGE_LIMIT = 500;

/**
 * Reads what a stream holds now.
 *
 * @param log - the log
 * @param stream - the stream
 * @param handle - takes each record in order
 * @returns the first offset read, or why the stream could not be read
 */
export async function readStream(
  log: Log,
  stream: StreamName,
  handle: (record: LogRecord) => void,
): Promise<Result<Offset, Failure>> {
  const bounds = await log.bounds(stream);
  if (bounds.isErr()) return err(bounds.error);
  const { first, next } = bounds.value;
  let at = first;
  while (at < next) {
    const page = await log.read(stream, at, { limit: PAGE_LIMIT });
    if (page.isErr()) return err(page.error);
    page.value.records.forEach(handle);
    at = page.value.next;
  }
  return ok(first);
}
