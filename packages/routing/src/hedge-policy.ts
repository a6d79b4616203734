/** Hedging: a second attempt of idempotent work at another target while the first is still open. */
import type { Clock, Millis, ServiceId } from '@hibiscushill/base';
import { type Option, none, some } from 'fp-ts/Option';

import { LatencyHistogram } from './latency-histogram';
import type { RetryBudget } from './retry-budget';

/** The properties of a request that decide on a hedge. */
export interface HedgeRequest {
  readonly service: ServiceId;
  readonly idempotent: boolean;
  /** The time until the request's deadline, in milliseconds. */
  readonly remainingMs: Millis;
}

/** Decides whether and when requests are hedged. */
export abstract class HedgePolicy {
  /**
   * Decides when a request is hedged.
   *
   * @param req - the request
   * @returns milliseconds from the start of the first attempt, or none for no hedge
   */
  abstract delayFor(req: HedgeRequest): Option<Millis>;

  /**
   * Takes a hedge from the budget. Called when the delay has passed.
   *
   * @param service - the service
   * @returns false when the budget is used up and the hedge must not be sent
   */
  abstract tryStart(service: ServiceId): boolean;

  /**
   * Records an attempt's time to first byte.
   *
   * @param service - the service
   * @param ms - the time in milliseconds
   */
  abstract recordLatency(service: ServiceId, ms: Millis): void;
}

/** Never hedges. */
export class NoHedgePolicy extends HedgePolicy {
  override delayFor(): Option<Millis> {
    return none;
  }

  override tryStart(): boolean {
    return false;
  }

  override recordLatency(): void {
    // Latencies are not used.
  }
}

/** The budget and the thresholds of {@link QuantileHedgePolicy}. */
export interface QuantileHedgePolicyOptions {
  readonly clock: Clock;
  readonly budget: RetryBudget;
  /** The quantile of the service's latencies that sets the delay, from 0 to 1. */
  readonly quantile?: number;
  /** The number of latencies that must be recorded before any hedge. */
  readonly minSamples?: number;
  /** The shortest delay of a hedge, in milliseconds. */
  readonly minDelayMs?: Millis;
  /** The length of the histogram's time windows, in milliseconds. */
  readonly windowMs?: Millis;
}

const DEFAULT_QUANTILE = 0.95;
const DEFAULT_MIN_SAMPLES = 50;
const DEFAULT_MIN_DELAY_MS = 5;
const DEFAULT_WINDOW_MS = 30_000;

/** Hedges requests that exceed a quantile of recent latencies, within the retry budget. */
export class QuantileHedgePolicy extends HedgePolicy {
  readonly #clock: Clock;

  readonly #budget: RetryBudget;

  readonly #quantile: number;

  readonly #minSamples: number;

  readonly #minDelayMs: Millis;

  readonly #windowMs: Millis;

  readonly #latencies = new Map<ServiceId, LatencyHistogram>();

  /** @param options - the clock, the budget and the thresholds */
  constructor(options: QuantileHedgePolicyOptions) {
    super();
    this.#clock = options.clock;
    this.#budget = options.budget;
    this.#quantile = options.quantile ?? DEFAULT_QUANTILE;
    this.#minSamples = options.minSamples ?? DEFAULT_MIN_SAMPLES;
    this.#minDelayMs = options.minDelayMs ?? DEFAULT_MIN_DELAY_MS;
    this.#windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
  }

  override delayFor(req: HedgeRequest): Option<Millis> {
    const histogram = this.#latencies.get(req.service);
    if (!req.idempotent || !histogram || histogram.count < this.#minSamples) return none;
    const delayMs = Math.max(this.#minDelayMs, histogram.quantile(this.#quantile));
    return delayMs < req.remainingMs ? some(delayMs) : none;
  }

  override tryStart(service: ServiceId): boolean {
    return this.#budget.tryTake(service);
  }

  override recordLatency(service: ServiceId, ms: Millis): void {
    const histogram =
      this.#latencies.get(service) ?? new LatencyHistogram(this.#clock, this.#windowMs);
    this.#latencies.set(service, histogram);
    histogram.record(ms);
  }
}
