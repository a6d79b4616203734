/** When to send idempotent work to a second target while the first is still at it. */
import type { Clock, Millis, ServiceId } from '@hibiscushill/base';
import { type Option, none, some } from 'fp-ts/Option';

import { LatencyWindow } from './latency-window';
import type { RetryBudget } from './retry-budget';

/** The request that might be hedged. */
export interface HedgeRequest {
  readonly service: ServiceId;
  readonly idempotent: boolean;
  /** The time until the request's deadline, in milliseconds. */
  readonly remainingMs: Millis;
}

/** Decides on hedges. */
export abstract class HedgePolicy {
  /**
   * Decides when a hedge is due.
   *
   * @param req - the request
   * @returns milliseconds from the start of the first attempt, or none for no hedge
   */
  abstract delayFor(req: HedgeRequest): Option<Millis>;

  /**
   * Takes a hedge from the budget at the moment when it is due.
   *
   * @param service - the service
   * @returns false when the hedge must not be sent
   */
  abstract tryStart(service: ServiceId): boolean;

  /**
   * Records how long an attempt took to its first byte.
   *
   * @param service - the service
   * @param ms - the latency in milliseconds
   */
  abstract recordLatency(service: ServiceId, ms: Millis): void;
}

/** Never hedges. */
export class NoHedge extends HedgePolicy {
  override delayFor(): Option<Millis> {
    return none;
  }

  override tryStart(): boolean {
    return false;
  }

  override recordLatency(): void {
    // Nothing depends on it.
  }
}

/** How {@link QuantileHedge} decides. */
export interface QuantileHedgeOptions {
  readonly clock: Clock;
  readonly budget: RetryBudget;
  /** The quantile of latency after which a hedge is due. */
  readonly quantile?: number;
  /** The latencies that have to be known first. */
  readonly leastSamples?: number;
  /** The least delay of a hedge, in milliseconds. */
  readonly leastDelayMs?: Millis;
  /** How far back latencies count, in milliseconds. */
  readonly windowMs?: Millis;
}

const DEFAULT_QUANTILE = 0.95;
const DEFAULT_LEAST_SAMPLES = 50;
const DEFAULT_LEAST_DELAY_MS = 5;
const DEFAULT_WINDOW_MS = 30_000;

/** Hedges what takes longer than a quantile of recent latencies, within the retry budget. */
export class QuantileHedge extends HedgePolicy {
  readonly #clock: Clock;

  readonly #budget: RetryBudget;

  readonly #quantile: number;

  readonly #leastSamples: number;

  readonly #leastDelayMs: Millis;

  readonly #windowMs: Millis;

  readonly #latencies = new Map<ServiceId, LatencyWindow>();

  /** @param options - the clock, the budget and the bounds */
  constructor(options: QuantileHedgeOptions) {
    super();
    this.#clock = options.clock;
    this.#budget = options.budget;
    this.#quantile = options.quantile ?? DEFAULT_QUANTILE;
    this.#leastSamples = options.leastSamples ?? DEFAULT_LEAST_SAMPLES;
    this.#leastDelayMs = options.leastDelayMs ?? DEFAULT_LEAST_DELAY_MS;
    this.#windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
  }

  override delayFor(req: HedgeRequest): Option<Millis> {
    const window = this.#latencies.get(req.service);
    if (!req.idempotent || !window || window.count < this.#leastSamples) return none;
    const delayMs = Math.max(this.#leastDelayMs, window.quantile(this.#quantile));
    return delayMs < req.remainingMs ? some(delayMs) : none;
  }

  override tryStart(service: ServiceId): boolean {
    return this.#budget.tryTake(service);
  }

  override recordLatency(service: ServiceId, ms: Millis): void {
    const window = this.#latencies.get(service) ?? new LatencyWindow(this.#clock, this.#windowMs);
    this.#latencies.set(service, window);
    window.record(ms);
  }
}
