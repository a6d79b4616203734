/** The progress of one target's weight swaps. */
import type { Clock, Millis, WeightVersion } from '@hibiscushill/base';

/** When failed swaps are retried, and when a target is taken out of rotation. */
export interface SwapRetryOptions {
  /** After this many consecutive failures a target is out of rotation for the trainer's samples. */
  readonly maxFailures: number;
  /** The delay after the first failure, in milliseconds. It doubles with each further failure. */
  readonly firstRetryDelayMs: Millis;
  /** The delay between swaps of a target that is out of rotation, in milliseconds. */
  readonly outOfRotationRetryMs: Millis;
  /**
   * How long the version in a swap's response takes precedence over the version that the target
   * reports, in milliseconds, because reports arrive late.
   */
  readonly preferSwapResponseMs: Millis;
}

/** Holds which version a target serves and prefetches, and the outcomes of its swaps. */
export class TargetSwapState {
  readonly #clock: Clock;

  readonly #options: SwapRetryOptions;

  #servedVersion: WeightVersion | undefined;

  #servedVersionValidUntil = 0;

  #nextSwapAt = 0;

  #failureCount = 0;

  #swapCount = 0;

  #isSwapping = false;

  #prefetchVersion: WeightVersion | undefined;

  #prefetchedVersion: WeightVersion | undefined;

  /**
   * @param clock - measures the delays
   * @param options - when failed swaps are retried
   */
  constructor(clock: Clock, options: SwapRetryOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  /** Whether a swap is in progress. */
  get isSwapping(): boolean {
    return this.#isSwapping;
  }

  /** Whether the last swaps have failed so often that the target is out of rotation. */
  get isOutOfRotation(): boolean {
    return this.#failureCount >= this.#options.maxFailures;
  }

  /** How many swaps have failed since the last successful one. */
  get failureCount(): number {
    return this.#failureCount;
  }

  /**
   * How many swaps were started. It is part of an order's id, so that an engine doesn't mistake a
   * retry for the earlier order.
   */
  get swapCount(): number {
    return this.#swapCount;
  }

  /** The version that the target was last asked to prefetch. */
  get prefetchVersion(): WeightVersion | undefined {
    return this.#prefetchVersion;
  }

  /**
   * Determines which version the target serves, from its report and its last response to a swap.
   *
   * @param reported - the version that it last reported
   * @returns the version, or undefined if it isn't known
   */
  resolveVersion(reported: WeightVersion | undefined): WeightVersion | undefined {
    return this.#clock.mono() < this.#servedVersionValidUntil ? this.#servedVersion : reported;
  }

  /** Whether a swap to a version may start now: it was prefetched and no delay is running. */
  canSwap(version: WeightVersion): boolean {
    if (this.#isSwapping || this.#prefetchedVersion !== version) return false;
    return this.#clock.mono() >= this.#nextSwapAt;
  }

  /** Records that the target is asked to prefetch a version. */
  beginPrefetch(version: WeightVersion): void {
    this.#prefetchVersion = version;
  }

  /** Records that the prefetch of a version has ended, successfully or not. */
  endPrefetch(version: WeightVersion): void {
    if (this.#prefetchVersion === version) this.#prefetchedVersion = version;
  }

  /** Records that a swap starts. */
  beginSwap(): void {
    this.#isSwapping = true;
    this.#swapCount += 1;
  }

  /**
   * Records that a swap has ended.
   *
   * @param served - the version that the engine serves, or undefined if it isn't known
   * @param isDone - whether that is the ordered version
   */
  endSwap(served: WeightVersion | undefined, isDone: boolean): void {
    this.#isSwapping = false;
    if (served !== undefined) {
      this.#servedVersion = served;
      this.#servedVersionValidUntil = this.#clock.mono() + this.#options.preferSwapResponseMs;
    }
    this.#failureCount = isDone ? 0 : this.#failureCount + 1;
    this.#nextSwapAt = isDone ? 0 : this.#clock.mono() + this.#getRetryDelayMs();
  }

  #getRetryDelayMs(): Millis {
    const { outOfRotationRetryMs, firstRetryDelayMs } = this.#options;
    return this.isOutOfRotation
      ? outOfRotationRetryMs
      : firstRetryDelayMs * 2 ** (this.#failureCount - 1);
  }
}
