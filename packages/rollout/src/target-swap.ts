/** What a swapper knows about one target. */
import type { Clock, Millis, WeightVersion } from '@hibiscushill/base';

/** How a target's failed swaps are retried. */
export interface SwapRetryOptions {
  /** Failed tries after which a target is out of rotation for the trainer. */
  readonly maxFailures: number;
  /** The first wait after a failed try, in milliseconds; it doubles with each. */
  readonly firstRetryDelayMs: Millis;
  /** How often a target that is out of rotation is tried again, in milliseconds. */
  readonly outOfRotationRetryMs: Millis;
  /** How long a swap's own answer goes before a target's lagging reports, in milliseconds. */
  readonly preferSwapAnswerMs: Millis;
}

/** One target on its way to a version. */
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
   * @param clock - the clock of the waits
   * @param retries - how failed swaps are retried
   */
  constructor(clock: Clock, retries: SwapRetryOptions) {
    this.#clock = clock;
    this.#options = retries;
  }

  /** Whether a swap is under way. */
  get isSwapping(): boolean {
    return this.#isSwapping;
  }

  /** Whether the target has failed so often that it is out of rotation. */
  get isOutOfRotation(): boolean {
    return this.#failureCount >= this.#options.maxFailures;
  }

  /** How many tries have failed since the last success. */
  get failureCount(): number {
    return this.#failureCount;
  }

  /** How many swaps were begun, so that an engine doesn't take a retry for the order before. */
  get swapCount(): number {
    return this.#swapCount;
  }

  /** The version that the target was last asked to fetch. */
  get prefetchVersion(): WeightVersion | undefined {
    return this.#prefetchVersion;
  }

  /**
   * Joins the target's report with what its answer to a swap said since.
   *
   * @param reported - the version that it last reported
   * @returns the version that it serves, if known
   */
  resolveVersion(reported: WeightVersion | undefined): WeightVersion | undefined {
    return this.#clock.mono() < this.#servedVersionValidUntil ? this.#servedVersion : reported;
  }

  /** Whether a swap to a version may begin now. */
  canSwap(wanted: WeightVersion): boolean {
    if (this.#isSwapping || this.#prefetchedVersion !== wanted) return false;
    return this.#clock.mono() >= this.#nextSwapAt;
  }

  /** Notes that the target was asked to fetch a version. */
  beginPrefetch(version: WeightVersion): void {
    this.#prefetchVersion = version;
  }

  /** Notes that the fetch is over. */
  endPrefetch(version: WeightVersion): void {
    if (this.#prefetchVersion === version) this.#prefetchedVersion = version;
  }

  /** Notes that a swap begins. */
  beginSwap(): void {
    this.#isSwapping = true;
    this.#swapCount += 1;
  }

  /**
   * Notes that a swap is over.
   *
   * @param served - the version that the engine says it serves, if it says so
   * @param isDone - whether that is the ordered one
   */
  endSwap(served: WeightVersion | undefined, isDone: boolean): void {
    this.#isSwapping = false;
    if (served !== undefined) {
      this.#servedVersion = served;
      this.#servedVersionValidUntil = this.#clock.mono() + this.#options.preferSwapAnswerMs;
    }
    this.#failureCount = isDone ? 0 : this.#failureCount + 1;
    this.#nextSwapAt = isDone ? 0 : this.#clock.mono() + this.#getRetryDelayMs();
  }

  #getRetryDelayMs(): Millis {
    const { outOfRotationRetryMs: outMs, firstRetryDelayMs: retryMs } = this.#options;
    return this.isOutOfRotation ? outMs : retryMs * 2 ** (this.#failureCount - 1);
  }
}
