import type { LogRecord, TrimGap } from '@hibiscushill/log';
import fc from 'fast-check';
import { none, some } from 'fp-ts/Option';
import { describe, expect, it } from 'vitest';

import { ClaimHistory, NO_CLAIM, TailClaims } from '../src';
import { createRecord } from './duty-harness';

const DUTY = 'usage';

function author(name: string) {
  return { duty: DUTY, holder: name, incarnation: `${name}.1` };
}

function claim(offset: number, after: number, through = offset, name = `p${offset}`): LogRecord {
  return createRecord(offset, 'duty.claim', { ...author(name), after, through });
}

function sign(kind: string, offset: number, of: number, through = offset): LogRecord {
  return createRecord(offset, kind, { ...author(`p${of}`), claim: of, through });
}

function fold(records: readonly LogRecord[], from = 0): ClaimHistory {
  const history = new ClaimHistory(DUTY);
  history.startAt(from as never);
  records.slice(from).forEach((record) => history.apply(record));
  return history;
}

describe('ClaimHistory', () => {
  it('counts a claim only after the last valid one', () => {
    const history = new ClaimHistory(DUTY);
    const verdicts = [
      claim(0, -1),
      claim(1, -1, 0),
      sign('duty.renew', 2, 0),
      claim(3, 0),
      sign('duty.renew', 4, 0),
      sign('duty.release', 5, 3),
      sign('duty.renew', 6, 3),
      claim(7, 3),
    ].map((record) => history.apply(record));
    expect(verdicts).toEqual([
      'claimed',
      'void',
      'renewed',
      'claimed',
      'void',
      'released',
      'void',
      'claimed',
    ]);
    expect(history.isSuperseded(3 as never)).toBe(true);
  });

  it('learns the present claim from a renewal whose author had read past the start', () => {
    const records = [claim(0, -1), sign('duty.renew', 1, 0), sign('duty.renew', 2, 0)];
    expect(fold(records, 1).present).toMatchObject({ claim: 0, holder: 'p0', lastSign: 2 });
  });

  it('decides nothing from a renewal whose author had not read up to the start', () => {
    const records = [claim(0, -1), claim(1, 0), sign('duty.renew', 2, 0, 1)];
    expect(fold(records, 2).present).toBeUndefined();
  });

  it('voids a claim without a predecessor when the holder was heard after its author read', () => {
    const records = [claim(0, -1), sign('duty.renew', 1, 0), claim(2, -1, 1)];
    expect(fold(records).present?.claim).toBe(0);
  });

  it('keeps what it knows when a tail leaves repeats out, but not when records were trimmed', () => {
    let trim: (gap: TrimGap) => void = () => undefined;
    const tail = {
      onTrimmed: (handle: typeof trim) => {
        trim = handle;
        return () => undefined;
      },
    };
    const claims = new TailClaims(DUTY, tail);
    claims.apply(claim(0, -1));
    claims.apply(createRecord(5, 'other', {}));
    expect(claims.current()).toEqual(some(0));
    trim({ from: 6, first: 9 } as TrimGap);
    claims.apply(createRecord(9, 'other', {}));
    expect(claims.current()).toEqual(none);
  });

  it('gives every reader the same present claim, from whatever offset it starts', () => {
    fc.assert(
      fc.property(createSchedule(), (steps) => {
        const records = createHonestLog(steps);
        for (let from = 1; from <= records.length; from += 1) checkReader(records, from);
      }),
      { seed: 4, numRuns: 400 },
    );
  });
});

interface Step {
  readonly process: number;
  readonly lag: number;
  readonly action: 'claim' | 'renew' | 'release' | 'late' | 'other';
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

/** Authors that read some way, write what they know, and whose records may land late. */
function createHonestLog(steps: readonly Step[]): LogRecord[] {
  const records: LogRecord[] = [];
  const late: { at: number; make: (offset: number) => LogRecord }[] = [];
  steps.forEach((step, index) => {
    late
      .filter((entry) => entry.at === index)
      .forEach((entry) => records.push(entry.make(records.length)));
    const make = write(step, records);
    if (step.action === 'late') late.push({ at: index + step.delay, make });
    else records.push(make(records.length));
  });
  return records;
}

function write(step: Step, records: readonly LogRecord[]): (offset: number) => LogRecord {
  const start = step.process === 3 ? Math.max(0, records.length - 5) : 0;
  const through = Math.max(start, records.length - step.lag);
  const known = fold(records.slice(0, through), start).present;
  if (step.action === 'other') return (offset) => createRecord(offset, 'other', {});
  const isSign = step.action === 'renew' || step.action === 'release';
  if (isSign && known && known.claim !== NO_CLAIM && !known.isReleased) {
    return (offset) => sign(`duty.${step.action}`, offset, known.claim, through);
  }
  return (offset) => claim(offset, known?.claim ?? NO_CLAIM, through);
}

function checkReader(records: readonly LogRecord[], from: number): void {
  const whole = new ClaimHistory(DUTY);
  const trimmed = new ClaimHistory(DUTY);
  trimmed.startAt(from as never);
  records.forEach((record) => {
    whole.apply(record);
    if (record.offset >= from) trimmed.apply(record);
    const seen = trimmed.present;
    if (seen) expect([from, seen.claim]).toEqual([from, whole.present?.claim]);
  });
}
