import {
  type CodeName,
  ManualClock,
  RESULT_CODES,
  RandomSource,
  type RunState,
  createFailure,
} from '@hibiscushill/base';
import * as fc from 'fast-check';
import { none, some } from 'fp-ts/Option';
import { describe, expect, it } from 'vitest';

import {
  NoHedgePolicy,
  NoRetryPolicy,
  QuantileHedgePolicy,
  type RetryContext,
  RetryBudget,
  SafeRetryPolicy,
  jitterRetryAfter,
} from '../src';
import { SERVICE } from './fixtures';

const SEED = 61;
const CONTEXT: RetryContext = {
  service: SERVICE,
  idempotent: false,
  attempts: 1,
  remainingMs: 1000,
  firstByteSent: false,
};

function createPolicy(maxBalance = 10) {
  const budget = new RetryBudget({ clock: new ManualClock(), maxBalance });
  return { budget, policy: new SafeRetryPolicy({ budget, random: new RandomSource(SEED) }) };
}

function decide(code: CodeName, run: RunState, changes: Partial<RetryContext> = {}) {
  const { policy } = createPolicy();
  const decision = policy.decide(createFailure(code, { run }), { ...CONTEXT, ...changes });
  return decision.action === 'give-up'
    ? `${decision.action} ${decision.failure.code} ${decision.failure.run}`
    : decision.action;
}

describe('RetryBudget', () => {
  it('allows a tenth of first attempts, the minimum rate and the initial balance', () => {
    const property = fc.property(fc.integer(), (seed) => {
      const random = new RandomSource(seed);
      const clock = new ManualClock();
      const budget = new RetryBudget({ clock });
      let [firstAttempts, retries] = [0, 0];
      for (let step = 0; step < 500; step += 1) {
        clock.advance(random.int(0, 20));
        if (random.fraction() < 0.5) {
          budget.recordFirstAttempt(SERVICE);
          firstAttempts += 1;
        } else if (budget.tryTake(SERVICE)) retries += 1;
        const seconds = clock.mono() / 1000;
        expect(retries).toBeLessThanOrEqual(10 + firstAttempts / 10 + seconds / 2 + 1e-6);
      }
      expect(retries).toBeGreaterThan(9);
    });
    fc.assert(property, { seed: SEED, numRuns: 50 });
  });

  it('allows one retry for ten first attempts once it is empty', () => {
    const budget = new RetryBudget({ clock: new ManualClock(), minRetriesPerSecond: 0 });
    while (budget.tryTake(SERVICE));
    Array.from({ length: 10 }, () => budget.recordFirstAttempt(SERVICE));
    expect([budget.tryTake(SERVICE), budget.tryTake(SERVICE)]).toEqual([true, false]);
  });
});

describe('SafeRetryPolicy', () => {
  it('decides by what may have run', () => {
    expect({
      'not run': decide('target_down', 'not-run'),
      'not run, idempotent': decide('queue_full', 'not-run', { idempotent: true }),
      'in doubt': decide('outcome_unknown', 'may-have-run'),
      'in doubt, idempotent': decide('outcome_unknown', 'may-have-run', { idempotent: true }),
      'in doubt after a revocation': decide('outcome_unknown', 'may-have-run', {
        revokeSent: true,
      }),
      'revoked in time': decide('attempt_revoked', 'not-run', { revokeSent: true }),
      'agent restarted after a run': decide('incarnation_stale', 'may-have-run'),
      'after the first byte': decide('answer_broken', 'may-have-run', {
        idempotent: true,
        firstByteSent: true,
      }),
      'out of time': decide('target_down', 'not-run', { remainingMs: 1 }),
      'out of attempts, an earlier one in doubt': decide('target_down', 'not-run', {
        attempts: 4,
        earlierAttemptMayHaveRun: true,
      }),
      'cancelled by the caller': decide('cancelled', 'may-have-run'),
      'invalid request': decide('request_invalid', 'not-run'),
    }).toMatchSnapshot();
  });

  it('neither retries nor reports as not-run what may have run and is not idempotent', () => {
    const names = Object.keys(RESULT_CODES) as CodeName[];
    const property = fc.property(
      fc.constantFrom(...names),
      fc.constantFrom<RunState>('not-run', 'may-have-run'),
      fc.record({
        idempotent: fc.boolean(),
        attempts: fc.integer({ min: 1, max: 6 }),
        remainingMs: fc.integer({ min: -5, max: 50 }),
        firstByteSent: fc.boolean(),
        revokeSent: fc.boolean(),
        earlierAttemptMayHaveRun: fc.boolean(),
      }),
      fc.constantFrom(0, 10),
      (code, run, changes, maxBalance) => {
        const context = { ...CONTEXT, ...changes };
        const outcome = createFailure(code, { run });
        [createPolicy(maxBalance).policy, new NoRetryPolicy()].forEach((policy) => {
          const decision = policy.decide(outcome, context);
          if (decision.action === 'retry') {
            expect(context.firstByteSent).toBe(false);
            expect(run === 'not-run' || context.idempotent).toBe(true);
          }
          if (decision.action === 'give-up') {
            const mayHaveRun =
              run === 'may-have-run' || context.firstByteSent || context.earlierAttemptMayHaveRun;
            expect(decision.failure.run).toBe(mayHaveRun ? 'may-have-run' : 'not-run');
          }
        });
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });

  it('reports a used-up budget, but still retries refusals of leaving targets', () => {
    const { policy } = createPolicy(0);
    const refused = policy.decide(createFailure('target_down'), CONTEXT);
    expect(refused).toMatchObject({ failure: { code: 'retry_budget_exhausted', run: 'not-run' } });
    expect(policy.decide(createFailure('target_leaving'), CONTEXT).action).toBe('retry');
  });
});

describe('hedging', () => {
  it('hedges idempotent work after the quantile of recorded latencies, within the budget', () => {
    const clock = new ManualClock();
    const budget = new RetryBudget({ clock, maxBalance: 1 });
    const hedge = new QuantileHedgePolicy({ clock, budget });
    const req = { service: SERVICE, idempotent: true, remainingMs: 1000 };
    expect(hedge.delayFor(req)).toEqual(none);
    Array.from({ length: 100 }, (_, index) => hedge.recordLatency(SERVICE, index + 1));
    expect(hedge.delayFor(req)).toEqual(some(0.1 * 2 ** (80 / 8)));
    expect(hedge.delayFor({ ...req, idempotent: false })).toEqual(none);
    expect(hedge.delayFor({ ...req, remainingMs: 50 })).toEqual(none);
    expect([hedge.tryStart(SERVICE), hedge.tryStart(SERVICE)]).toEqual([true, false]);
    clock.advance(60_000);
    expect(hedge.delayFor(req)).toEqual(none);
  });

  it('can be switched off', () => {
    expect([new NoHedgePolicy().delayFor(), new NoHedgePolicy().tryStart()]).toEqual([none, false]);
  });
});

describe('jitter on Retry-After', () => {
  it('never shortens the wait, and adds at most half of it', () => {
    const random = new RandomSource(SEED);
    const waits = Array.from({ length: 500 }, () => jitterRetryAfter(100, random));
    expect(Math.min(...waits)).toBeGreaterThanOrEqual(100);
    expect(Math.max(...waits)).toBeLessThanOrEqual(150);
    expect(new Set(waits).size).toBeGreaterThan(40);
    expect(jitterRetryAfter(0, random)).toBe(1);
  });
});
