/** The state of a trainer, built from the records of its stream. */
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
import { STEP, TRAINER, FakeClaims, listSampleIds, createGroups } from './support';

/** A stream whose records are applied to a state as they are appended. */
class TestStream {
  readonly state = new TrainerState(TRAINER.name, new FakeClaims());

  readonly records: LogRecord[] = [];

  append(kind: string, payload: object): boolean {
    const record = {
      offset: this.records.length as Offset,
      id: createId<RecordId>(),
      kind,
      payload,
      appendedAt: this.records.length as WallTime,
    };
    this.records.push(record);
    return this.state.apply(record);
  }

  appendCreate(claim: number): boolean {
    const body = { step: STEP, groups: createGroups(1, 3), digest: 'd' };
    return this.append(RECORD_KINDS.create, { claim, ...body });
  }

  appendNumbers(claim: number, from: number, ids: string[], overrides: object = {}): boolean {
    const payload = { target: 't', incarnation: 'i', attempt: 'a', whole: true };
    const samples = ids.map((id) => ({ id, digest: id, segments: [], tokens: 0, payload }));
    const body = { step: STEP, from, samples, voids: [], passed: 0, ...overrides };
    return this.append(RECORD_KINDS.numbers, { claim, ...body });
  }

  findStep() {
    return toUndefined(this.state.findStep(STEP));
  }
}

const [A = '', B = '', C = ''] = listSampleIds(1, 3);

test('a numbers record that is appended after a later claim is ignored', () => {
  const stream = new TestStream();
  stream.append('claim', {});
  stream.appendCreate(0);
  stream.appendNumbers(0, 1, [A]);
  stream.append('claim', {});
  expect(stream.appendNumbers(0, 2, [B])).toBe(false);
  expect(stream.appendNumbers(3, 2, [C])).toBe(true);
  expect(stream.findStep()?.numberOf(A as SampleId)).toBe(1);
  expect(stream.findStep()?.numberOf(B as SampleId)).toBeUndefined();
  expect(stream.findStep()?.numberOf(C as SampleId)).toBe(2);
});

test('applying the records of all owners would assign one number to two samples', () => {
  const stream = new TestStream();
  const samplesByNumber: string[] = [];
  stream.append('claim', {});
  stream.appendCreate(0);
  stream.append('claim', {});
  stream.appendNumbers(2, 1, [C]);
  stream.appendNumbers(0, 1, [B]);
  stream.records.forEach(({ kind, payload }) => {
    if (kind !== RECORD_KINDS.numbers) return;
    const { from, samples } = payload as { from: number; samples: { id: string }[] };
    samples.forEach(({ id }, index) => {
      samplesByNumber[from + index] = id;
    });
  });
  expect(samplesByNumber[1]).toBe(B);
  expect(stream.findStep()?.numberOf(C as SampleId)).toBe(1);
  expect(stream.findStep()?.numberOf(B as SampleId)).toBeUndefined();
});

test.each([
  ['a number that is already assigned', 1, [B], {}],
  ['a gap in the numbers', 3, [B], {}],
  ['a sample that already has a number', 2, [A], {}],
  ['a sample twice', 2, [B, B], {}],
  ['a sample that is not in the step', 2, ['x'], {}],
  ['a void number that is not assigned', 2, [B], { voids: [2] }],
  ['a cursor beyond the last number', 2, [B], { passed: 2 }],
])('a numbers record with %s is ignored entirely', (_, from, ids, overrides) => {
  const stream = new TestStream();
  stream.append('claim', {});
  stream.appendCreate(0);
  stream.appendNumbers(0, 1, [A]);
  expect(stream.appendNumbers(0, from, ids, overrides)).toBe(false);
  expect(stream.findStep()?.lastNumber).toBe(1);
});

test('a void number stays void and its sample gets a later one', () => {
  const stream = new TestStream();
  stream.append('claim', {});
  stream.appendCreate(0);
  stream.appendNumbers(0, 1, [A, B]);
  expect(stream.appendNumbers(0, 3, [A], { voids: [1] })).toBe(true);
  expect(stream.findStep()?.isVoid(1)).toBe(true);
  expect(stream.findStep()?.numberOf(A as SampleId)).toBe(3);
  expect(stream.appendNumbers(0, 4, [], { voids: [1] })).toBe(false);
});

test('a number that the trainer has confirmed cannot become void', () => {
  const stream = new TestStream();
  stream.append('claim', {});
  stream.appendCreate(0);
  stream.appendNumbers(0, 1, [A]);
  stream.appendNumbers(0, 2, [], { passed: 1 });
  expect(stream.appendNumbers(0, 2, [], { voids: [1] })).toBe(false);
});

test('a reader that starts at a snapshot reaches the same state', () => {
  const stream = new TestStream();
  stream.append('claim', {});
  stream.append(RECORD_KINDS.publish, { claim: 0, version: 4, source: 's' });
  stream.appendCreate(0);
  stream.appendNumbers(0, 1, [A, B], { passed: 0 });
  stream.appendNumbers(0, 3, [B], { voids: [2], passed: 1 });
  const trimmed = new TestStream();
  trimmed.state.reset();
  trimmed.append('claim', {});
  trimmed.append(RECORD_KINDS.snapshot, { claim: 0, ...stream.state.toSnapshot() });
  expect(trimmed.state.isComplete).toBe(true);
  expect(trimmed.state.toSnapshot()).toEqual(stream.state.toSnapshot());
  expect(trimmed.appendNumbers(0, 4, [C])).toBe(true);
});

test('a weight version that is not higher than the newest one is ignored', () => {
  const stream = new TestStream();
  stream.append('claim', {});
  const isApplied = [4, 4, 3, 5].map((version) =>
    stream.append(RECORD_KINDS.publish, { claim: 0, version, source: 's' }),
  );
  expect(isApplied).toEqual([true, false, false, true]);
});
