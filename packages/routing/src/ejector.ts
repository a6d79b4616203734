/** Targets that fail are left out for a while. */
import type { Clock, Millis, MonoTime, TargetId } from '@hibiscushill/base';

/** How an attempt at a target ended, as far as it tells about the target. */
export type TargetOutcome = 'answered' | 'failed' | 'silent';

/** How {@link Ejector} decides. */
export interface EjectorOptions {
  readonly clock: Clock;
  /** The failures in a row that eject a target. */
  readonly failures?: number;
  /** The first ejection's length, in milliseconds. */
  readonly baseMs?: Millis;
  /** The longest ejection, in milliseconds. */
  readonly mostMs?: Millis;
  /** The greatest part of the targets that may be ejected at once. */
  readonly mostShare?: number;
}

interface TargetHealth {
  failures: number;
  /** Ejections since the target last answered well. */
  ejections: number;
  /** When the present ejection ends. */
  until: MonoTime | undefined;
  /** When the open probe is given up for lost. */
  probeUntil: MonoTime | undefined;
}

const DEFAULT_FAILURES = 5;
const DEFAULT_BASE_MS = 1000;
const DEFAULT_MOST_MS = 30_000;
const DEFAULT_MOST_SHARE = 0.34;

/**
 * Ejects a target after failures in a row or at once on silence, for a time that doubles. Then a
 * single probe decides. Of each service's targets only a share is ejected at the same time.
 */
export class Ejector {
  readonly #clock: Clock;

  readonly #failures: number;

  readonly #baseMs: Millis;

  readonly #mostMs: Millis;

  readonly #mostShare: number;

  readonly #records = new Map<TargetId, TargetHealth>();

  /** @param options - the clock and the bounds */
  constructor(options: EjectorOptions) {
    this.#clock = options.clock;
    this.#failures = options.failures ?? DEFAULT_FAILURES;
    this.#baseMs = options.baseMs ?? DEFAULT_BASE_MS;
    this.#mostMs = options.mostMs ?? DEFAULT_MOST_MS;
    this.#mostShare = options.mostShare ?? DEFAULT_MOST_SHARE;
  }

  /**
   * Sets the targets that the share of ejected ones is taken from, and forgets all others.
   *
   * @param targets - the service's targets
   */
  setTargets(targets: readonly TargetId[]): void {
    const present = new Set(targets);
    [...this.#records.keys()]
      .filter((target) => !present.has(target))
      .forEach((target) => this.#records.delete(target));
    targets
      .filter((target) => !this.#records.has(target))
      .forEach((target) => this.#records.set(target, createRecord()));
  }

  /**
   * Records that an attempt was sent. After an ejection it is the probe.
   *
   * @param target - the target
   */
  recordSent(target: TargetId): void {
    const record = this.#records.get(target);
    const now = this.#clock.mono();
    if (!record || record.until === undefined || now < record.until) return;
    record.probeUntil = (now + this.#lengthOf(record)) as MonoTime;
  }

  /**
   * Records how an attempt ended.
   *
   * @param target - the target
   * @param outcome - how it ended
   */
  recordOutcome(target: TargetId, outcome: TargetOutcome): void {
    const record = this.#records.get(target);
    if (!record) return;
    if (outcome === 'answered') {
      this.#records.set(target, createRecord());
      return;
    }
    record.failures += 1;
    const isProbe = record.probeUntil !== undefined;
    const isDue = isProbe || outcome === 'silent' || record.failures >= this.#failures;
    if (isDue && (isProbe || this.#mayEject(record))) this.#eject(record);
  }

  /**
   * Tells whether a target is left out.
   *
   * @param target - the target
   * @returns true during an ejection, and while its probe is open
   */
  isEjected(target: TargetId): boolean {
    const record = this.#records.get(target);
    return record !== undefined && this.#isOut(record);
  }

  #isOut(record: TargetHealth): boolean {
    const now = this.#clock.mono();
    if (record.until === undefined) return false;
    return now < record.until || (record.probeUntil !== undefined && now < record.probeUntil);
  }

  #mayEject(record: TargetHealth): boolean {
    if (this.#isOut(record)) return false;
    const out = [...this.#records.values()].filter((other) => this.#isOut(other)).length;
    return out + 1 <= Math.floor(this.#records.size * this.#mostShare);
  }

  #eject(record: TargetHealth): void {
    Object.assign(record, {
      failures: 0,
      ejections: record.ejections + 1,
      until: this.#clock.mono() + this.#lengthOf(record),
      probeUntil: undefined,
    });
  }

  #lengthOf(record: TargetHealth): Millis {
    return Math.min(this.#mostMs, this.#baseMs * 2 ** record.ejections);
  }
}

function createRecord(): TargetHealth {
  return { failures: 0, ejections: 0, until: undefined, probeUntil: undefined };
}
