import type { Offset, WallTime } from '@hibiscushill/base';
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { type ItemId, SubmissionRegistry, type SubmissionId } from '../src/submission';
import {
  type ListedResult,
  createAcceptedRecord,
  createEndedRecord,
  createHandoverRecord,
  createResultsRecord,
  parseItemPart,
  splitIntoParts,
} from '../src/submission-records';
import { createItem, createTerms, version } from './support';

const ID = 's1' as SubmissionId;

function apply(submissions: SubmissionRegistry, records: readonly NewRecord[]): void {
  records.forEach((record, index) => {
    // A reader gets a record that was encoded as JSON.
    const { id, kind, payload } = JSON.parse(JSON.stringify(record)) as NewRecord;
    const read: LogRecord = {
      id,
      kind,
      payload,
      offset: index as Offset,
      appendedAt: 0 as WallTime,
    };
    submissions.apply(read);
  });
}

function createSubmissionRecord(itemCount: number): NewRecord {
  return createAcceptedRecord({
    terms: createTerms(ID, itemCount),
    items: [{ offset: 0, bytes: 9 }],
  });
}

function createResult(item: string, offset: number): ListedResult {
  return {
    item: item as ItemId,
    state: 'complete',
    text: { offset, bytes: 1 },
    versions: [version(1)],
    score: 'r',
  };
}

function createResultRecord(item: string, offset: number): NewRecord {
  return createResultsRecord({ results: [{ submission: ID, result: createResult(item, offset) }] });
}

describe('the submission registry', () => {
  it('accepts a submission once, however often its record is repeated', () => {
    const submissions = new SubmissionRegistry();
    apply(submissions, [
      createSubmissionRecord(1),
      createResultRecord('i1', 1),
      createSubmissionRecord(1),
    ]);
    expect(submissions.find(ID)?.results).toHaveLength(1);
  });

  it('keeps the first result of an item, and no other', () => {
    const submissions = new SubmissionRegistry();
    apply(submissions, [
      createSubmissionRecord(1),
      createResultRecord('i1', 1),
      createResultRecord('i1', 2),
    ]);
    expect(submissions.find(ID)?.results.map((one) => one.text?.offset)).toEqual([1]);
  });

  it('adds results after the end of a submission, which is no longer open', () => {
    const submissions = new SubmissionRegistry();
    apply(submissions, [
      createSubmissionRecord(1),
      createEndedRecord(ID),
      createResultRecord('i1', 1),
    ]);
    expect(submissions.listOpen()).toEqual([]);
    expect(submissions.find(ID)?.results).toHaveLength(1);
  });

  it('knows until when a process that is shutting down runs an item', () => {
    const submissions = new SubmissionRegistry();
    const until = 5_000 as WallTime;
    const items = [{ submission: ID, item: 'i1' as ItemId }];
    apply(submissions, [createSubmissionRecord(1), createHandoverRecord({ until, items })]);
    expect(submissions.find(ID)?.handoverDeadline('i1' as ItemId)).toBe(until);
    expect(submissions.find(ID)?.handoverDeadline('i2' as ItemId)).toBe(0);
  });

  it('removes only submissions that are finished and old', () => {
    const submissions = new SubmissionRegistry();
    apply(submissions, [createSubmissionRecord(1)]);
    submissions.removeFinished(10 as WallTime);
    expect(submissions.find(ID)).toBeDefined();
    apply(submissions, [createResultRecord('i1', 1)]);
    submissions.removeFinished(10 as WallTime);
    expect(submissions.find(ID)).toBeUndefined();
  });

  it('gives results the same positions for every reader, whatever is repeated', () => {
    const items = ['i1', 'i2', 'i3', 'i4'];
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...items), { maxLength: 20 }), (order) => {
        const accepted = createSubmissionRecord(items.length);
        const records = order.map((item, index) => createResultRecord(item, index));
        const [one, two] = [new SubmissionRegistry(), new SubmissionRegistry()];
        apply(one, [accepted, ...records]);
        apply(two, [accepted, ...records, ...records]);
        expect(two.find(ID)?.results).toEqual(one.find(ID)?.results);
        expect(new Set(one.find(ID)?.results.map((result) => result.item)).size).toBe(
          one.find(ID)?.results.length,
        );
      }),
      { seed: 7, numRuns: 200 },
    );
  });
});

describe('the items of a submission', () => {
  it('are split into parts that each fit into a record, and can be read back', () => {
    const items = [1, 2, 3].map((n) => createItem(`i${n}`, { body: 'A'.repeat(100_000) }));
    const parts = splitIntoParts(items);
    expect(parts.map((part) => part.length)).toEqual([1, 1, 1]);
    expect(parts.flatMap((part) => parseItemPart(JSON.parse(JSON.stringify(part))))).toEqual(items);
  });

  it('are empty when the stored value is something else', () => {
    expect(parseItemPart('text')).toEqual([]);
    expect(parseItemPart([{ id: 1 }])).toEqual([]);
  });
});
