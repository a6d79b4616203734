/** The speeds of targets by what they report, and by how long requests have waited for a response. */
import type { Clock, Millis, MonoTime, TargetId } from '@hibiscushill/base';
import { TargetSpeeds, findOverdueMs } from '@hibiscushill/routing';

/** A request whose response has not begun. */
interface AwaitingRequest {
  readonly sentAt: MonoTime;
  /** When it was first seen to be overdue. */
  suspectedAt: MonoTime | undefined;
}

interface ObservedTarget {
  /** In the order in which they were sent. */
  awaiting: AwaitingRequest[];
  /** The newest times that responses took, divided by the slowdown in their heads. */
  usualMs: Millis[];
}

// A target's usual time is a low quantile of its newest samples: when its speed rises during a
// request, the sample is several times too long; one that is too short is rarer.
const MAX_USUAL_SAMPLES = 15;
const USUAL_QUANTILE = 0.3;
// With fewer samples a target isn't taken to be slower than others, which could keep it from ever
// getting more.
const MIN_USUAL_SAMPLES = 4;
// A process that was busy has not read the responses that have arrived meanwhile; it has after this
// time. On a loaded machine, most requests that are overdue at a first look have been answered.
const CONFIRMATION_MS = 2;

/** Combines reported speeds with the ages of open requests. Targets that report none have none. */
export class ObservedSpeeds {
  readonly #clock: Clock;

  readonly #speeds: TargetSpeeds;

  readonly #targets = new Map<TargetId, ObservedTarget>();

  /** Called once at the next report of a target. */
  readonly #listeners = new Map<TargetId, Set<() => void>>();

  /** @param clock - times reports and requests */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#speeds = new TargetSpeeds(clock);
  }

  /** How many targets have reported a speed. */
  get size(): number {
    return this.#speeds.size;
  }

  /** Whether a target has reported its speed. */
  isReported(target: TargetId): boolean {
    return this.#speeds.reportedAtOf(target) !== undefined;
  }

  recordSent(target: TargetId, sentAt: MonoTime): void {
    const request: AwaitingRequest = { sentAt, suspectedAt: undefined };
    this.#getTarget(target).awaiting.push(request);
    const usualMs = this.isReported(target) ? this.usualMsOf(target) : undefined;
    if (usualMs === undefined) return;
    // Suspects it in time, so that the next choices of a target already count it.
    void this.#clock.sleep(findOverdueMs(usualMs)).then(() => this.#findOverdue(request, usualMs));
  }

  /** Records the head of a response, and the slowdown in it if there is one. */
  recordHead(target: TargetId, sentAt: MonoTime | undefined, slowdown?: number): void {
    this.#removeAwaiting(target, sentAt);
    if (slowdown === undefined) return;
    this.#speeds.record(target, slowdown);
    const listeners = this.#listeners.get(target);
    this.#listeners.delete(target);
    listeners?.forEach((listener) => listener());
  }

  /** Records the end of a request; an overdue one without a response shows that its target is slow. */
  recordEnded(target: TargetId, sentAt?: MonoTime, tookMs?: Millis): void {
    const awaiting = this.#removeAwaiting(target, sentAt);
    const slowdown = this.#speeds.expect(target);
    if (sentAt === undefined || slowdown === undefined) return;
    if (tookMs !== undefined) {
      const { usualMs } = this.#getTarget(target);
      usualMs.push(tookMs / slowdown);
      if (usualMs.length > MAX_USUAL_SAMPLES) usualMs.shift();
    }
    const atLeast = awaiting && this.#findOverdue(awaiting, this.usualMsOf(target));
    if (atLeast !== undefined) this.#speeds.recordOverdue(target, atLeast, sentAt);
  }

  /** How long a target takes at its usual speed; undefined if it isn't known. */
  usualMsOf(target: TargetId): Millis | undefined {
    const samples = this.#targets.get(target)?.usualMs ?? [];
    const ownMs = findQuantile(samples, USUAL_QUANTILE);
    if (ownMs === undefined || samples.length >= MIN_USUAL_SAMPLES) return ownMs;
    const measured = [...this.#targets.values()]
      .filter(({ usualMs }) => usualMs.length >= MIN_USUAL_SAMPLES)
      .map(({ usualMs }) => findQuantile(usualMs, USUAL_QUANTILE)!);
    return Math.min(ownMs, findQuantile(measured, 0.5) ?? Infinity);
  }

  /**
   * How long a target would take to respond now; undefined if it has reported no speed.
   *
   * @param usualMs - how long it takes at its usual speed
   */
  expectMs(target: TargetId, usualMs = this.usualMsOf(target)): Millis | undefined {
    const slowdown = this.#speeds.expect(target);
    if (slowdown === undefined || usualMs === undefined) return undefined;
    const reportedAt = this.#speeds.reportedAtOf(target)!;
    const oldest = this.#targets.get(target)?.awaiting.find(({ sentAt }) => sentAt >= reportedAt);
    const atLeast = oldest && this.#findOverdue(oldest, usualMs);
    const overdue = atLeast === undefined ? 0 : this.#speeds.expectAbove(atLeast);
    return usualMs * Math.max(slowdown, overdue);
  }

  /**
   * How long an open request takes in all at a target.
   *
   * @param sentAt - when it was sent
   * @param usualMs - how long it takes at the target's usual speed
   */
  expectOpenMs(target: TargetId, sentAt: MonoTime, usualMs: Millis): Millis {
    const expectedMs = this.expectMs(target, usualMs) ?? usualMs;
    const ageMs = this.#clock.mono() - sentAt;
    if (ageMs < expectedMs) return expectedMs;
    const awaiting = this.#targets.get(target)?.awaiting.find((one) => one.sentAt === sentAt);
    const slowdown = awaiting && this.#findOverdue(awaiting, usualMs);
    return slowdown === undefined ? expectedMs : usualMs * this.#speeds.expectAbove(slowdown);
  }

  /** How long a request takes on average at a target whose speed isn't known. */
  typicalMs(usualMs: Millis): Millis {
    return usualMs * Math.max(1, this.#speeds.expectAbove(0));
  }

  /** Calls a listener at the next report of a target, unless a signal is aborted before. */
  onNextReport(target: TargetId, listener: () => void, signal: AbortSignal): void {
    const listeners = this.#listeners.get(target) ?? new Set();
    this.#listeners.set(target, listeners.add(listener));
    signal.addEventListener('abort', () => listeners.delete(listener), { once: true });
  }

  forget(target: TargetId): void {
    this.#speeds.forget(target);
    this.#targets.delete(target);
  }

  /** The least slowdown by which a request is overdue; undefined if it isn't, or may not be. */
  #findOverdue(request: AwaitingRequest, usualMs: Millis | undefined): number | undefined {
    const now = this.#clock.mono();
    const ageMs = now - request.sentAt;
    if (usualMs === undefined || ageMs < findOverdueMs(usualMs)) return undefined;
    request.suspectedAt ??= now;
    return now - request.suspectedAt < CONFIRMATION_MS ? undefined : ageMs / usualMs;
  }

  #removeAwaiting(target: TargetId, sentAt: MonoTime | undefined): AwaitingRequest | undefined {
    const { awaiting } = this.#getTarget(target);
    const index = awaiting.findIndex((request) => request.sentAt === sentAt);
    return index < 0 ? undefined : awaiting.splice(index, 1)[0];
  }

  #getTarget(target: TargetId): ObservedTarget {
    const known = this.#targets.get(target) ?? { awaiting: [], usualMs: [] };
    this.#targets.set(target, known);
    return known;
  }
}

function findQuantile(values: readonly number[], quantile: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * quantile)];
}
