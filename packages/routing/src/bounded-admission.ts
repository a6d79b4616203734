/** Admission within each team's bounds, and only when the deadline can be met. */
import {
  type Clock,
  type Failure,
  type Millis,
  type RandomSource,
  type TeamId,
  createFailure,
} from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';

import { type Admission, AdmissionPolicy, type AdmissionRequest } from './admission-policy';
import { jitterRetryAfter } from './retry-after';
import type { ShareTracker } from './share-tracker';
import { TeamLimiter } from './team-limiter';

/** The collaborators and the burst length of {@link BoundedAdmission}. */
export interface BoundedAdmissionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly shares: Pick<ShareTracker, 'recordDemand' | 'share'>;
  /** The time for which an idle team's unused rate is saved up, in milliseconds. */
  readonly burstMs?: Millis;
}

const DEFAULT_BURST_MS = 1000;

/** Keeps each team within this entry's share of its bounds. */
export class BoundedAdmission extends AdmissionPolicy {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #shares: Pick<ShareTracker, 'recordDemand' | 'share'>;

  readonly #burstMs: Millis;

  readonly #limiters = new Map<TeamId, TeamLimiter>();

  /** @param options - the clock, the random source, the shares and the burst length */
  constructor(options: BoundedAdmissionOptions) {
    super();
    this.#clock = options.clock;
    this.#random = options.random;
    this.#shares = options.shares;
    this.#burstMs = options.burstMs ?? DEFAULT_BURST_MS;
  }

  override admit(req: AdmissionRequest): Result<Admission, Failure> {
    const { name, bounds } = req.team;
    this.#shares.recordDemand(
      name,
      Math.max(1 / bounds.requestsPerSecond, req.costTokens / bounds.tokensPerSecond),
    );
    if (req.estimatedWaitMs >= req.remainingMs) return err(this.#createDeadlineRefusal(req));
    const limiter = this.#findOrCreateLimiter(name);
    limiter.setBounds(bounds, this.#shares.share(name));
    const exhausted = limiter.findExhaustedBound();
    if (exhausted) {
      const retryAfterMs = jitterRetryAfter(exhausted.waitMs, this.#random);
      return err(createFailure(exhausted.code, { retryAfterMs }));
    }
    limiter.charge(req.costTokens);
    return ok(this.#createAdmission(limiter, req.costTokens));
  }

  /**
   * Returns the number of a team's requests in flight at this entry.
   *
   * @param team - the team
   * @returns the number of requests that were admitted and not yet released
   */
  inFlight(team: TeamId): number {
    return this.#limiters.get(team)?.inFlight ?? 0;
  }

  #createDeadlineRefusal({ estimatedWaitMs, remainingMs }: AdmissionRequest): Failure {
    const excessMs = estimatedWaitMs - remainingMs;
    return createFailure('deadline_unreachable', {
      detail: `The estimated wait is ${Math.ceil(estimatedWaitMs)} ms.`,
      retryAfterMs: jitterRetryAfter(excessMs, this.#random),
    });
  }

  #findOrCreateLimiter(team: TeamId): TeamLimiter {
    const limiter = this.#limiters.get(team) ?? new TeamLimiter(this.#clock, this.#burstMs);
    this.#limiters.set(team, limiter);
    return limiter;
  }

  #createAdmission(limiter: TeamLimiter, costTokens: number): Admission {
    const admittedAt = this.#clock.mono();
    let chargedTokens = costTokens;
    let isInFlight = true;
    return {
      costTokens,
      adjustCost: (actualTokens) => {
        limiter.adjustTokens(actualTokens - chargedTokens);
        chargedTokens = actualTokens;
      },
      release: () => {
        if (!isInFlight) return;
        isInFlight = false;
        limiter.release(this.#clock.mono() - admittedAt);
      },
    };
  }
}
