/** How many targets a service should run in an availability zone. */
import type { Clock, Millis, MonoTime, RandomSource } from '@hibiscushill/base';

import type { Demand } from './demand';

/** What a decision rests on. */
export interface ScalingInput {
  readonly demand: Demand;
  /** Targets that take work. */
  readonly live: number;
  /** Targets that were ordered and don't take work yet. */
  readonly starting: number;
  readonly least: number;
  readonly most: number;
  /** How many requests a target runs at once. */
  readonly slots: number;
}

/** What is wanted, and why. */
export interface ScalingDecision {
  readonly wanted: number;
  readonly reason: 'bounds' | 'fixed' | 'demand' | 'hold' | 'surplus';
}

/** Decides on the number of targets. One instance for each service and availability zone. */
export abstract class ScalingPolicy {
  /**
   * Decides.
   *
   * @param input - demand and what runs
   * @param clock - the time
   * @param random - chance, for policies that spread their decisions
   * @returns the number of targets wanted, starting ones included
   */
  abstract decide(input: ScalingInput, clock: Clock, random: RandomSource): ScalingDecision;
}

/** Always wants the same number. */
export class FixedCountPolicy extends ScalingPolicy {
  readonly #count: number;

  /** @param count - the number of targets */
  constructor(count: number) {
    super();
    this.#count = count;
  }

  override decide(input: ScalingInput): ScalingDecision {
    return { wanted: clamp(this.#count, input), reason: 'fixed' };
  }
}

/** The settings of `TargetUtilisationPolicy`. */
export interface TargetUtilisationOptions {
  /** The share of the slots that demand should fill. */
  readonly utilisation?: number;
  /** The share below which targets are given back. */
  readonly lowUtilisation?: number;
  /** How long demand has to stay low before a target is given back, in milliseconds. */
  readonly surplusMs?: Millis;
  /** The most targets given back by one decision. */
  readonly stopStep?: number;
}

const UTILISATION = 0.7;
const LOW_UTILISATION = 0.5;
const SURPLUS_MS = 300_000;
const STOP_STEP = 1;

/**
 * Wants as many targets as keep the slots filled to a share of them. Targets that warm up count as
 * running, so that they aren't ordered twice, and nothing is given back meanwhile. Gives targets
 * back only after demand stayed low for long, and never below what the rest can carry.
 */
export class TargetUtilisationPolicy extends ScalingPolicy {
  readonly #options: Required<TargetUtilisationOptions>;

  #surplusSince: MonoTime | undefined;

  /** @param options - shares and times */
  constructor(options: TargetUtilisationOptions = {}) {
    super();
    this.#options = {
      utilisation: UTILISATION,
      lowUtilisation: LOW_UTILISATION,
      surplusMs: SURPLUS_MS,
      stopStep: STOP_STEP,
      ...options,
    };
  }

  override decide(input: ScalingInput, clock: Clock): ScalingDecision {
    const now = clock.mono();
    const load = input.demand.inFlight + input.demand.queued;
    const running = input.live + input.starting;
    const needed = Math.ceil(load / (input.slots * this.#options.utilisation));
    if (running < input.least || running > input.most) {
      return { wanted: clamp(Math.max(needed, running), input), reason: 'bounds' };
    }
    if (needed > running) {
      this.#surplusSince = undefined;
      return { wanted: clamp(needed, input), reason: 'demand' };
    }
    return this.#decideSurplus(input, load, now);
  }

  #decideSurplus(input: ScalingInput, load: number, now: MonoTime): ScalingDecision {
    const running = input.live + input.starting;
    const carry = Math.ceil(load / (input.slots * this.#options.lowUtilisation));
    const wanted = clamp(Math.max(carry, running - this.#options.stopStep), input);
    if (wanted >= running || input.starting > 0 || input.demand.queued > 0) {
      this.#surplusSince = undefined;
      return { wanted: running, reason: 'hold' };
    }
    this.#surplusSince ??= now;
    if (now - this.#surplusSince < this.#options.surplusMs) {
      return { wanted: running, reason: 'hold' };
    }
    this.#surplusSince = now;
    return { wanted, reason: 'surplus' };
  }
}

function clamp(count: number, bounds: Pick<ScalingInput, 'least' | 'most'>): number {
  return Math.min(bounds.most, Math.max(bounds.least, count));
}
