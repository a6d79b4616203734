import { ManualClock, type Offset, type RecordId, createId } from '@hibiscushill/base';
import { type LogRecord, MemoryLog } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { FoldReader, type RecordFold } from '../src';

class Fold implements RecordFold {
  next: Offset | undefined = 0 as Offset;

  readonly taken: number[] = [];

  startAt(first: Offset): void {
    this.next = first;
  }

  apply(record: LogRecord): void {
    if (record.offset !== this.next) return;
    this.taken.push(record.offset);
    this.next = (record.offset + 1) as Offset;
  }
}

class CountingLog extends MemoryLog {
  reads = 0;

  override read(...args: Parameters<MemoryLog['read']>): ReturnType<MemoryLog['read']> {
    this.reads += 1;
    return super.read(...args);
  }
}

describe('the reader of a fold', () => {
  it('reads once for a whole page of records that a tail brings out of order', async () => {
    const log = new CountingLog({ clock: new ManualClock() });
    for (let count = 0; count < 200; count += 1) {
      await log.append('usage', [{ id: createId<RecordId>(), kind: 'k', payload: null }]);
    }
    const fold = new Fold();
    const reader = new FoldReader(log, 'usage', fold);
    const page = (await log.read('usage', 0 as Offset))._unsafeUnwrap();
    log.reads = 0;
    page.records.slice(1).forEach((record) => reader.take(record));
    expect(await reader.readToEnd()).toBe(true);
    expect(fold.taken).toHaveLength(200);
    expect(log.reads).toBeLessThan(10);
  });
});
