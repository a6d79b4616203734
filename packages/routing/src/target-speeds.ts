/** How fast targets work at the moment, by what they report in responses. */
import type { Clock, Millis, MonoTime, TargetId } from '@hibiscushill/base';

interface ReportedSpeed {
  /** The newest slowdown: how many times as long as usual work takes. */
  newest: number;
  reportedAt: MonoTime;
  /** The average over time of the reported slowdowns. */
  average: number;
  reports: number;
}

// A speed that changes many times a second says little about the next second.
const DEFAULT_HALF_LIFE_MS = 300;
// Reports in quick succession describe one state, so that the average weights them by time.
const AVERAGE_HALF_LIFE_MS = 5_000;
const MIN_REPORT_WEIGHT = 0.02;
// The newest slowdowns of all targets, of which the typical slow one is taken.
const MAX_RECENT_SLOWDOWNS = 128;
// The expected slowdown of overdue work relative to its age, while no slower target is known.
const UNKNOWN_SLOWDOWN_FACTOR = 2;

/**
 * Tracks the speeds that targets report. Load pattern: targets whose speed changes within a second,
 * each of which one process sees only now and then.
 *
 * A report counts in full when it arrives, and decays to the target's average afterwards.
 */
export class TargetSpeeds {
  readonly #clock: Clock;

  readonly #halfLifeMs: Millis;

  readonly #speeds = new Map<TargetId, ReportedSpeed>();

  #recent: number[] = [];

  /**
   * @param clock - times reports
   * @param halfLifeMs - the time in which a report loses half of its weight
   */
  constructor(clock: Clock, halfLifeMs: Millis = DEFAULT_HALF_LIFE_MS) {
    this.#clock = clock;
    this.#halfLifeMs = halfLifeMs;
  }

  /** How many targets have reported a speed. */
  get size(): number {
    return this.#speeds.size;
  }

  /** Records a slowdown that a target reported. */
  record(target: TargetId, slowdown: number): void {
    const now = this.#clock.mono();
    this.#recent = [...this.#recent, slowdown].slice(-MAX_RECENT_SLOWDOWNS);
    const known = this.#speeds.get(target);
    if (!known) {
      const speed = { newest: slowdown, reportedAt: now, average: slowdown, reports: 1 };
      this.#speeds.set(target, speed);
      return;
    }
    const reports = known.reports + 1;
    const byTime = 1 - 2 ** ((known.reportedAt - now) / AVERAGE_HALF_LIFE_MS);
    const weight = Math.max(1 / reports, byTime, MIN_REPORT_WEIGHT);
    const average = known.average + (slowdown - known.average) * weight;
    this.#speeds.set(target, { newest: slowdown, reportedAt: now, average, reports });
  }

  /**
   * Records that a target has not responded in the time in which it would have with a slowdown. Does
   * nothing if it has never reported one.
   *
   * @param sentAt - when the request was sent; what the target has reported since counts more
   */
  recordOverdue(target: TargetId, atLeast: number, sentAt: MonoTime): void {
    const speed = this.#speeds.get(target);
    if (!speed || speed.reportedAt > sentAt) return;
    speed.newest = Math.max(this.expect(target) ?? 0, this.expectAbove(atLeast));
    speed.reportedAt = this.#clock.mono();
  }

  /** The slowdown that is to be expected of a target now; undefined if it has reported none. */
  expect(target: TargetId): number | undefined {
    const speed = this.#speeds.get(target);
    if (!speed) return undefined;
    const weight = 2 ** ((speed.reportedAt - this.#clock.mono()) / this.#halfLifeMs);
    return speed.average + (speed.newest - speed.average) * weight;
  }

  /** The slowdown to be expected of a target that is known to be slower than a bound. */
  expectAbove(bound: number): number {
    const slower = this.#recent.filter((slowdown) => slowdown > bound);
    if (slower.length === 0) return UNKNOWN_SLOWDOWN_FACTOR * bound;
    return slower.reduce((sum, slowdown) => sum + slowdown, 0) / slower.length;
  }

  /** When a target last reported its speed; undefined if it never has. */
  reportedAtOf(target: TargetId): MonoTime | undefined {
    return this.#speeds.get(target)?.reportedAt;
  }

  /** Forgets a target. */
  forget(target: TargetId): void {
    this.#speeds.delete(target);
  }
}
