/** Reads a stream up to its end, beside the tail that follows it. */
import type { Offset } from '@hibiscushill/base';
import type { Log, LogRecord, StreamName } from '@hibiscushill/platform';

import type { ClaimHistory } from './history';

const PAGE_RECORDS = 500;

/**
 * Reads what a history hasn't taken yet, until a read finds nothing more.
 *
 * @param log - the log
 * @param stream - the history's stream
 * @param history - tells where to go on; starts anew where records were trimmed
 * @param apply - takes each record
 * @returns whether the stream's end was reached
 */
export async function readToEnd(
  log: Log,
  stream: StreamName,
  history: ClaimHistory,
  apply: (record: LogRecord) => void,
): Promise<boolean> {
  for (;;) {
    const from = history.next ?? (0 as Offset);
    const page = await log.read(stream, from, { limit: PAGE_RECORDS, waitMs: 0 });
    if (page.isErr()) {
      if (page.error.code !== 'offset_trimmed') return false;
      const bounds = await log.bounds(stream);
      if (bounds.isErr()) return false;
      history.startAt(bounds.value.first);
      continue;
    }
    page.value.records.forEach(apply);
    if (page.value.records.length === 0) return true;
  }
}
