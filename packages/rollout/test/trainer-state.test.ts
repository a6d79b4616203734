/** The fold of a trainer's stream. */
import {
  createId,
  type Offset,
  type RecordId,
  type SampleId,
  type WallTime,
} from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { toUndefined } from 'fp-ts/Option';
import { expect, test } from 'vitest';

import { RECORD_KINDS, TrainerState } from '../src';
import { STEP, TRAINER, TestClaims, listIds, makeGroups } from './support';

/** Appends records to a fold as a stream would. */
class Stream {
  readonly history = new TrainerState(TRAINER.name, new TestClaims());

  readonly records: LogRecord[] = [];

  add(kind: string, payload: object): boolean {
    const record = {
      offset: this.records.length as Offset,
      id: createId<RecordId>(),
      kind,
      payload,
      appendedAt: this.records.length as WallTime,
    };
    this.records.push(record);
    return this.history.apply(record);
  }

  create(claim: number): boolean {
    const body = { step: STEP, groups: makeGroups(1, 3), digest: 'd' };
    return this.add(RECORD_KINDS.create, { claim, ...body });
  }

  number(claim: number, from: number, ids: string[], more: object = {}): boolean {
    const payload = { target: 't', incarnation: 'i', attempt: 'a', whole: true };
    const samples = ids.map((id) => ({ id, digest: id, segments: [], tokens: 0, payload }));
    const body = { step: STEP, from, samples, voids: [], passed: 0, ...more };
    return this.add(RECORD_KINDS.numbers, { claim, ...body });
  }

  read() {
    return toUndefined(this.history.findStep(STEP));
  }
}

const [A = '', B = '', C = ''] = listIds(1, 3);

test('a numbering that lands after a successor has claimed is ignored', () => {
  const stream = new Stream();
  stream.add('claim', {});
  stream.create(0);
  stream.number(0, 1, [A]);
  stream.add('claim', {});
  expect(stream.number(0, 2, [B])).toBe(false);
  expect(stream.number(3, 2, [C])).toBe(true);
  expect(stream.read()?.numberOf(A as SampleId)).toBe(1);
  expect(stream.read()?.numberOf(B as SampleId)).toBeUndefined();
  expect(stream.read()?.numberOf(C as SampleId)).toBe(2);
});

test('a fold that trusted every record would give one number to two samples', () => {
  const stream = new Stream();
  const naive: string[] = [];
  stream.add('claim', {});
  stream.create(0);
  stream.add('claim', {});
  stream.number(2, 1, [C]);
  stream.number(0, 1, [B]);
  stream.records.forEach(({ kind, payload }) => {
    if (kind !== RECORD_KINDS.numbers) return;
    const { from, samples } = payload as { from: number; samples: { id: string }[] };
    samples.forEach(({ id }, index) => {
      naive[from + index] = id;
    });
  });
  expect(naive[1]).toBe(B);
  expect(stream.read()?.numberOf(C as SampleId)).toBe(1);
  expect(stream.read()?.numberOf(B as SampleId)).toBeUndefined();
});

test.each([
  ['a number that was given out', 1, [B], {}],
  ['a gap in the numbers', 3, [B], {}],
  ['a sample that has a number', 2, [A], {}],
  ['a sample twice', 2, [B, B], {}],
  ['a sample of no step', 2, ['x'], {}],
  ['a void number that was not given out', 2, [B], { voids: [2] }],
  ['a cursor ahead of the numbers', 2, [B], { passed: 2 }],
])('a numbering with %s is ignored whole', (_, from, ids, more) => {
  const stream = new Stream();
  stream.add('claim', {});
  stream.create(0);
  stream.number(0, 1, [A]);
  expect(stream.number(0, from, ids, more)).toBe(false);
  expect(stream.read()?.lastNumber).toBe(1);
});

test('a void number stays void and its sample gets a later one', () => {
  const stream = new Stream();
  stream.add('claim', {});
  stream.create(0);
  stream.number(0, 1, [A, B]);
  expect(stream.number(0, 3, [A], { voids: [1] })).toBe(true);
  expect(stream.read()?.isVoid(1)).toBe(true);
  expect(stream.read()?.numberOf(A as SampleId)).toBe(3);
  expect(stream.number(0, 4, [], { voids: [1] })).toBe(false);
});

test('a number that the cursor has passed cannot become void', () => {
  const stream = new Stream();
  stream.add('claim', {});
  stream.create(0);
  stream.number(0, 1, [A]);
  stream.number(0, 2, [], { passed: 1 });
  expect(stream.number(0, 2, [], { voids: [1] })).toBe(false);
});

test('a reader that starts at a snapshot reaches the same state', () => {
  const stream = new Stream();
  stream.add('claim', {});
  stream.add(RECORD_KINDS.publish, { claim: 0, version: 4, source: 's' });
  stream.create(0);
  stream.number(0, 1, [A, B], { passed: 0 });
  stream.number(0, 3, [B], { voids: [2], passed: 1 });
  const late = new Stream();
  late.history.reset();
  late.add('claim', {});
  late.add(RECORD_KINDS.snapshot, { claim: 0, ...stream.history.toSnapshot() });
  expect(late.history.isComplete).toBe(true);
  expect(late.history.toSnapshot()).toEqual(stream.history.toSnapshot());
  expect(late.number(0, 4, [C])).toBe(true);
});

test('weight versions rise', () => {
  const stream = new Stream();
  stream.add('claim', {});
  const verdicts = [4, 4, 3, 5].map((version) =>
    stream.add(RECORD_KINDS.publish, { claim: 0, version, source: 's' }),
  );
  expect(verdicts).toEqual([true, false, false, true]);
});
