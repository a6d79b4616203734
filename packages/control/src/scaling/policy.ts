/** Policies that decide how many targets a service runs in an availability zone. */
import type { Clock, Millis, MonoTime, RandomSource } from '@hibiscushill/base';

import type { DemandTotals } from './demand';

/** The demand, the current targets and the bounds on which a decision is based. */
export interface ScalingInput {
  readonly demand: DemandTotals;
  /** The number of targets that accept requests. */
  readonly live: number;
  /** The number of targets that were ordered and don't accept requests yet. */
  readonly starting: number;
  /** The lowest number of targets that the declaration allows. */
  readonly least: number;
  /** The highest number of targets that the declaration allows. */
  readonly most: number;
  /** How many requests a target runs at the same time. */
  readonly slots: number;
}

/** The desired number of targets, starting ones included, and the reason for it. */
export interface ScalingDecision {
  readonly desiredCount: number;
  readonly reason: 'bounds' | 'fixed' | 'demand' | 'hold' | 'surplus';
}

/**
 * Decides how many targets should run. A policy may keep state between decisions, so each service
 * in each availability zone has its own.
 */
export abstract class ScalingPolicy {
  /**
   * Decides how many targets should run now.
   *
   * @param input - the demand, the current targets and the bounds
   * @param clock - the current time
   * @param random - a source of randomness, for policies that randomise their decisions
   * @returns the desired number of targets, starting ones included, and the reason
   */
  abstract decide(input: ScalingInput, clock: Clock, random: RandomSource): ScalingDecision;
}

/** Always decides on the same number of targets, within the declared bounds. */
export class FixedCountPolicy extends ScalingPolicy {
  readonly #count: number;

  /** @param count - the number of targets */
  constructor(count: number) {
    super();
    this.#count = count;
  }

  override decide(input: ScalingInput): ScalingDecision {
    return { desiredCount: clampToBounds(this.#count, input), reason: 'fixed' };
  }
}

/** The fractions and delays of `UtilisationPolicy`. */
export interface UtilisationPolicyOptions {
  /** The fraction of all slots that running and waiting requests should fill, from 0 to 1. */
  readonly desiredUtilisation?: number;
  /** The fraction that requests would fill at most after targets were stopped, from 0 to 1. */
  readonly scaleDownUtilisation?: number;
  /** How long demand must stay low before targets are stopped, in milliseconds. */
  readonly scaleDownDelayMs?: Millis;
  /** How many targets one decision may stop at most. */
  readonly maxStopsPerDecision?: number;
}

const DESIRED_UTILISATION = 0.7;
const SCALE_DOWN_UTILISATION = 0.5;
const SCALE_DOWN_DELAY_MS = 300_000;
const MAX_STOPS_PER_DECISION = 1;

/**
 * Decides on as many targets as keep a fraction of all slots in use. Starting targets count as
 * running, so that they aren't ordered twice. Targets are stopped only after demand stayed low for
 * a while, when no target is starting and no request waits, and only as many as leave enough slots.
 */
export class UtilisationPolicy extends ScalingPolicy {
  readonly #options: Required<UtilisationPolicyOptions>;

  #lowDemandSince: MonoTime | undefined;

  /** @param options - the fractions and delays that differ from the defaults */
  constructor(options: UtilisationPolicyOptions = {}) {
    super();
    this.#options = {
      desiredUtilisation: DESIRED_UTILISATION,
      scaleDownUtilisation: SCALE_DOWN_UTILISATION,
      scaleDownDelayMs: SCALE_DOWN_DELAY_MS,
      maxStopsPerDecision: MAX_STOPS_PER_DECISION,
      ...options,
    };
  }

  override decide(input: ScalingInput, clock: Clock): ScalingDecision {
    const now = clock.mono();
    const load = input.demand.inFlight + input.demand.queued;
    const running = input.live + input.starting;
    const needed = Math.ceil(load / (input.slots * this.#options.desiredUtilisation));
    if (running < input.least || running > input.most) {
      return { desiredCount: clampToBounds(Math.max(needed, running), input), reason: 'bounds' };
    }
    if (needed > running) {
      this.#lowDemandSince = undefined;
      return { desiredCount: clampToBounds(needed, input), reason: 'demand' };
    }
    return this.#decideScaleDown(input, load, now);
  }

  #decideScaleDown(input: ScalingInput, load: number, now: MonoTime): ScalingDecision {
    const running = input.live + input.starting;
    const needed = Math.ceil(load / (input.slots * this.#options.scaleDownUtilisation));
    const desiredCount = clampToBounds(
      Math.max(needed, running - this.#options.maxStopsPerDecision),
      input,
    );
    if (desiredCount >= running || input.starting > 0 || input.demand.queued > 0) {
      this.#lowDemandSince = undefined;
      return { desiredCount: running, reason: 'hold' };
    }
    this.#lowDemandSince ??= now;
    if (now - this.#lowDemandSince < this.#options.scaleDownDelayMs) {
      return { desiredCount: running, reason: 'hold' };
    }
    this.#lowDemandSince = now;
    return { desiredCount, reason: 'surplus' };
  }
}

function clampToBounds(count: number, bounds: Pick<ScalingInput, 'least' | 'most'>): number {
  return Math.min(bounds.most, Math.max(bounds.least, count));
}
