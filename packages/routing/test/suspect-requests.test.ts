import type { ContentDigest, RecordId, ServiceId, WallTime } from '@hibiscushill/base';
import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';

import { type SuspectChange, type SuspectFact, SuspectRequests } from '../src';

const A = '4.0.a' as ContentDigest;
const B = '4.0.b' as ContentDigest;
const SERVICE = 'plain' as ServiceId;
const MAX_MS = 1_000;

let suspects: SuspectRequests;
let now: WallTime;

beforeEach(() => {
  suspects = new SuspectRequests();
  now = 1_000_000 as WallTime;
});

function pass(ms: number): void {
  now = (now + ms) as WallTime;
}

function breakAt(incarnation: string, content = A, trial?: string): SuspectChange | undefined {
  const fact = { type: 'broken', content, incarnation } as const;
  return suspects.record(trial === undefined ? fact : { ...fact, trial: trial as RecordId }, now);
}

function answer(content = A): SuspectChange | undefined {
  return suspects.record({ type: 'answered', content }, now);
}

function claim(id: string, content = A, service = SERVICE): boolean {
  return suspects.claim({ id: id as RecordId, content, service, maxMs: MAX_MS }, now);
}

describe('a request whose targets crash', () => {
  it('runs freely twice, then alone, and is refused after the third target', () => {
    expect(suspects.decide(A, now)).toBe('free');
    expect(breakAt('t1 1')).toBe('suspected');
    expect(suspects.decide(A, now)).toBe('free');
    expect(breakAt('t2 1')).toBeUndefined();
    expect(suspects.decide(A, now)).toBe('alone');
    expect(breakAt('t3 1')).toBe('refused');
    expect(suspects.decide(A, now)).toBe('never');
  });

  it('is counted once for each incarnation, whoever reports its crash', () => {
    breakAt('t1 1');
    breakAt('t1 1');
    expect(suspects.countBreaks(A)).toBe(1);
    breakAt('t1 2');
    expect(suspects.countBreaks(A)).toBe(2);
  });

  it('gets one more trial some seconds later, and none after it', () => {
    ['t1 1', 't2 1', 't3 1'].forEach((incarnation) => breakAt(incarnation));
    pass(4_900);
    expect(claim('c1')).toBe(false);
    pass(200);
    expect(claim('c2')).toBe(true);
    pass(60_000);
    expect(suspects.decide(A, now)).toBe('never');
    expect(claim('c3')).toBe(false);
  });

  it('is no suspect any more once a target has answered it', () => {
    ['t1 1', 't2 1', 't3 1'].forEach((incarnation) => breakAt(incarnation));
    expect(answer()).toBe('cleared');
    expect(suspects.decide(A, now)).toBe('free');
    expect(suspects.size).toBe(0);
  });

  it('is not suspected because of a target that has answered others since', () => {
    ['t1 1', 't2 1', 't3 1'].forEach((incarnation) => breakAt(incarnation));
    suspects.record({ type: 'survived', incarnation: 't2 1' }, now);
    expect(suspects.countBreaks(A)).toBe(2);
    expect(suspects.decide(A, now)).toBe('alone');
    suspects.record({ type: 'survived', incarnation: 't1 1' }, now);
    suspects.record({ type: 'survived', incarnation: 't3 1' }, now);
    expect(suspects.has(A)).toBe(false);
  });

  it('is forgotten an hour after its last crash', () => {
    ['t1 1', 't2 1', 't3 1'].forEach((incarnation) => breakAt(incarnation));
    pass(3_600_001);
    expect(suspects.decide(A, now)).toBe('free');
    expect(breakAt('t4 1')).toBe('suspected');
  });
});

describe('trials', () => {
  beforeEach(() => {
    [A, B].forEach((content) => {
      breakAt('t1 1', content);
      breakAt('t2 1', content);
    });
  });

  it('run one at a time in each service', () => {
    expect(claim('c1')).toBe(true);
    expect(claim('c2', B)).toBe(false);
    expect(claim('c3', B, 'other' as ServiceId)).toBe(true);
    suspects.record({ type: 'trial-ended', trial: 'c1' as RecordId }, now);
    expect(claim('c4', B)).toBe(true);
  });

  it('make way when their process does not report their end', () => {
    expect(claim('c1')).toBe(true);
    pass(MAX_MS);
    expect(claim('c2', B)).toBe(false);
    pass(500);
    expect(claim('c3', B)).toBe(true);
  });

  it('pause after a crash, so that the target can start again', () => {
    expect(claim('c1')).toBe(true);
    expect(breakAt('t3 1', A, 'c1')).toBe('refused');
    expect(claim('c2', B)).toBe(false);
    pass(2_000);
    expect(claim('c3', B)).toBe(true);
  });

  it('are not ended by the report of an earlier attempt', () => {
    expect(claim('c1')).toBe(true);
    breakAt('t3 1', B);
    suspects.record({ type: 'trial-ended', trial: 'c0' as RecordId }, now);
    expect(claim('c2', B)).toBe(false);
  });
});

describe('what a process repeats', () => {
  it('is taken over by one that has read nothing before', () => {
    ['t1 1', 't2 1', 't3 1'].forEach((incarnation) => breakAt(incarnation));
    pass(6_000);
    claim('c1');
    const later = new SuspectRequests();
    suspects.listKnown(10).forEach((suspect) => later.record({ type: 'known', suspect }, now));
    expect(later.decide(A, now)).toBe('never');
    expect(later.listKnown(10)).toEqual(suspects.listKnown(10));
  });

  it('does not make a request a suspect again that was answered meanwhile', () => {
    ['t1 1', 't2 1', 't3 1'].forEach((incarnation) => breakAt(incarnation));
    const known = suspects.listKnown(10);
    pass(10);
    answer();
    known.forEach((suspect) => suspects.record({ type: 'known', suspect }, now));
    expect(suspects.has(A)).toBe(false);
  });

  it('leaves out what runs like any other request', () => {
    breakAt('t1 1');
    expect(suspects.listKnown(10)).toEqual([]);
  });
});

describe('the number of suspects', () => {
  it('is bounded, and those with the most evidence stay', () => {
    ['t1 1', 't2 1', 't3 1'].forEach((incarnation) => breakAt(incarnation));
    for (let index = 0; index < 3_000; index += 1) {
      breakAt('t1 1', `4.0.${index}` as ContentDigest);
    }
    expect(suspects.size).toBe(1_024);
    expect(suspects.decide(A, now)).toBe('never');
  });
});

describe('any sequence of runs', () => {
  const Step = fc.record({
    waitMs: fc.integer({ min: 0, max: 1_500 }),
    isBesideCrash: fc.boolean(),
  });

  it('crashes few targets, and refuses no request that is answered when it runs alone', () => {
    fc.assert(
      fc.property(fc.array(Step, { minLength: 20, maxLength: 200 }), (steps) => {
        suspects = new SuspectRequests();
        let crashes = 0;
        let trial = 0;
        const run = (content: ContentDigest, isCrash: boolean): void => {
          const permit = suspects.decide(content, now);
          trial += 1;
          if (permit === 'never' || (permit === 'alone' && !claim(`c${trial}`, content))) return;
          const ran = permit === 'alone' ? { trial: `c${trial}` as RecordId } : {};
          const fact: SuspectFact = isCrash
            ? { type: 'broken', content, incarnation: `t${trial} 1`, ...ran }
            : { type: 'answered', content, ...ran };
          if (isCrash) crashes += 1;
          suspects.record(fact, now);
        };
        steps.forEach(({ waitMs, isBesideCrash }) => {
          pass(waitMs);
          // B runs beside A's crash only while both are run freely.
          const isBeside =
            isBesideCrash && [A, B].every((one) => suspects.decide(one, now) === 'free');
          if (isBeside)
            suspects.record({ type: 'broken', content: B, incarnation: `t${trial + 1} 1` }, now);
          run(A, true);
          run(B, false);
        });
        expect(crashes).toBeLessThanOrEqual(4);
        expect(suspects.countBreaks(B)).toBeLessThan(3);
      }),
      { numRuns: 300 },
    );
  });
});
