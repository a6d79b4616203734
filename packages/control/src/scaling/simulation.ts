/** Runs a scaling policy against a day-like demand in discrete time, without any process. */
import { ManualClock, type Millis, RandomSource } from '@hibiscushill/base';

import type { ScalingPolicy } from './policy';

const SECOND_MS = 1_000;
const DAY_SECONDS = 86_400;

/** What the policy runs against. */
export interface ScalingExperiment {
  readonly seed: number;
  /** Length of the run, in seconds. */
  readonly seconds?: number;
  /** Requests a second at the quietest and at the busiest time of the day. */
  readonly quietRate?: number;
  readonly busyRate?: number;
  /** How often a burst begins, on the average, in seconds; and how much it multiplies demand. */
  readonly burstEverySeconds?: number;
  readonly burstFactor?: number;
  readonly burstSeconds?: number;
  /** How long a request runs, in milliseconds. */
  readonly serviceMs?: Millis;
  /** A request that starts later than this after its arrival is late, in milliseconds. */
  readonly lateMs?: Millis;
  readonly warmUpMs?: Millis;
  readonly slots?: number;
  readonly least?: number;
  readonly most?: number;
  /** How often the policy decides, in seconds. */
  readonly decideSeconds?: number;
}

/** What the run cost and gave. */
export interface ScalingOutcome {
  readonly targetHours: number;
  readonly requests: number;
  readonly late: number;
  readonly lateShare: number;
  readonly orders: number;
  readonly peakTargets: number;
}

const DEFAULTS: Required<Omit<ScalingExperiment, 'seed'>> = {
  seconds: DAY_SECONDS,
  quietRate: 2,
  busyRate: 16,
  burstEverySeconds: 7_200,
  burstFactor: 2,
  burstSeconds: 300,
  serviceMs: 2_000,
  lateMs: 2_000,
  warmUpMs: 120_000,
  slots: 8,
  least: 1,
  most: 12,
  decideSeconds: 10,
};

/**
 * Runs a policy for a day. Requests arrive in a Poisson process whose rate follows a sine over the
 * day, with bursts; they wait in one queue for a slot of any live target.
 *
 * @param policy - a fresh policy
 * @param experiment - demand, targets and the seed
 * @returns cost and late requests
 */
export function runScalingExperiment(
  policy: ScalingPolicy,
  experiment: ScalingExperiment,
): ScalingOutcome {
  const run = new ExperimentRun(policy, { ...DEFAULTS, ...experiment });
  return run.complete();
}

class ExperimentRun {
  readonly #clock = new ManualClock();

  readonly #random: RandomSource;

  readonly #demand: RandomSource;

  #live: number;

  #starting: number[] = [];

  // The second in which each running request ends, and in which each waiting one came.
  #endings: number[] = [];

  #waiting: number[] = [];

  #firstWaiting = 0;

  #burstUntil = -1;

  #targetSeconds = 0;

  #requests = 0;

  #late = 0;

  #orders = 0;

  #peak = 0;

  constructor(
    readonly policy: ScalingPolicy,
    readonly setup: Required<ScalingExperiment>,
  ) {
    this.#random = new RandomSource(setup.seed);
    this.#demand = new RandomSource(setup.seed + 1);
    this.#live = setup.least;
  }

  complete(): ScalingOutcome {
    for (let second = 0; second < this.setup.seconds; second += 1) this.#step(second);
    return {
      targetHours: Math.round(this.#targetSeconds / 36) / 100,
      requests: this.#requests,
      late: this.#late,
      lateShare: Math.round((this.#late / this.#requests) * 1e5) / 1e5,
      orders: this.#orders,
      peakTargets: this.#peak,
    };
  }

  #step(second: number): void {
    this.#clock.advance(SECOND_MS);
    const ready = this.#starting.filter((at) => at <= second).length;
    this.#starting = this.#starting.filter((at) => at > second);
    this.#live += ready;
    this.#endings = this.#endings.filter((at) => at > second);
    this.#arrive(second);
    this.#serve(second);
    const running = this.#live + this.#starting.length;
    this.#targetSeconds += running;
    this.#peak = Math.max(this.#peak, running);
    if (second % this.setup.decideSeconds === 0) this.#decide(second);
  }

  #arrive(second: number): void {
    const { quietRate, busyRate, burstEverySeconds, burstFactor, burstSeconds } = this.setup;
    const phase = (2 * Math.PI * second) / DAY_SECONDS;
    const base = quietRate + ((busyRate - quietRate) * (1 - Math.cos(phase))) / 2;
    if (this.#demand.fraction() < 1 / burstEverySeconds) this.#burstUntil = second + burstSeconds;
    const rate = second < this.#burstUntil ? base * burstFactor : base;
    let at = this.#demand.exponential(1 / rate);
    while (at < 1) {
      this.#waiting.push(second);
      this.#requests += 1;
      at += this.#demand.exponential(1 / rate);
    }
  }

  #serve(second: number): void {
    const { slots, serviceMs, lateMs } = this.setup;
    const free = Math.max(0, this.#live * slots - this.#endings.length);
    const served = this.#waiting.slice(this.#firstWaiting, this.#firstWaiting + free);
    this.#firstWaiting += served.length;
    served.forEach((cameAt) => {
      if ((second - cameAt) * SECOND_MS > lateMs) this.#late += 1;
      this.#endings.push(second + this.#random.exponential(serviceMs) / SECOND_MS);
    });
  }

  #decide(second: number): void {
    const { slots, least, most, warmUpMs } = this.setup;
    const demand = {
      inFlight: this.#endings.length,
      queued: this.#waiting.length - this.#firstWaiting,
      tokensPerSecond: 0,
      requestsPerSecond: 0,
      refusedPerSecond: 0,
      latencyMs: 0,
      entries: 1,
    };
    const starting = this.#starting.length;
    const input = { demand, live: this.#live, starting, least, most, slots };
    const { wanted } = this.policy.decide(input, this.#clock, this.#random);
    const change = wanted - this.#live - starting;
    this.#orders += Math.abs(change);
    for (let count = 0; count < change; count += 1) {
      this.#starting.push(second + warmUpMs / SECOND_MS);
    }
    if (change < 0) this.#live = Math.max(least, this.#live + change);
  }
}
