/** One item on its way to a result. */
import type { Clock, MonoTime, TargetId, WeightVersion } from '@hibiscushill/base';

import type { ItemSpec } from './caller-port';
import type { WaitingItem } from './placement';
import type { Submission } from './submission';
import type { StreamEvent } from './target-port';
import { type WorkFingerprint, createFingerprint } from './partial-output-cache';

/** The text of an item, as far as it was made. */
export interface ItemText {
  readonly events: readonly string[];
  /** The number of the last event; undefined before the first. */
  readonly lastNumber: number | undefined;
  readonly versions: readonly WeightVersion[];
}

// One engine that fails everything says nothing about an item.
const HOPELESS_ENGINES = 3;

/** What an event meant for a text. */
export type EventVerdict = 'taken' | 'repeated' | 'gap' | 'too-old' | 'mixed';

/** Collects an item's text over one or more streams. */
export class ItemTask implements WaitingItem {
  readonly submission: Submission;

  readonly spec: ItemSpec;

  readonly isSingleVersion: boolean;

  /** Equal for items of other submissions that ask the same. */
  readonly fingerprint: WorkFingerprint;

  /** Engines that broke off or kept silent on this item. */
  readonly avoid = new Set<TargetId>();

  readonly #failedAt = new Set<TargetId>();

  #serverErrors = 0;

  #rewardErrors = 0;

  #isStopped = false;

  #events: string[] = [];

  #lastNumber: number | undefined;

  #versions: WeightVersion[] = [];

  #generation = 0;

  #notBefore = -Infinity as MonoTime;

  /**
   * @param submission - the item's submission
   * @param spec - the item
   * @param isSingleVersion - whether all of the text must be of one weight version
   */
  constructor(submission: Submission, spec: ItemSpec, isSingleVersion: boolean) {
    this.submission = submission;
    this.spec = spec;
    this.isSingleVersion = isSingleVersion;
    this.fingerprint = createFingerprint(submission.terms, spec);
  }

  /** Answers of 500 to its reward call. */
  get rewardErrors(): number {
    return this.#rewardErrors;
  }

  /** Whether it has a result, or needs none any more. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  get group(): string {
    return this.spec.group;
  }

  get leastVersion(): WeightVersion {
    return this.submission.terms.leastVersion;
  }

  get onlyVersion(): WeightVersion | undefined {
    return this.isSingleVersion ? this.#versions[0] : undefined;
  }

  /** The text so far. */
  get text(): ItemText {
    return { events: this.#events, lastNumber: this.#lastNumber, versions: this.#versions };
  }

  /** Counts the texts that were dropped. */
  get generation(): number {
    return this.#generation;
  }

  /** Whether a stream has begun its text. */
  get isBegun(): boolean {
    return this.#events.length > 0;
  }

  countServerError(engine: TargetId): void {
    this.#serverErrors += 1;
    this.#failedAt.add(engine);
  }

  /**
   * Whether it failed so often, and at so many engines, that it fails anywhere.
   *
   * @param most - the failures that its route allows
   */
  isHopeless(most: number): boolean {
    if (this.#serverErrors < most) return false;
    return this.#failedAt.size >= HOPELESS_ENGINES || this.#serverErrors >= 2 * most;
  }

  countRewardError(): void {
    this.#rewardErrors += 1;
  }

  /** Ends all work on it. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Tells whether it may start now. */
  isDue(now: MonoTime): boolean {
    return now >= this.#notBefore;
  }

  /** Holds it back, for a process that still runs it or for a target that refused. */
  holdUntil(clock: Clock, ms: number): void {
    this.#notBefore = (clock.mono() + ms) as MonoTime;
  }

  /**
   * Takes up a text that an earlier submission left, if its versions fit.
   *
   * @returns whether it was taken up
   */
  adopt(text: ItemText): boolean {
    const isMixed = this.isSingleVersion && text.versions.length > 1;
    if (isMixed || text.versions.some((version) => version < this.leastVersion)) return false;
    this.#events = [...text.events];
    this.#lastNumber = text.lastNumber;
    this.#versions = [...text.versions];
    return true;
  }

  /** Drops the text, so that the next stream starts from the beginning. */
  restart(): void {
    this.#generation += 1;
    this.#events = [];
    this.#lastNumber = undefined;
    this.#versions = [];
  }

  /**
   * Takes the next event.
   *
   * @param event - the event
   * @param version - the weight version that made it
   * @returns what it meant; only a taken event is part of the text
   */
  take(event: StreamEvent, version: WeightVersion): EventVerdict {
    const last = this.#lastNumber;
    if (last !== undefined && event.number <= last) return 'repeated';
    if (event.number !== (last ?? event.number - 1) + 1) return 'gap';
    if (version < this.leastVersion) return 'too-old';
    const isNew = !this.#versions.includes(version);
    if (isNew && this.isSingleVersion && this.#versions.length > 0) return 'mixed';
    if (isNew) this.#versions.push(version);
    this.#events.push(event.data);
    this.#lastNumber = event.number;
    return 'taken';
  }
}
