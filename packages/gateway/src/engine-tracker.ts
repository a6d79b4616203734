/** The model engines, with what this process learned about them. */
import type {
  Clock,
  Millis,
  MonoTime,
  ServiceId,
  TargetId,
  WallTime,
  WeightVersion,
} from '@hibiscushill/base';

import type { TargetDirectory, TargetEntry } from './target-directory';
import type { ModelId } from './serving-config';

interface EngineRecord {
  readonly bornAt: WallTime | undefined;
  readonly versions: Map<ModelId, WeightVersion>;
  /** Models whose weights are being changed, and until when that is believed. */
  readonly loading: Map<ModelId, MonoTime>;
  msPerEvent: Millis | undefined;
  speedAt: MonoTime;
  /** Not used before this time, since it failed. */
  avoidUntil: MonoTime;
  failures: number;
}

// The weight of the newest stream in an engine's usual speed.
const SMOOTHING = 0.4;
// A measured speed says little about the present after this.
const SPEED_FRESH_MS = 1_500;
// An engine that failed is left out for a time that doubles with each further failure.
const FIRST_AVOID_MS = 250;
const MOST_AVOID_MS = 4_000;

/** Keeps versions, speeds and failures of engines across their entries in the directory. */
export class Engines {
  readonly #clock: Clock;

  readonly #directory: TargetDirectory;

  readonly #records = new Map<TargetId, EngineRecord>();

  /**
   * @param clock - times failures
   * @param directory - the engines' entries
   */
  constructor(clock: Clock, directory: TargetDirectory) {
    this.#clock = clock;
    this.#directory = directory;
  }

  /** Lists a service's engines that aren't draining. */
  list(service: ServiceId): TargetEntry[] {
    return this.#directory.listUsable(service);
  }

  /** The version of a model that an engine serves; 1 when nothing was heard. */
  versionOf(engine: TargetEntry, model: ModelId): WeightVersion {
    const told = engine.versions.get(model) ?? (1 as WeightVersion);
    const learned = this.#read(engine).versions.get(model) ?? told;
    return Math.max(told, learned) as WeightVersion;
  }

  /** Takes a version that an engine's own answer told. */
  learnVersion(engine: TargetEntry, model: ModelId, version: WeightVersion): void {
    this.#read(engine).versions.set(model, version);
  }

  /** Whether an engine's weights of a model are being changed. */
  isLoading(engine: TargetEntry, model: ModelId): boolean {
    const until = this.#read(engine).loading.get(model);
    return until !== undefined && this.#clock.mono() < until;
  }

  /** Notes that weights are being changed, for at most a time. */
  startLoading(engine: TargetEntry, model: ModelId, mostMs: Millis): void {
    this.#read(engine).loading.set(model, (this.#clock.mono() + mostMs) as MonoTime);
  }

  endLoading(engine: TargetEntry, model: ModelId): void {
    this.#read(engine).loading.delete(model);
  }

  /** The usual time between two events of a stream; undefined before the first. */
  msPerEvent(engine: TargetEntry): Millis | undefined {
    return this.#read(engine).msPerEvent;
  }

  /** Whether the speed was measured lately. */
  isSpeedFresh(engine: TargetEntry): boolean {
    return this.#clock.mono() - this.#read(engine).speedAt < SPEED_FRESH_MS;
  }

  /** Takes the time between two events, measured over a part of a stream. */
  takeSpeed(engine: TargetEntry, msPerEvent: Millis): void {
    const record = this.#read(engine);
    record.speedAt = this.#clock.mono();
    record.msPerEvent =
      record.msPerEvent === undefined
        ? msPerEvent
        : record.msPerEvent + (msPerEvent - record.msPerEvent) * SMOOTHING;
  }

  /** Notes a stream that came to its end. */
  takeSuccess(engine: TargetEntry): void {
    this.#read(engine).failures = 0;
  }

  /** Notes a stream that broke off or kept silent. */
  takeFailure(engine: TargetEntry): void {
    const record = this.#read(engine);
    const avoidMs = Math.min(MOST_AVOID_MS, FIRST_AVOID_MS * 2 ** record.failures);
    record.failures += 1;
    record.avoidUntil = (this.#clock.mono() + avoidMs) as MonoTime;
  }

  /** Whether an engine is left out since it failed lately. */
  isAvoided(engine: TargetEntry): boolean {
    return this.#clock.mono() < this.#read(engine).avoidUntil;
  }

  #read(engine: TargetEntry): EngineRecord {
    const known = this.#records.get(engine.id);
    if (known && known.bornAt === engine.bornAt) return known;
    const record: EngineRecord = {
      bornAt: engine.bornAt,
      versions: new Map(),
      loading: new Map(),
      msPerEvent: undefined,
      speedAt: -Infinity as MonoTime,
      avoidUntil: -Infinity as MonoTime,
      failures: 0,
    };
    this.#records.set(engine.id, record);
    return record;
  }
}
