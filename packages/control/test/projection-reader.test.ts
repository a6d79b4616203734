import { ManualClock, type Offset, type RecordId, createId } from '@hibiscushill/base';
import { type LogRecord, MemoryLog } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { ProjectionReader, type StreamProjection } from '../src';

class RecordingProjection implements StreamProjection {
  next: Offset | undefined = 0 as Offset;

  readonly applied: number[] = [];

  startAt(first: Offset): void {
    this.next = first;
  }

  apply(record: LogRecord): void {
    if (record.offset !== this.next) return;
    this.applied.push(record.offset);
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

describe('ProjectionReader', () => {
  it('reads a page once when a tail passes many records that are ahead of the projection', async () => {
    const log = new CountingLog({ clock: new ManualClock() });
    for (let count = 0; count < 200; count += 1) {
      await log.append('usage', [{ id: createId<RecordId>(), kind: 'k', payload: null }]);
    }
    const projection = new RecordingProjection();
    const reader = new ProjectionReader(log, 'usage', projection);
    const page = (await log.read('usage', 0 as Offset))._unsafeUnwrap();
    log.reads = 0;
    page.records.slice(1).forEach((record) => reader.takeFromTail(record));
    expect(await reader.readToEnd()).toBe(true);
    expect(projection.applied).toHaveLength(200);
    expect(log.reads).toBeLessThan(10);
  });
});
