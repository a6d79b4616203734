/** Outlier ejection: targets that fail get no requests for a time. */
import type { Clock, Millis, MonoTime, TargetId } from '@hibiscushill/base';

/**
 * Evidence of a target's health: an attempt got a response (`answered`), an attempt failed through
 * the fault of the target, or the target no longer responds (`silent`), for instance because a
 * connection broke.
 */
export type TargetOutcome = 'answered' | 'failed' | 'silent';

/** The clock and the limits of {@link OutlierEjector}. */
export interface OutlierEjectorOptions {
  readonly clock: Clock;
  /** The number of consecutive failures that ejects a target. */
  readonly consecutiveFailures?: number;
  /** The length of a target's first ejection, in milliseconds. */
  readonly baseEjectionMs?: Millis;
  /** The longest ejection, in milliseconds. */
  readonly maxEjectionMs?: Millis;
  /** The largest fraction of the targets that may be ejected at the same time. */
  readonly maxEjectedFraction?: number;
}

interface TargetHealth {
  /** Failures since the last response or ejection. */
  consecutiveFailures: number;
  /** Ejections since the last response. */
  consecutiveEjections: number;
  /** When the latest ejection ends; undefined if the target has responded since. */
  ejectedUntil: MonoTime | undefined;
  /** When the open probe is considered lost; undefined without a probe. */
  probeUntil: MonoTime | undefined;
}

const DEFAULT_CONSECUTIVE_FAILURES = 5;
const DEFAULT_BASE_EJECTION_MS = 1000;
const DEFAULT_MAX_EJECTION_MS = 30_000;
const DEFAULT_MAX_EJECTED_FRACTION = 0.34;

/**
 * Ejects a target after several consecutive failures, or at once when it no longer responds.
 * Each further ejection takes twice as long. After an ejection a single attempt probes the target:
 * a response ends the ejection, anything else starts the next one. Only a fraction of the targets
 * is ejected at the same time.
 */
export class OutlierEjector {
  readonly #clock: Clock;

  readonly #consecutiveFailures: number;

  readonly #baseEjectionMs: Millis;

  readonly #maxEjectionMs: Millis;

  readonly #maxEjectedFraction: number;

  readonly #healthByTarget = new Map<TargetId, TargetHealth>();

  /** @param options - the clock and the limits */
  constructor(options: OutlierEjectorOptions) {
    this.#clock = options.clock;
    this.#consecutiveFailures = options.consecutiveFailures ?? DEFAULT_CONSECUTIVE_FAILURES;
    this.#baseEjectionMs = options.baseEjectionMs ?? DEFAULT_BASE_EJECTION_MS;
    this.#maxEjectionMs = options.maxEjectionMs ?? DEFAULT_MAX_EJECTION_MS;
    this.#maxEjectedFraction = options.maxEjectedFraction ?? DEFAULT_MAX_EJECTED_FRACTION;
  }

  /**
   * Replaces the set of targets. Targets that are no longer in the set lose their history.
   *
   * @param targets - the service's targets
   */
  setTargets(targets: readonly TargetId[]): void {
    const current = new Set(targets);
    [...this.#healthByTarget.keys()]
      .filter((target) => !current.has(target))
      .forEach((target) => this.#healthByTarget.delete(target));
    targets
      .filter((target) => !this.#healthByTarget.has(target))
      .forEach((target) => this.#healthByTarget.set(target, createHealth()));
  }

  /**
   * Records that an attempt was sent. The first attempt after an ejection is the probe.
   *
   * @param target - the target
   */
  recordSent(target: TargetId): void {
    const health = this.#healthByTarget.get(target);
    const now = this.#clock.mono();
    if (!health || health.ejectedUntil === undefined || now < health.ejectedUntil) return;
    health.probeUntil = (now + this.#nextEjectionMs(health)) as MonoTime;
  }

  /**
   * Records the outcome of an attempt, or that the target no longer responds.
   *
   * @param target - the target
   * @param outcome - the evidence
   */
  recordOutcome(target: TargetId, outcome: TargetOutcome): void {
    const health = this.#healthByTarget.get(target);
    if (!health) return;
    if (outcome === 'answered') {
      this.#healthByTarget.set(target, createHealth());
      return;
    }
    health.consecutiveFailures += 1;
    const isProbe = health.probeUntil !== undefined;
    const isDue =
      isProbe || outcome === 'silent' || health.consecutiveFailures >= this.#consecutiveFailures;
    if (isDue && (isProbe || this.#mayEject(health))) this.#eject(health);
  }

  /**
   * Checks whether a target must get no requests.
   *
   * @param target - the target
   * @returns true during an ejection and while the probe after it is open
   */
  isEjected(target: TargetId): boolean {
    const health = this.#healthByTarget.get(target);
    return health !== undefined && this.#isOut(health);
  }

  #isOut(state: TargetHealth): boolean {
    const now = this.#clock.mono();
    if (state.ejectedUntil === undefined) return false;
    return now < state.ejectedUntil || (state.probeUntil !== undefined && now < state.probeUntil);
  }

  #mayEject(health: TargetHealth): boolean {
    if (this.#isOut(health)) return false;
    const ejected = [...this.#healthByTarget.values()].filter((other) => this.#isOut(other)).length;
    return ejected + 1 <= Math.floor(this.#healthByTarget.size * this.#maxEjectedFraction);
  }

  #eject(health: TargetHealth): void {
    Object.assign(health, {
      consecutiveFailures: 0,
      consecutiveEjections: health.consecutiveEjections + 1,
      ejectedUntil: this.#clock.mono() + this.#nextEjectionMs(health),
      probeUntil: undefined,
    });
  }

  #nextEjectionMs(health: TargetHealth): Millis {
    return Math.min(this.#maxEjectionMs, this.#baseEjectionMs * 2 ** health.consecutiveEjections);
  }
}

function createHealth(): TargetHealth {
  return {
    consecutiveFailures: 0,
    consecutiveEjections: 0,
    ejectedUntil: undefined,
    probeUntil: undefined,
  };
}
