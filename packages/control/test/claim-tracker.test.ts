import type { LogRecord, TrimGap } from '@hibiscushill/log';
import fc from 'fast-check';
import { none, some } from 'fp-ts/Option';
import { describe, expect, it } from 'vitest';

import { ClaimTracker, NO_CLAIM, TailClaimTracker } from '../src';
import { createRecord } from './duty-harness';

const DUTY = 'usage';

function author(name: string) {
  return { duty: DUTY, holder: name, incarnation: `${name}.1` };
}

function claim(offset: number, after: number, through = offset, name = `p${offset}`): LogRecord {
  return createRecord(offset, 'duty.claim', { ...author(name), after, through });
}

function updateClaim(kind: string, offset: number, of: number, through = offset): LogRecord {
  return createRecord(offset, kind, { ...author(`p${of}`), claim: of, through });
}

function track(records: readonly LogRecord[], from = 0): ClaimTracker {
  const tracker = new ClaimTracker(DUTY);
  tracker.startAt(from as never);
  records.slice(from).forEach((record) => tracker.apply(record));
  return tracker;
}

describe('ClaimTracker', () => {
  it('accepts a claim only if it names the last valid one', () => {
    const tracker = new ClaimTracker(DUTY);
    const effects = [
      claim(0, -1),
      claim(1, -1, 0),
      updateClaim('duty.renew', 2, 0),
      claim(3, 0),
      updateClaim('duty.renew', 4, 0),
      updateClaim('duty.release', 5, 3),
      updateClaim('duty.renew', 6, 3),
      claim(7, 3),
    ].map((record) => tracker.apply(record));
    expect(effects).toEqual([
      'claimed',
      'void',
      'renewed',
      'claimed',
      'void',
      'released',
      'void',
      'claimed',
    ]);
    expect(tracker.isSuperseded(3 as never)).toBe(true);
  });

  it('infers the current claim from a renewal whose author had read past the start', () => {
    const records = [
      claim(0, -1),
      updateClaim('duty.renew', 1, 0),
      updateClaim('duty.renew', 2, 0),
    ];
    expect(track(records, 1).current).toMatchObject({
      claim: 0,
      holder: 'p0',
      lastRecordOffset: 2,
    });
  });

  it('infers nothing from a renewal whose author had not read up to the start', () => {
    const records = [claim(0, -1), claim(1, 0), updateClaim('duty.renew', 2, 0, 1)];
    expect(track(records, 2).current).toBeUndefined();
  });

  it('rejects a claim without a predecessor if the holder renewed after the author had read', () => {
    const records = [claim(0, -1), updateClaim('duty.renew', 1, 0), claim(2, -1, 1)];
    expect(track(records).current?.claim).toBe(0);
  });

  it('keeps the claim when a tail leaves duplicates out, but not when records were trimmed', () => {
    let trim: (gap: TrimGap) => void = () => undefined;
    const tail = {
      onTrimmed: (handle: typeof trim) => {
        trim = handle;
        return () => undefined;
      },
    };
    const claims = new TailClaimTracker(DUTY, tail);
    claims.apply(claim(0, -1));
    claims.apply(createRecord(5, 'other', {}));
    expect(claims.current()).toEqual(some(0));
    trim({ from: 6, first: 9 } as TrimGap);
    claims.apply(createRecord(9, 'other', {}));
    expect(claims.current()).toEqual(none);
  });

  it('gives all readers the same current claim, from whatever offset they start', () => {
    fc.assert(
      fc.property(createSchedule(), (steps) => {
        const records = createConsistentLog(steps);
        for (let from = 1; from <= records.length; from += 1) checkReader(records, from);
      }),
      { seed: 4, numRuns: 400 },
    );
  });
});

interface Step {
  readonly process: number;
  /** How many of the latest records the author hasn't read. */
  readonly lag: number;
  /** `late` is a claim that is appended after a delay. */
  readonly action: 'claim' | 'renew' | 'release' | 'late' | 'other';
  /** The delay of a late record, in steps. */
  readonly delay: number;
}

function createSchedule() {
  const step = fc.record({
    process: fc.integer({ min: 0, max: 3 }),
    lag: fc.integer({ min: 0, max: 4 }),
    action: fc.constantFrom<Step['action'][]>('claim', 'renew', 'release', 'late', 'other'),
    delay: fc.integer({ min: 1, max: 6 }),
  });
  return fc.array(step, { minLength: 5, maxLength: 30 });
}

/**
 * Creates a log whose authors each read the log up to some offset and write what follows from that.
 * Some of their records are appended late.
 */
function createConsistentLog(steps: readonly Step[]): LogRecord[] {
  const records: LogRecord[] = [];
  const late: { at: number; make: (offset: number) => LogRecord }[] = [];
  steps.forEach((step, index) => {
    late
      .filter((entry) => entry.at === index)
      .forEach((entry) => records.push(entry.make(records.length)));
    const make = createAuthoredRecord(step, records);
    if (step.action === 'late') late.push({ at: index + step.delay, make });
    else records.push(make(records.length));
  });
  return records;
}

function createAuthoredRecord(
  step: Step,
  records: readonly LogRecord[],
): (offset: number) => LogRecord {
  const start = step.process === 3 ? Math.max(0, records.length - 5) : 0;
  const through = Math.max(start, records.length - step.lag);
  const known = track(records.slice(0, through), start).current;
  if (step.action === 'other') return (offset) => createRecord(offset, 'other', {});
  const isUpdate = step.action === 'renew' || step.action === 'release';
  if (isUpdate && known && known.claim !== NO_CLAIM && !known.isReleased) {
    return (offset) => updateClaim(`duty.${step.action}`, offset, known.claim, through);
  }
  return (offset) => claim(offset, known?.claim ?? NO_CLAIM, through);
}

function checkReader(records: readonly LogRecord[], from: number): void {
  const complete = new ClaimTracker(DUTY);
  const trimmed = new ClaimTracker(DUTY);
  trimmed.startAt(from as never);
  records.forEach((record) => {
    complete.apply(record);
    if (record.offset >= from) trimmed.apply(record);
    const known = trimmed.current;
    if (known) expect([from, known.claim]).toEqual([from, complete.current?.claim]);
  });
}
