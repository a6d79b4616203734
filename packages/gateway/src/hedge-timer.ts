/** Waits for the time at which a request should be hedged. */
import type { Clock, Logger, Metrics, Millis, ServiceId, TargetId } from '@hibiscushill/base';
import { type HedgeDecision, SpeedHedge } from '@hibiscushill/routing';

import type { Attempt } from './attempt';
import type { ServingRoute } from './serving-config';
import type { TargetRegistration } from './target-directory';
import type { TargetStats } from './target-stats';

// A second target gets a request once the first has used this fraction of the latency goal.
const HEDGE_DELAY_GOAL_FRACTION = 0.5;
const MIN_HEDGE_DELAY_MS = 40;
// How soon a request is looked at again whose hedge the budget didn't allow.
const BUDGET_RECHECK_MS = 20;

const ENDED: HedgeDecision = { type: 'wait', ms: BUDGET_RECHECK_MS };

/** The clock, what is known of targets, and the counters. */
export interface HedgeTimerOptions {
  readonly clock: Clock;
  readonly stats: TargetStats;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** What decides when a request is hedged while no target reports its speed. */
export interface HedgedRequest {
  readonly route: ServingRoute;
  /** A fixed delay, whatever targets report; by default, it depends on the route's goal. */
  readonly hedgeDelayMs?: Millis;
}

/** Lists the targets that a request may be sent to now. */
export type ListTargets = () => readonly TargetRegistration[];

/** The targets that a hedge may go to; undefined for any. */
export type HedgeTargets = ReadonlySet<TargetId> | undefined;

/** Decides about hedges by the speeds that targets report, and by a fixed delay where they don't. */
export class HedgeTimer {
  readonly #options: HedgeTimerOptions;

  readonly #hedge: SpeedHedge;

  /** How many targets reported their speed when this was last looked at. */
  #reporting = 0;

  /** @param options - the clock and what is known of targets */
  constructor(options: HedgeTimerOptions) {
    this.#options = options;
    this.#hedge = new SpeedHedge(options.clock);
  }

  /** Counts a request, since the number of early hedges is bounded by that of requests. */
  recordRequest(service: ServiceId): void {
    const { stats, metrics, logger } = this.#options;
    this.#hedge.recordRequest(service);
    const { size } = stats.speeds;
    if (size === this.#reporting) return;
    this.#reporting = size;
    metrics.gauge('target.reporting_speed', size);
    logger.info('The number of targets that report their speed has changed.', { targets: size });
  }

  /**
   * Resolves when a request should be hedged, and tells where; once the signal aborts, at once.
   *
   * @param first - the request's attempt at its first target
   * @param listOthers - lists the targets for the hedge
   */
  async wait(
    request: HedgedRequest,
    first: Attempt,
    listOthers: ListTargets,
    signal: AbortSignal,
  ): Promise<HedgeTargets> {
    const { clock, metrics } = this.#options;
    const maxDelayMs = findHedgeDelayMs(request);
    // Requests with a delay of their own are scoring calls. The holder has tens of them open at once,
    // and looking at each every few milliseconds kept its processor busy.
    const hasFixedDelay = request.hedgeDelayMs !== undefined;
    if (hasFixedDelay || !this.#isReported([first.call.target, ...listOthers()])) {
      await clock.sleep(Math.max(0, maxDelayMs - first.ageMs), signal);
      return undefined;
    }
    while (!signal.aborted) {
      // The report that ended the last wait may be that of the request's own complete response.
      const decision = first.hasEnded ? ENDED : this.#decide(first, listOthers(), maxDelayMs);
      const isDue = decision.type === 'hedge';
      if (isDue && !decision.isEarly) return new Set(decision.targets);
      if (isDue && this.#hedge.tryStartEarly(first.call.target.service)) {
        metrics.count('request.hedged_early');
        return new Set(decision.targets);
      }
      await this.#waitForReport(first, isDue ? BUDGET_RECHECK_MS : decision.ms, signal);
    }
    return new Set();
  }

  #isReported(targets: readonly TargetRegistration[]): boolean {
    const { speeds } = this.#options.stats;
    return speeds.size > 0 && targets.some(({ id }) => speeds.isReported(id));
  }

  #decide(
    { ageMs, sentAt, call: { target } }: Attempt,
    others: readonly TargetRegistration[],
    maxDelayMs: Millis,
  ): HedgeDecision {
    const { stats } = this.#options;
    const { speeds } = stats;
    const usualMs = speeds.usualMsOf(target.id) ?? this.#findUsualMs(others);
    const expectedMs =
      usualMs === undefined ? Infinity : speeds.expectOpenMs(target.id, sentAt, usualMs);
    return this.#hedge.decide(
      { ageMs, usualMs, expectedMs, maxDelayMs },
      others.map(({ id, slots }) => ({
        id,
        expectedMs: stats.expectedLatencyMsOf(id) ?? speeds.typicalMs(usualMs ?? 0),
        hasFreeSlot: stats.estimateLoadPerSlot(id, slots) < 1,
      })),
    );
  }

  #findUsualMs(targets: readonly TargetRegistration[]): Millis | undefined {
    const known = targets
      .map(({ id }) => this.#options.stats.speeds.usualMsOf(id))
      .filter((ms) => ms !== undefined)
      .sort((a, b) => a - b);
    return known[Math.floor(known.length / 2)];
  }

  async #waitForReport(first: Attempt, ms: Millis, signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const end = (): void => stop.abort();
    signal.addEventListener('abort', end, { once: true, signal: stop.signal });
    this.#options.stats.speeds.onNextReport(first.call.target.id, end, stop.signal);
    await this.#options.clock.sleep(ms, stop.signal);
    end();
  }
}

function findHedgeDelayMs({ route: { goalMs }, hedgeDelayMs }: HedgedRequest): Millis {
  return hedgeDelayMs ?? Math.max(MIN_HEDGE_DELAY_MS, goalMs * HEDGE_DELAY_GOAL_FRACTION);
}
