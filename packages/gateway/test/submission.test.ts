import type { Offset, WallTime } from '@hibiscushill/base';
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { ItemResult } from '../src/caller-port';
import { type ItemId, SubmissionBook, type SubmissionId } from '../src/submission';
import { createAccepted, createEnded, createHandover, createResults } from '../src/work-records';
import { createItem, createTerms, version } from './support';

const ID = 's1' as SubmissionId;

function apply(book: SubmissionBook, records: readonly NewRecord[]): void {
  records.forEach((record, index) => {
    // What a reader gets has been through JSON.
    const { id, kind, payload } = JSON.parse(JSON.stringify(record)) as NewRecord;
    const read: LogRecord = {
      id,
      kind,
      payload,
      offset: index as Offset,
      appendedAt: 0 as WallTime,
    };
    book.apply(read);
  });
}

function createResult(item: string, output: string): ItemResult {
  return { item: item as ItemId, state: 'complete', output, versions: [version(1)], score: 'r' };
}

function list(item: string, output: string): NewRecord {
  return createResults({ results: [{ submission: ID, result: createResult(item, output) }] });
}

describe('the book of submissions', () => {
  it('accepts a submission once, however often it is written', () => {
    const book = new SubmissionBook();
    const terms = createTerms(ID, 1);
    apply(book, [
      ...createAccepted(terms, [createItem('i1')]),
      list('i1', 'text'),
      ...createAccepted(terms, [createItem('i1')]),
    ]);
    expect(book.find(ID)?.results).toHaveLength(1);
  });

  it('counts a submission of several records only when all were read', () => {
    const book = new SubmissionBook();
    const items = [1, 2, 3].map((n) => createItem(`i${n}`, { body: 'A'.repeat(100_000) }));
    const records = createAccepted(createTerms(ID, 3), items);
    expect(records.length).toBeGreaterThan(1);
    apply(book, records.slice(0, -1));
    expect(book.find(ID)).toBeUndefined();
    apply(book, records);
    expect(book.find(ID)?.isAccepted).toBe(true);
  });

  it('lists the first result of an item, and no other', () => {
    const book = new SubmissionBook();
    const accepted = createAccepted(createTerms(ID, 1), [createItem('i1')]);
    apply(book, [...accepted, list('i1', 'first'), list('i1', 'second')]);
    expect(book.find(ID)?.results.map((one) => one.output)).toEqual(['first']);
  });

  it('ignores results of items that the submission does not have', () => {
    const book = new SubmissionBook();
    apply(book, [...createAccepted(createTerms(ID, 1), [createItem('i1')]), list('i2', 'x')]);
    expect(book.find(ID)?.results).toEqual([]);
  });

  it('keeps listing after the end, and is no longer open', () => {
    const book = new SubmissionBook();
    const accepted = createAccepted(createTerms(ID, 1), [createItem('i1')]);
    apply(book, [...accepted, createEnded(ID), list('i1', 'late')]);
    expect(book.listOpen()).toEqual([]);
    expect(book.find(ID)?.results).toHaveLength(1);
  });

  it('knows until when a leaving process still runs an item', () => {
    const book = new SubmissionBook();
    const until = 5_000 as WallTime;
    const items = [{ submission: ID, item: 'i1' as ItemId }];
    const accepted = createAccepted(createTerms(ID, 1), [createItem('i1')]);
    apply(book, [...accepted, createHandover({ until, items })]);
    expect(book.find(ID)?.heldUntil('i1' as ItemId)).toBe(until);
    expect(book.find(ID)?.heldUntil('i2' as ItemId)).toBe(0);
  });

  it('forgets only what is done and old', () => {
    const book = new SubmissionBook();
    apply(book, createAccepted(createTerms(ID, 1), [createItem('i1')]));
    book.forget(10 as WallTime);
    expect(book.find(ID)).toBeDefined();
    apply(book, [list('i1', 'text')]);
    book.forget(10 as WallTime);
    expect(book.find(ID)).toBeUndefined();
  });

  it('gives every reader the same positions, whatever is repeated', () => {
    const items = ['i1', 'i2', 'i3', 'i4'];
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...items), { maxLength: 20 }), (order) => {
        const accepted = createAccepted(
          createTerms(ID, items.length),
          items.map((item) => createItem(item)),
        );
        const records = order.map((item, index) => list(item, `${item}.${index}`));
        const [one, two] = [new SubmissionBook(), new SubmissionBook()];
        apply(one, [...accepted, ...records]);
        apply(two, [...accepted, ...records, ...records]);
        expect(two.find(ID)?.results).toEqual(one.find(ID)?.results);
        expect(new Set(one.find(ID)?.results.map((result) => result.item)).size).toBe(
          one.find(ID)?.results.length,
        );
      }),
      { seed: 7, numRuns: 200 },
    );
  });
});
