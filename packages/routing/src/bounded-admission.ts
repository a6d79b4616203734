/** Admission within the bounds of each team, and only where the deadline can be met. */
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
import { spreadRetryAfter } from './retry-after';
import type { ShareTracker } from './share-tracker';
import { TeamUsage } from './team-usage';

/** How {@link BoundedAdmission} decides. */
export interface BoundedAdmissionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly shares: Pick<ShareTracker, 'recordDemand' | 'share'>;
  /** How many milliseconds' worth of its rates a team may use at once. */
  readonly burstMs?: Millis;
}

const DEFAULT_BURST_MS = 1000;

/** Keeps each team within this entry's share of its bounds. */
export class BoundedAdmission extends AdmissionPolicy {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #shares: Pick<ShareTracker, 'recordDemand' | 'share'>;

  readonly #burstMs: Millis;

  readonly #usage = new Map<TeamId, TeamUsage>();

  /** @param options - the clock, the random source and the shares */
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
    if (req.estimatedWaitMs >= req.remainingMs) return err(this.#refuseDeadline(req));
    const usage = this.#findUsage(name);
    usage.resize(bounds, this.#shares.share(name));
    const shortage = usage.findShortage();
    if (shortage) {
      const retryAfterMs = spreadRetryAfter(shortage.waitMs, this.#random);
      return err(createFailure(shortage.code, { retryAfterMs }));
    }
    usage.take(req.costTokens);
    return ok(this.#createAdmission(usage, req.costTokens));
  }

  /**
   * Reads how many requests of a team are in flight at this entry.
   *
   * @param team - the team
   * @returns the requests that were admitted and not released
   */
  inFlight(team: TeamId): number {
    return this.#usage.get(team)?.inFlight ?? 0;
  }

  #refuseDeadline({ estimatedWaitMs, remainingMs }: AdmissionRequest): Failure {
    const excessMs = estimatedWaitMs - remainingMs;
    return createFailure('deadline_unreachable', {
      detail: `The estimated wait is ${Math.ceil(estimatedWaitMs)} ms.`,
      retryAfterMs: spreadRetryAfter(excessMs, this.#random),
    });
  }

  #findUsage(team: TeamId): TeamUsage {
    const found = this.#usage.get(team) ?? new TeamUsage(this.#clock, this.#burstMs);
    this.#usage.set(team, found);
    return found;
  }

  #createAdmission(usage: TeamUsage, costTokens: number): Admission {
    const admittedAt = this.#clock.mono();
    let charged = costTokens;
    let held = true;
    return {
      costTokens,
      settle: (actualTokens) => {
        usage.correct(actualTokens - charged);
        charged = actualTokens;
      },
      release: () => {
        if (!held) return;
        held = false;
        usage.release(this.#clock.mono() - admittedAt);
      },
    };
  }
}
