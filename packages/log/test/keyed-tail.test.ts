import { setTimeout as sleep } from 'node:timers/promises';

import { type Failure, ManualClock, type Offset, RandomSource } from '@hibiscushill/base';
import { ResultAsync, okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';

import {
  KeyedLog,
  type KeyedPage,
  type KeyedRecord,
  KeyedRecordHandler,
  type KeyedSnapshot,
  KeyedTail,
} from '../src';

const WAIT_MS = 10;

/** A log whose snapshot is empty, and that returns one record for each read. */
class OneByOneLog extends KeyedLog {
  override readonly name = 'keyed.test';

  readonly #keys: readonly string[];

  constructor(keys: readonly string[]) {
    super();
    this.#keys = keys;
  }

  override readSnapshot(): ResultAsync<KeyedSnapshot, Failure> {
    return okAsync({ records: [], end: 0 as Offset });
  }

  override read(from: Offset): ResultAsync<KeyedPage, Failure> {
    const end = this.#keys.length as Offset;
    const key = this.#keys[from];
    if (key === undefined) {
      return ResultAsync.fromSafePromise(sleep(WAIT_MS, { records: [], next: end, end }));
    }
    const record = { key, value: new Uint8Array() };
    return okAsync({ records: [record], next: (from + 1) as Offset, end });
  }

  override append(): ResultAsync<void, Failure> {
    return okAsync(undefined);
  }
}

class FailingHandler extends KeyedRecordHandler {
  readonly keys: string[] = [];

  override onSnapshot(): void {
    throw new Error('the snapshot is odd');
  }

  override onRecord({ key }: KeyedRecord): void {
    if (key === 'odd') throw new Error('the record is odd');
    this.keys.push(key);
  }
}

describe('a keyed tail', () => {
  // Issue 52: a process stopped following the list of targets after one odd entry.
  it('goes on reading after records that its handler can not take', async () => {
    const handler = new FailingHandler();
    const tail = new KeyedTail(
      {
        log: new OneByOneLog(['a', 'odd', 'b']),
        clock: new ManualClock(0),
        random: new RandomSource(1),
      },
      handler,
    );
    tail.start();
    await expect.poll(() => handler.keys).toEqual(['a', 'b']);
    await tail.stop();
  });
});
