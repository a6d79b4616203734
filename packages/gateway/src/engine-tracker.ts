/** What this process has observed of the targets that serve models (engines). */
import type {
  Clock,
  Millis,
  MonoTime,
  ServiceId,
  TargetId,
  WallTime,
  WeightVersion,
} from '@hibiscushill/base';
import { TargetSpeeds } from '@hibiscushill/routing';

import type { TargetDirectory, TargetRegistration } from './target-directory';
import type { ModelId } from './serving-config';
import { type TargetPacer, findMedian } from './target-pacer';

interface EngineState {
  readonly incarnationStartedAt: WallTime | undefined;
  readonly versions: Map<ModelId, WeightVersion>;
  /** How many weight orders the engine has accepted; undefined if that isn't known. */
  orders: number | undefined;
  /** Models whose weights are being changed, each with the time until which that is assumed. */
  readonly loadingUntil: Map<ModelId, MonoTime>;
  msPerEvent: Millis | undefined;
  speedMeasuredAt: MonoTime;
  /** The slowdown that was assumed when the speed was measured; undefined if it reports none. */
  measuredSlowdown: number | undefined;
  /** Not used before this time, since runs there failed. */
  backoffUntil: MonoTime;
  consecutiveFailures: number;
  /** When the last broken run was counted. */
  brokenAt: MonoTime;
  /** Refusals in a row to run what is expected of the engine, and when the last was counted. */
  misdirected: number;
  misdirectedAt: MonoTime;
}

// The weight of the newest sample in the moving average of an engine's speed.
const SPEED_SMOOTHING_FACTOR = 0.4;
// An older measurement says little about the current speed.
const MAX_SPEED_AGE_MS = 1_500;
// An engine is left out after a failure, twice as long after each further one in a row.
const BACKOFF_BASE_MS = 250;
const BACKOFF_MAX_MS = 4_000;
// All connections that one event breaks are seen to be broken within this time.
const SAME_EVENT_MS = 100;
// A version that the engine has just changed explains fewer refusals.
const MAX_MISDIRECTED = 3;
// States of engines that are no longer registered are removed once the states have doubled since the
// last time, so that this costs little for each new engine. Below this many they aren't removed.
const MIN_STATES_TO_CLEAN = 64;

/** Tracks weight versions, speeds and failures of engines; an engine's restart clears its state. */
export class EngineTracker {
  readonly #clock: Clock;

  readonly #directory: TargetDirectory;

  readonly #speeds: TargetSpeeds;

  readonly #states = new Map<TargetId, EngineState>();

  readonly #pacer: TargetPacer | undefined;

  #cleanAt = MIN_STATES_TO_CLEAN;

  /**
   * @param clock - times failures
   * @param directory - the registered targets
   * @param pacer - bounds what engines get in their ramp-up; without it, nothing does
   */
  constructor(clock: Clock, directory: TargetDirectory, pacer?: TargetPacer) {
    this.#clock = clock;
    this.#directory = directory;
    this.#speeds = new TargetSpeeds(clock);
    this.#pacer = pacer;
  }

  /** How many engines' states are kept. */
  get size(): number {
    return this.#states.size;
  }

  /** Tells whether an engine may get new runs and orders. */
  isUsable(engine: TargetRegistration): boolean {
    return !this.#directory.isLeaving(engine) && !this.isEvacuated(engine);
  }

  /** Whether an engine is in an evacuated availability zone, so that it gets nothing new. */
  isEvacuated(engine: TargetRegistration): boolean {
    return this.#directory.isEvacuated(engine);
  }

  /** Lists a service's engines that may get new runs and orders. */
  listUsable(service: ServiceId): TargetRegistration[] {
    return this.#directory.listUsable(service);
  }

  /** The version of a model's weights that an engine serves; 1 if it has reported none. */
  versionOf(engine: TargetRegistration, model: ModelId): WeightVersion {
    const registered = engine.versions.get(model) ?? (1 as WeightVersion);
    const observed = this.#getState(engine).versions.get(model) ?? registered;
    return Math.max(registered, observed) as WeightVersion;
  }

  /** Records a version that an engine stated in a response. */
  recordVersion(engine: TargetRegistration, model: ModelId, version: WeightVersion): void {
    this.#getState(engine).versions.set(model, version);
  }

  /**
   * Records that an engine refused a run as meant for another one, although its weights are those
   * that were expected. After several in a row its address belongs to another target, and it is left
   * out like an engine that failed.
   */
  recordMisdirected(engine: TargetRegistration): void {
    const state = this.#getState(engine);
    const now = this.#clock.mono();
    if (now - state.misdirectedAt < SAME_EVENT_MS) return;
    state.misdirectedAt = now;
    state.misdirected += 1;
    if (state.misdirected >= MAX_MISDIRECTED) this.recordFailure(engine);
  }

  /** How many weight orders an engine has accepted; undefined if that isn't known. */
  ordersOf(engine: TargetRegistration): number | undefined {
    return this.#getState(engine).orders;
  }

  /** Records how many weight orders an engine has accepted. */
  recordOrders(engine: TargetRegistration, orders: number | undefined): void {
    this.#getState(engine).orders = orders;
  }

  /** Whether an engine's weights of a model are being changed. */
  isLoading(engine: TargetRegistration, model: ModelId): boolean {
    const until = this.#getState(engine).loadingUntil.get(model);
    return until !== undefined && this.#clock.mono() < until;
  }

  /** Marks weights as being changed, for at most a time. */
  markLoading(engine: TargetRegistration, model: ModelId, maxMs: Millis): void {
    this.#getState(engine).loadingUntil.set(model, (this.#clock.mono() + maxMs) as MonoTime);
  }

  /** Marks weights as no longer being changed. */
  clearLoading(engine: TargetRegistration, model: ModelId): void {
    this.#getState(engine).loadingUntil.delete(model);
  }

  /** How many runs an engine's ramp-up leaves room for; infinite unless it is in its ramp-up. */
  countRampRoom(engine: TargetRegistration, running: number): number {
    return this.#pacer?.countRoom(engine, running) ?? Infinity;
  }

  /** Records that a response of an engine said how fast it is. */
  recordReportsSpeed(engine: TargetRegistration): void {
    this.#pacer?.recordReportsSpeed(engine.service);
  }

  /** The average time between two events of a stream; undefined before the first measurement. */
  msPerEventOf(engine: TargetRegistration): Millis | undefined {
    return this.#getState(engine).msPerEvent;
  }

  /** The same as placement expects it: unknown in a ramp-up if the last measurement is old. */
  expectedMsPerEventOf(engine: TargetRegistration): Millis | undefined {
    const isOutdated = !this.isSpeedFresh(engine) && (this.#pacer?.isRamping(engine) ?? false);
    return isOutdated ? undefined : this.msPerEventOf(engine);
  }

  /** Whether the speed was measured recently. */
  isSpeedFresh(engine: TargetRegistration): boolean {
    return this.#clock.mono() - this.#getState(engine).speedMeasuredAt < MAX_SPEED_AGE_MS;
  }

  /** Records the time between two events, averaged over a part of a stream. */
  recordSpeed(engine: TargetRegistration, msPerEvent: Millis): void {
    const state = this.#getState(engine);
    state.speedMeasuredAt = this.#clock.mono();
    state.measuredSlowdown = this.#speeds.expect(engine.id);
    state.msPerEvent =
      state.msPerEvent === undefined
        ? msPerEvent
        : state.msPerEvent + (msPerEvent - state.msPerEvent) * SPEED_SMOOTHING_FACTOR;
    if (!this.#pacer?.isRamping(engine)) return;
    const others = this.listUsable(engine.service).filter(({ id }) => id !== engine.id);
    const speeds = others
      .filter((one) => this.isSpeedFresh(one))
      .map((one) => this.msPerEventOf(one))
      .filter((otherMs) => otherMs !== undefined);
    this.#pacer.recordSpeed(engine, msPerEvent, findMedian(speeds));
  }

  /** Records the slowdown that an engine reported in a response. */
  recordSlowdown(engine: TargetRegistration, slowdown: number): void {
    const state = this.#getState(engine);
    this.#speeds.record(engine.id, slowdown);
    state.measuredSlowdown ??= slowdown;
  }

  /**
   * How many times as slow an engine is expected to be now as when its speed was measured; undefined
   * if it reports no speed.
   */
  slowdownChangeOf(engine: TargetRegistration): number | undefined {
    const { measuredSlowdown } = this.#getState(engine);
    const slowdown = this.#speeds.expect(engine.id);
    if (slowdown === undefined || measuredSlowdown === undefined) return undefined;
    return slowdown / measuredSlowdown;
  }

  /** Records a run that completed. */
  recordSuccess(engine: TargetRegistration): void {
    const state = this.#getState(engine);
    state.consecutiveFailures = 0;
    state.misdirected = 0;
  }

  /**
   * Records a run that broke off or timed out, which starts or extends the back-off.
   *
   * @param isBroken - whether its connection broke; several that break at once count as one failure
   */
  recordFailure(engine: TargetRegistration, isBroken = false): void {
    const state = this.#getState(engine);
    const now = this.#clock.mono();
    if (isBroken && now - state.brokenAt < SAME_EVENT_MS) return;
    if (isBroken) state.brokenAt = now;
    const backoffMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** state.consecutiveFailures);
    state.consecutiveFailures += 1;
    state.backoffUntil = (now + backoffMs) as MonoTime;
    this.#pacer?.recordBackOff(engine, state.backoffUntil);
  }

  /** Whether an engine is left out because of recent failures. */
  isBackedOff(engine: TargetRegistration): boolean {
    return this.#clock.mono() < this.#getState(engine).backoffUntil;
  }

  #getState(engine: TargetRegistration): EngineState {
    const known = this.#states.get(engine.id);
    if (known && known.incarnationStartedAt === engine.startedAt) return known;
    const state: EngineState = {
      incarnationStartedAt: engine.startedAt,
      versions: new Map(),
      orders: undefined,
      loadingUntil: new Map(),
      msPerEvent: undefined,
      speedMeasuredAt: -Infinity as MonoTime,
      measuredSlowdown: undefined,
      backoffUntil: -Infinity as MonoTime,
      consecutiveFailures: 0,
      brokenAt: -Infinity as MonoTime,
      misdirected: 0,
      misdirectedAt: -Infinity as MonoTime,
    };
    this.#states.set(engine.id, state);
    this.#speeds.forget(engine.id);
    if (this.#states.size >= this.#cleanAt) this.#removeUnregistered();
    return state;
  }

  #removeUnregistered(): void {
    [...this.#states.keys()]
      .filter((id) => !this.#directory.find(id))
      .forEach((id) => {
        this.#states.delete(id);
        this.#speeds.forget(id);
      });
    this.#cleanAt = Math.max(MIN_STATES_TO_CLEAN, 2 * this.#states.size);
  }
}
