/** The policy for which target gets a short request. */
import type { RandomSource, TargetId, ZoneId } from '@hibiscushill/base';

import type { TargetRegistration } from './target-directory';
import type { TargetLimiter } from './target-limiter';
import type { TargetPacer } from './target-pacer';
import type { TargetStats } from './target-stats';

// A target without a measured latency counts as this fast, so that it is tried early.
const UNKNOWN_LATENCY_MS = 1;
// A request that waits behind a full target takes about one average latency longer.
const LOAD_WEIGHT = 1;
// The round trip to another availability zone.
const CROSS_ZONE_PENALTY_MS = 2;

/** A policy for the target of a short request. */
export abstract class TargetChooser {
  /**
   * Chooses a target.
   *
   * @param targets - the service's usable targets
   * @param tried - targets that the request was sent to before
   * @returns the target, or undefined when none is left
   */
  abstract choose(
    targets: readonly TargetRegistration[],
    tried: ReadonlySet<TargetId>,
  ): TargetRegistration | undefined;
}

/**
 * Chooses the target with the lowest expected latency by what this process has observed, and leaves
 * out ejected targets unless all are. Meant for a few requests spread over many processes, and for
 * targets of which some are slow or failing.
 */
export class LowestLatencyChooser extends TargetChooser {
  readonly #stats: TargetStats;

  readonly #zone: ZoneId;

  readonly #random: RandomSource;

  readonly #pacer: TargetPacer | undefined;

  readonly #limiter: Pick<TargetLimiter, 'findCold'> | undefined;

  /**
   * @param options - observations of the targets, this process's zone, the random source, and the
   *   ramp-ups and the limits of cold targets, if there are any
   */
  constructor(options: {
    stats: TargetStats;
    zone: ZoneId;
    random: RandomSource;
    pacer?: TargetPacer;
    limiter?: Pick<TargetLimiter, 'findCold'>;
  }) {
    super();
    this.#pacer = options.pacer;
    this.#limiter = options.limiter;
    this.#stats = options.stats;
    this.#zone = options.zone;
    this.#random = options.random;
  }

  override choose(
    targets: readonly TargetRegistration[],
    tried: ReadonlySet<TargetId>,
  ): TargetRegistration | undefined {
    const untried = targets.filter((target) => !tried.has(target.id));
    const healthy = untried.filter((target) => !this.#stats.isEjected(target.id));
    const candidates = healthy.length > 0 ? healthy : untried;
    const estimates = candidates.map((target) => ({
      target,
      estimateMs: this.#estimateMs(target),
    }));
    return estimates.sort((a, b) => a.estimateMs - b.estimateMs)[0]?.target;
  }

  /** Estimates the time to a response; the random part breaks ties. */
  #estimateMs(target: TargetRegistration): number {
    const rampMs = this.#pacer?.findExpectedLatency(target);
    const latencyMs = rampMs ?? this.#stats.expectedLatencyMsOf(target.id) ?? UNKNOWN_LATENCY_MS;
    const load = this.#stats.estimateLoadPerSlot(target.id, target.slots);
    const zoneMs = target.zone === this.#zone ? 0 : CROSS_ZONE_PENALTY_MS;
    const cold = this.#limiter?.findCold(target);
    // Its turns are few, and are lost unless a request takes them soon.
    if (cold?.isStated && load < 1) return this.#random.fraction() - 1;
    const isWarmingUp = !cold && rampMs === undefined && (target.coldLeftMs ?? 0) > 0;
    const warmUpMs = isWarmingUp ? latencyMs : 0;
    return (latencyMs + warmUpMs) * (1 + LOAD_WEIGHT * load) + zoneMs + this.#random.fraction();
  }
}
