/** An item that has no result yet, with the output that was generated so far. */
import type {
  Clock,
  Millis,
  MonoTime,
  ServiceId,
  SoftwareVersion,
  TargetId,
  WeightVersion,
} from '@hibiscushill/base';

import type { ItemSpec } from './caller-port';
import { type BegunOutput, type WaitingItem, mayGoOnAt } from './engine-view';
import type { ModelId } from './serving-config';
import type { Submission } from './submission';
import type { StreamEvent } from './target-port';
import { type ItemFingerprint, createFingerprint } from './partial-output-cache';

/** An item's output as far as it was generated. */
export interface PartialOutput {
  readonly events: readonly string[];
  /** The number of the last event; undefined before the first. */
  readonly lastNumber: number | undefined;
  /** All weight versions that generated an event, in the order of their first one. */
  readonly versions: readonly WeightVersion[];
  /** The software version of the engines that generated it. */
  readonly software: SoftwareVersion | undefined;
}

// An engine may fail whatever it is sent, so that a failure there says nothing about the item.
const MIN_FAILED_ENGINES = 3;

/**
 * What became of an event: added to the output, a repeat of an earlier one, or rejected because it
 * doesn't follow the last one, its weight version is too old, or it would mix versions.
 */
export type EventOutcome = 'added' | 'repeated' | 'gap' | 'too-old' | 'mixed';

/** Collects an item's output over one or more runs, and counts its failures. */
export class ItemTask implements WaitingItem {
  readonly submission: Submission;

  readonly spec: ItemSpec;

  /** When this process first knew of the item. */
  readonly knownSince: MonoTime;

  /** Equal for items of other submissions that ask an engine for the same output. */
  readonly fingerprint: ItemFingerprint;

  /** Engines whose run of this item broke off or timed out. */
  readonly avoidedEngines = new Set<TargetId>();

  readonly #failedEngines = new Set<TargetId>();

  #serverErrors = 0;

  #rewardErrors = 0;

  #isStopped = false;

  #isSingleVersion = false;

  #events: string[] = [];

  #lastNumber: number | undefined;

  #versions: WeightVersion[] = [];

  #software: SoftwareVersion | undefined;

  #restarts = 0;

  #service: ServiceId | undefined;

  #waitsSince: MonoTime;

  #startsAfter = -Infinity as MonoTime;

  /**
   * @param submission - the item's submission
   * @param spec - the item
   * @param knownSince - when this process first knew of the item
   */
  constructor(submission: Submission, spec: ItemSpec, knownSince: MonoTime) {
    this.submission = submission;
    this.spec = spec;
    this.knownSince = knownSince;
    this.#waitsSince = knownSince;
    this.fingerprint = createFingerprint(submission.terms, spec);
  }

  /** How often a run of it was answered with status 500. */
  get serverErrors(): number {
    return this.#serverErrors;
  }

  /** How often its reward call was answered with status 500. */
  get rewardErrors(): number {
    return this.#rewardErrors;
  }

  /** Whether it has a result or no longer needs one. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  get group(): string {
    return this.spec.group;
  }

  /** The model that its submission names; empty if it names none. */
  get model(): ModelId {
    return (this.submission.terms.model ?? '') as ModelId;
  }

  /** The service at which it ran last; undefined before its first run. */
  get service(): ServiceId | undefined {
    return this.#service;
  }

  /** Records that it runs at a service. */
  startRun(service: ServiceId): void {
    this.#service = service;
  }

  get leastVersion(): WeightVersion {
    return this.submission.terms.leastVersion;
  }

  /** The only weight version that may go on with the output; undefined for any. */
  get requiredVersion(): WeightVersion | undefined {
    return this.#isSingleVersion ? this.#versions[0] : undefined;
  }

  /** The output so far; further events are added to the same arrays. */
  get output(): PartialOutput {
    return {
      events: this.#events,
      lastNumber: this.#lastNumber,
      versions: this.#versions,
      software: this.#software,
    };
  }

  /** How often the output was discarded. */
  get restarts(): number {
    return this.#restarts;
  }

  /** Whether at least one event was added. */
  get hasOutput(): boolean {
    return this.#events.length > 0;
  }

  get begun(): BegunOutput | undefined {
    return this.hasOutput ? { events: this.#events.length, software: this.#software } : undefined;
  }

  /** Marks it as waiting for an engine from now on. */
  startWaiting(now: MonoTime): void {
    this.#waitsSince = now;
  }

  /** How long it has waited for an engine and could have started, in milliseconds. */
  countWaitMs(now: MonoTime): Millis {
    return Math.max(0, now - Math.max(this.#waitsSince, this.#startsAfter));
  }

  /** Counts a response with status 500 to a run. */
  countServerError(engine: TargetId): void {
    this.#serverErrors += 1;
    this.#failedEngines.add(engine);
  }

  /**
   * Tells whether it has failed often enough, on enough engines, that further runs are pointless.
   *
   * @param maxErrors - the server errors that its route allows
   */
  hasExhaustedErrors(maxErrors: number): boolean {
    if (this.#serverErrors < maxErrors) return false;
    return this.#failedEngines.size >= MIN_FAILED_ENGINES || this.#serverErrors >= 2 * maxErrors;
  }

  /** Counts a response with status 500 to its reward call. */
  countRewardError(): void {
    this.#rewardErrors += 1;
  }

  /** Marks it as finished or cancelled. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Tells whether its start delay has passed. */
  isReady(now: MonoTime): boolean {
    return now >= this.#startsAfter;
  }

  /** Delays its next run, while another process runs it or after an engine refused it. */
  delayStart(clock: Clock, ms: number): void {
    this.#startsAfter = (clock.mono() + ms) as MonoTime;
  }

  /**
   * Sets whether one weight version must generate the whole output, as its route says.
   *
   * @returns false if the output was discarded since several have generated it
   */
  setSingleVersion(isSingleVersion: boolean): boolean {
    this.#isSingleVersion = isSingleVersion;
    if (!isSingleVersion || this.#versions.length <= 1) return true;
    this.restart();
    return false;
  }

  /**
   * Starts from output that an earlier run of the same request left, if its weight versions fit.
   *
   * @returns whether the output was adopted
   */
  resumeFrom(output: PartialOutput): boolean {
    if (output.versions.some((version) => version < this.leastVersion)) return false;
    this.#events = [...output.events];
    this.#lastNumber = output.lastNumber;
    this.#versions = [...output.versions];
    this.#software = output.software;
    return true;
  }

  /** Discards the output, so that the next run starts from the beginning. */
  restart(): void {
    this.#restarts += 1;
    this.#events = [];
    this.#lastNumber = undefined;
    this.#versions = [];
    this.#software = undefined;
  }

  /**
   * Adds the next event of a run to the output if it fits.
   *
   * @param event - the event
   * @param version - the weight version that generated it
   * @param software - the software version of the engine that generated it
   * @returns what became of it; only an added event is part of the output
   */
  addEvent(
    event: StreamEvent,
    version: WeightVersion,
    software: SoftwareVersion | undefined,
  ): EventOutcome {
    const last = this.#lastNumber;
    if (last !== undefined && event.number <= last) return 'repeated';
    if (event.number !== (last ?? event.number - 1) + 1) return 'gap';
    if (version < this.leastVersion) return 'too-old';
    if (!mayGoOnAt(this, software)) return 'mixed';
    const isNew = !this.#versions.includes(version);
    if (isNew && this.#isSingleVersion && this.#versions.length > 0) return 'mixed';
    if (isNew) this.#versions.push(version);
    this.#software = software;
    this.#events.push(event.data);
    this.#lastNumber = event.number;
    return 'added';
  }
}
