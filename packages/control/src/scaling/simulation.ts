/** Simulates a scaling policy under the demand of a day, in steps of a second. */
import { ManualClock, type Millis, RandomSource } from '@hibiscushill/base';

import type { ScalingPolicy } from './policy';

const SECOND_MS = 1_000;
const DAY_SECONDS = 86_400;

/** The demand and the targets of a simulation. */
export interface ScalingSimulationOptions {
  readonly seed: number;
  /** The length of the simulated time, in seconds. */
  readonly durationSeconds?: number;
  /** The lowest and the highest rate of requests over the day, without bursts. */
  readonly troughRequestsPerSecond?: number;
  readonly peakRequestsPerSecond?: number;
  /** The mean time between the starts of bursts, in seconds. */
  readonly meanBurstIntervalSeconds?: number;
  /** The factor by which a burst multiplies the rate. */
  readonly burstFactor?: number;
  /** How long a burst lasts, in seconds. */
  readonly burstSeconds?: number;
  /** The mean of a request's run time, which is distributed exponentially, in milliseconds. */
  readonly meanRunMs?: Millis;
  /** A request that starts more than this time after its arrival is late, in milliseconds. */
  readonly lateAfterMs?: Millis;
  /** How long a target takes from its order until it accepts requests, in milliseconds. */
  readonly warmUpMs?: Millis;
  /** How many requests a target runs at the same time. */
  readonly slots?: number;
  /** The lowest number of targets. */
  readonly least?: number;
  /** The highest number of targets. */
  readonly most?: number;
  /** The time between decisions of the policy, in seconds. */
  readonly decisionPeriodSeconds?: number;
}

/** The cost of a simulated day and how many requests were late. */
export interface ScalingSimulationResult {
  /** The time that all targets ran or started, summed, in hours. */
  readonly targetHours: number;
  readonly requests: number;
  readonly lateRequests: number;
  /** The late requests as a fraction of all, from 0 to 1. */
  readonly lateShare: number;
  /** How many targets were started or stopped by an order. */
  readonly orders: number;
  /** The highest number of running and starting targets. */
  readonly peakTargets: number;
}

const DEFAULTS: Required<Omit<ScalingSimulationOptions, 'seed'>> = {
  durationSeconds: DAY_SECONDS,
  troughRequestsPerSecond: 2,
  peakRequestsPerSecond: 16,
  meanBurstIntervalSeconds: 7_200,
  burstFactor: 2,
  burstSeconds: 300,
  meanRunMs: 2_000,
  lateAfterMs: 2_000,
  warmUpMs: 120_000,
  slots: 8,
  least: 1,
  most: 12,
  decisionPeriodSeconds: 10,
};

/**
 * Simulates a policy over a day. Requests arrive as a Poisson process whose rate follows a sine
 * over the day, with bursts. They wait in one queue for a free slot of any live target.
 *
 * @param policy - a policy that hasn't been used before
 * @param options - the seed, and the demand and targets that differ from the defaults
 * @returns the cost and the number of late requests
 */
export function simulateScaling(
  policy: ScalingPolicy,
  experiment: ScalingSimulationOptions,
): ScalingSimulationResult {
  const run = new ScalingSimulation(policy, { ...DEFAULTS, ...experiment });
  return run.run();
}

class ScalingSimulation {
  readonly #clock = new ManualClock();

  readonly #runTimeRandom: RandomSource;

  readonly #arrivalRandom: RandomSource;

  #liveTargets: number;

  // The second from which each starting target accepts requests.
  #startingReadyAt: number[] = [];

  // The second at which each running request ends.
  #runEnds: number[] = [];

  // The second at which each request arrived; those from `#firstQueued` on still wait.
  #arrivals: number[] = [];

  #firstQueued = 0;

  // The second at which the latest burst ends.
  #burstEnd = -1;

  #targetSeconds = 0;

  #requests = 0;

  #lateRequests = 0;

  #orders = 0;

  #peakTargets = 0;

  constructor(
    readonly policy: ScalingPolicy,
    readonly options: Required<ScalingSimulationOptions>,
  ) {
    this.#runTimeRandom = new RandomSource(options.seed);
    this.#arrivalRandom = new RandomSource(options.seed + 1);
    this.#liveTargets = options.least;
  }

  run(): ScalingSimulationResult {
    for (let second = 0; second < this.options.durationSeconds; second += 1)
      this.#simulateSecond(second);
    return {
      targetHours: Math.round(this.#targetSeconds / 36) / 100,
      requests: this.#requests,
      lateRequests: this.#lateRequests,
      lateShare: Math.round((this.#lateRequests / this.#requests) * 1e5) / 1e5,
      orders: this.#orders,
      peakTargets: this.#peakTargets,
    };
  }

  #simulateSecond(second: number): void {
    this.#clock.advance(SECOND_MS);
    const ready = this.#startingReadyAt.filter((at) => at <= second).length;
    this.#startingReadyAt = this.#startingReadyAt.filter((at) => at > second);
    this.#liveTargets += ready;
    this.#runEnds = this.#runEnds.filter((at) => at > second);
    this.#addArrivals(second);
    this.#startQueuedRequests(second);
    const running = this.#liveTargets + this.#startingReadyAt.length;
    this.#targetSeconds += running;
    this.#peakTargets = Math.max(this.#peakTargets, running);
    if (second % this.options.decisionPeriodSeconds === 0) this.#applyDecision(second);
  }

  #addArrivals(second: number): void {
    const {
      troughRequestsPerSecond,
      peakRequestsPerSecond,
      meanBurstIntervalSeconds,
      burstFactor,
      burstSeconds,
    } = this.options;
    const phase = (2 * Math.PI * second) / DAY_SECONDS;
    const base =
      troughRequestsPerSecond +
      ((peakRequestsPerSecond - troughRequestsPerSecond) * (1 - Math.cos(phase))) / 2;
    if (this.#arrivalRandom.fraction() < 1 / meanBurstIntervalSeconds)
      this.#burstEnd = second + burstSeconds;
    const rate = second < this.#burstEnd ? base * burstFactor : base;
    let at = this.#arrivalRandom.exponential(1 / rate);
    while (at < 1) {
      this.#arrivals.push(second);
      this.#requests += 1;
      at += this.#arrivalRandom.exponential(1 / rate);
    }
  }

  #startQueuedRequests(second: number): void {
    const { slots, meanRunMs, lateAfterMs } = this.options;
    const freeSlots = Math.max(0, this.#liveTargets * slots - this.#runEnds.length);
    const started = this.#arrivals.slice(this.#firstQueued, this.#firstQueued + freeSlots);
    this.#firstQueued += started.length;
    started.forEach((arrivedAt) => {
      if ((second - arrivedAt) * SECOND_MS > lateAfterMs) this.#lateRequests += 1;
      this.#runEnds.push(second + this.#runTimeRandom.exponential(meanRunMs) / SECOND_MS);
    });
  }

  #applyDecision(second: number): void {
    const { slots, least, most, warmUpMs } = this.options;
    const demand = {
      inFlight: this.#runEnds.length,
      queued: this.#arrivals.length - this.#firstQueued,
      tokensPerSecond: 0,
      requestsPerSecond: 0,
      refusedPerSecond: 0,
      latencyMs: 0,
      entries: 1,
    };
    const starting = this.#startingReadyAt.length;
    const input = { demand, live: this.#liveTargets, starting, least, most, slots };
    const { desiredCount } = this.policy.decide(input, this.#clock, this.#runTimeRandom);
    const change = desiredCount - this.#liveTargets - starting;
    this.#orders += Math.abs(change);
    for (let count = 0; count < change; count += 1) {
      this.#startingReadyAt.push(second + warmUpMs / SECOND_MS);
    }
    if (change < 0) this.#liveTargets = Math.max(least, this.#liveTargets + change);
  }
}
