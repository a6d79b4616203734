/** What this process has observed of each target. */
import type { Clock, Millis, MonoTime, TargetId } from '@hibiscushill/base';
import { OutlierEjector, type TargetOutcome } from '@hibiscushill/routing';

import { ObservedSpeeds } from './observed-speeds';
import type { ReportedLoad } from './target-port';

interface TargetState {
  inFlight: number;
  reportedLoad: ReportedLoad | undefined;
  loadReportedAt: MonoTime;
  averageLatencyMs: Millis | undefined;
}

// The weight of the newest response in the moving average of a target's latency.
const LATENCY_SMOOTHING_FACTOR = 0.25;
// An older report says little about the current load.
const MAX_LOAD_AGE_MS = 1_000;
// Consecutive failures that eject a target, and for how long at first.
const EJECTION = {
  consecutiveFailures: 3,
  baseEjectionMs: 1_000,
  maxEjectionMs: 4_000,
  maxEjectedFraction: 0.5,
};

/** Tracks requests in flight, reported loads, latencies and failures of targets. */
export class TargetStats {
  readonly #clock: Clock;

  readonly #states = new Map<TargetId, TargetState>();

  readonly #ejector: OutlierEjector;

  readonly #speeds: ObservedSpeeds;

  /** @param clock - times reports and ejections */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#ejector = new OutlierEjector({ clock, ...EJECTION });
    this.#speeds = new ObservedSpeeds(clock);
  }

  /** What targets report and show of their speed at the moment. */
  get speeds(): ObservedSpeeds {
    return this.#speeds;
  }

  /** Sets the registered targets, and removes the state of all others. */
  setTargets(targets: readonly TargetId[]): void {
    this.#ejector.setTargets(targets);
    const registered = new Set(targets);
    [...this.#states.entries()]
      .filter(([id, state]) => !registered.has(id) && state.inFlight === 0)
      .forEach(([id]) => {
        this.#states.delete(id);
        this.#speeds.forget(id);
      });
  }

  /** Records that a request was sent. */
  recordSent(target: TargetId, sentAt = this.#clock.mono()): void {
    this.#ejector.recordSent(target);
    this.#speeds.recordSent(target, sentAt);
    this.#getState(target).inFlight += 1;
  }

  /**
   * Records how a request at a target ended.
   *
   * @param target - the target
   * @param outcome - how; undefined if it says nothing about the target
   * @param tookMs - the time to the complete response; undefined if there was none
   * @param sentAt - when it was sent
   */
  recordEnded(target: TargetId, outcome?: TargetOutcome, tookMs?: Millis, sentAt?: MonoTime): void {
    this.#speeds.recordEnded(target, sentAt, tookMs);
    const state = this.#getState(target);
    state.inFlight = Math.max(0, state.inFlight - 1);
    if (outcome) this.#ejector.recordOutcome(target, outcome);
    if (tookMs === undefined) return;
    state.averageLatencyMs =
      state.averageLatencyMs === undefined
        ? tookMs
        : state.averageLatencyMs + (tookMs - state.averageLatencyMs) * LATENCY_SMOOTHING_FACTOR;
  }

  /**
   * Records the load that a target reported in a response.
   *
   * @param sentAt - when the request of the response was sent
   */
  recordLoad(target: TargetId, load: ReportedLoad, sentAt?: MonoTime): void {
    this.#speeds.recordHead(target, sentAt, load.slowdown);
    Object.assign(this.#getState(target), {
      reportedLoad: load,
      loadReportedAt: this.#clock.mono(),
    });
  }

  /** Whether a target's newest report says how fast it is. */
  reportsSpeed(target: TargetId): boolean {
    return this.#states.get(target)?.reportedLoad?.slowdown !== undefined;
  }

  /** Replaces the average latency, after a time in which the target was not itself. */
  setAverageLatency(target: TargetId, averageMs: Millis): void {
    this.#getState(target).averageLatencyMs = averageMs;
  }

  /** Ends the ejection of a target whose failures were those of an earlier incarnation. */
  endEjection(target: TargetId): void {
    this.#ejector.recordOutcome(target, 'answered');
  }

  /** Estimates the requests at a target from all processes, per slot. */
  estimateLoadPerSlot(target: TargetId, slots: number): number {
    const state = this.#states.get(target);
    if (!state) return 0;
    const isFresh =
      state.reportedLoad && this.#clock.mono() - state.loadReportedAt < MAX_LOAD_AGE_MS;
    const reported =
      isFresh && state.reportedLoad ? state.reportedLoad.running + state.reportedLoad.waiting : 0;
    return Math.max(reported, state.inFlight) / Math.max(1, slots);
  }

  /** How many requests of this process run or wait at a target. */
  inFlightOf(target: TargetId): number {
    return this.#states.get(target)?.inFlight ?? 0;
  }

  /** The average time to a response; undefined before the first. */
  averageLatencyMsOf(target: TargetId): Millis | undefined {
    return this.#states.get(target)?.averageLatencyMs;
  }

  /** The time to a response at the target's reported speed; its average if it reports none. */
  expectedLatencyMsOf(target: TargetId): Millis | undefined {
    return this.#speeds.expectMs(target) ?? this.averageLatencyMsOf(target);
  }

  /** Whether a target is left out after consecutive failures. */
  isEjected(target: TargetId): boolean {
    return this.#ejector.isEjected(target);
  }

  #getState(target: TargetId): TargetState {
    const state = this.#states.get(target) ?? {
      inFlight: 0,
      reportedLoad: undefined,
      loadReportedAt: -Infinity as MonoTime,
      averageLatencyMs: undefined,
    };
    this.#states.set(target, state);
    return state;
  }
}
