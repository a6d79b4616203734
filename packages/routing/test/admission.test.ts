import { ManualClock, RandomSource, type TeamId } from '@hibiscushill/base';
import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { type AdmissionRequest, BoundedAdmission, UnboundedAdmission } from '../src';
import { SERVICE } from './fixtures';

const SEED = 41;
const BOUNDS = { requestsPerSecond: 10, tokensPerSecond: 1000, inFlight: 4 };

function createBounded(share = 1) {
  const clock = new ManualClock();
  const shares = { share: () => share, recordDemand: () => undefined };
  const policy = new BoundedAdmission({ clock, random: new RandomSource(SEED), shares });
  return { clock, policy };
}

function createRequest(changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    team: { name: 'a' as TeamId, bounds: BOUNDS },
    service: SERVICE,
    costTokens: 1,
    remainingMs: 1000,
    estimatedWaitMs: 0,
    ...changes,
  };
}

function admitAndRelease(policy: BoundedAdmission, req = createRequest()) {
  return policy.admit(req).map((admission) => {
    admission.release();
    return admission;
  });
}

describe('BoundedAdmission', () => {
  it('names the bound that is used up', () => {
    const refusals = [
      { bounds: { ...BOUNDS, requestsPerSecond: 1 } },
      { bounds: { ...BOUNDS, tokensPerSecond: 1 } },
      { bounds: { ...BOUNDS, inFlight: 1 } },
    ].map(({ bounds }) => {
      const { policy } = createBounded();
      const req = createRequest({ team: { name: 'a' as TeamId, bounds } });
      policy.admit(req)._unsafeUnwrap();
      return policy.admit(req)._unsafeUnwrapErr();
    });
    expect(refusals).toMatchSnapshot();
  });

  it('refuses a request that would wait past its deadline, without charging it', () => {
    const { policy } = createBounded();
    const tooLate = createRequest({ estimatedWaitMs: 1500 });
    const refusal = policy.admit(tooLate)._unsafeUnwrapErr();
    expect(refusal).toMatchObject({ code: 'deadline_unreachable', run: 'not-run' });
    expect(refusal.retryAfterMs).toBeGreaterThanOrEqual(500);
    expect(policy.inFlight('a' as TeamId)).toBe(0);
  });

  it('admits a refused request after retryAfterMs if no other request arrives', () => {
    const property = fc.property(
      fc.record({
        requestsPerSecond: fc.double({ min: 0.1, max: 1000, noNaN: true }),
        tokensPerSecond: fc.double({ min: 1, max: 1e6, noNaN: true }),
        share: fc.double({ min: 0.01, max: 1, noNaN: true }),
        costTokens: fc.integer({ min: 1, max: 10_000 }),
      }),
      ({ share, costTokens, ...rates }) => {
        const { clock, policy } = createBounded(share);
        const team = { name: 'a' as TeamId, bounds: { ...rates, inFlight: 1e9 } };
        const req = createRequest({ team, costTokens });
        let admitted = 0;
        while (admitted < 2000 && policy.admit(req).isOk()) admitted += 1;
        const refusal = policy.admit(req);
        if (refusal.isOk()) return;
        clock.advance(refusal.error.retryAfterMs as number);
        expect(policy.admit(req).isOk()).toBe(true);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 200 });
  });

  it('keeps each rate for any sequence of requests, within one burst and one request', () => {
    const property = fc.property(fc.integer(), (seed) => {
      const random = new RandomSource(seed);
      const { clock, policy } = createBounded();
      let [requests, tokens] = [0, 0];
      while (clock.mono() < 20_000) {
        clock.advance(random.exponential(30));
        const costTokens = random.int(1, 400);
        if (admitAndRelease(policy, createRequest({ costTokens })).isOk()) {
          requests += 1;
          tokens += costTokens;
        }
      }
      const seconds = clock.mono() / 1000;
      expect(requests).toBeLessThanOrEqual(BOUNDS.requestsPerSecond * (seconds + 1) + 1);
      expect(tokens).toBeLessThanOrEqual(BOUNDS.tokensPerSecond * (seconds + 1) + 400);
      expect(tokens).toBeGreaterThan(BOUNDS.tokensPerSecond * seconds * 0.8);
    });
    fc.assert(property, { seed: SEED, numRuns: 30 });
  });

  it('admits a request larger than the bucket, and later ones once the debt is paid', () => {
    const { clock, policy } = createBounded();
    expect(admitAndRelease(policy, createRequest({ costTokens: 5000 })).isOk()).toBe(true);
    expect(admitAndRelease(policy)._unsafeUnwrapErr().code).toBe('team_tokens_exceeded');
    clock.advance(3900);
    expect(admitAndRelease(policy).isErr()).toBe(true);
    clock.advance(200);
    expect(admitAndRelease(policy).isOk()).toBe(true);
  });

  it('replaces the estimated cost by the actual cost, and charges only the difference', () => {
    const { policy } = createBounded();
    const admission = admitAndRelease(policy, createRequest({ costTokens: 5000 }))._unsafeUnwrap();
    admission.adjustCost(0);
    admission.adjustCost(0);
    expect(admitAndRelease(policy).isOk()).toBe(true);
    admission.adjustCost(5000);
    expect(admitAndRelease(policy).isErr()).toBe(true);
  });

  it('releases a request in flight only once', () => {
    const { policy } = createBounded();
    const [first] = Array.from({ length: 4 }, () => policy.admit(createRequest())._unsafeUnwrap());
    first?.release();
    first?.release();
    expect(policy.inFlight('a' as TeamId)).toBe(3);
    expect(policy.admit(createRequest()).isOk()).toBe(true);
    expect(policy.admit(createRequest()).isErr()).toBe(true);
  });

  it('admits at least one request in flight however small the share is', () => {
    const { policy } = createBounded(0.01);
    expect(policy.admit(createRequest()).isOk()).toBe(true);
  });
});

describe('unbounded admission', () => {
  it('admits a request that any bound would refuse', () => {
    const req = createRequest({ costTokens: 1e9, estimatedWaitMs: 1e9 });
    expect(new UnboundedAdmission().admit(req).isOk()).toBe(true);
  });
});
