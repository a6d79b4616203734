/** What a swapper knows about one target. */
import type { Clock, Millis, WeightVersion } from '@hibiscushill/base';

/** How a target's failed swaps are retried. */
export interface SwapRetries {
  /** Failed tries after which a target is out of rotation for the trainer. */
  readonly tries: number;
  /** The first wait after a failed try, in milliseconds; it doubles with each. */
  readonly retryMs: Millis;
  /** How often a target that is out of rotation is tried again, in milliseconds. */
  readonly outMs: Millis;
  /** How long a swap's own answer goes before a target's lagging reports, in milliseconds. */
  readonly settleMs: Millis;
}

/** One target on its way to a version. */
export class TargetSwap {
  readonly #clock: Clock;

  readonly #retries: SwapRetries;

  #served: WeightVersion | undefined;

  #servedUntil = 0;

  #notBefore = 0;

  #failures = 0;

  #tries = 0;

  #isSwapping = false;

  #preparing: WeightVersion | undefined;

  #prepared: WeightVersion | undefined;

  /**
   * @param clock - the clock of the waits
   * @param retries - how failed swaps are retried
   */
  constructor(clock: Clock, retries: SwapRetries) {
    this.#clock = clock;
    this.#retries = retries;
  }

  /** Whether a swap is under way. */
  get isSwapping(): boolean {
    return this.#isSwapping;
  }

  /** Whether the target has failed so often that it is out of rotation. */
  get isOut(): boolean {
    return this.#failures >= this.#retries.tries;
  }

  /** How many tries have failed since the last success. */
  get failures(): number {
    return this.#failures;
  }

  /** How many swaps were begun, so that an engine doesn't take a retry for the order before. */
  get tries(): number {
    return this.#tries;
  }

  /** The version that the target was last asked to fetch. */
  get preparing(): WeightVersion | undefined {
    return this.#preparing;
  }

  /**
   * Joins the target's report with what its answer to a swap said since.
   *
   * @param reported - the version that it last reported
   * @returns the version that it serves, if known
   */
  version(reported: WeightVersion | undefined): WeightVersion | undefined {
    return this.#clock.mono() < this.#servedUntil ? this.#served : reported;
  }

  /** Whether a swap to a version may begin now. */
  isReady(wanted: WeightVersion): boolean {
    if (this.#isSwapping || this.#prepared !== wanted) return false;
    return this.#clock.mono() >= this.#notBefore;
  }

  /** Notes that the target was asked to fetch a version. */
  prepare(version: WeightVersion): void {
    this.#preparing = version;
  }

  /** Notes that the fetch is over. */
  prepared(version: WeightVersion): void {
    if (this.#preparing === version) this.#prepared = version;
  }

  /** Notes that a swap begins. */
  begin(): void {
    this.#isSwapping = true;
    this.#tries += 1;
  }

  /**
   * Notes that a swap is over.
   *
   * @param served - the version that the engine says it serves, if it says so
   * @param isDone - whether that is the ordered one
   */
  end(served: WeightVersion | undefined, isDone: boolean): void {
    this.#isSwapping = false;
    if (served !== undefined) {
      this.#served = served;
      this.#servedUntil = this.#clock.mono() + this.#retries.settleMs;
    }
    this.#failures = isDone ? 0 : this.#failures + 1;
    this.#notBefore = isDone ? 0 : this.#clock.mono() + this.#waitMs();
  }

  #waitMs(): Millis {
    const { outMs, retryMs } = this.#retries;
    return this.isOut ? outMs : retryMs * 2 ** (this.#failures - 1);
  }
}
