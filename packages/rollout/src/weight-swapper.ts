/** Swaps the newest weights onto a service's targets, on the entry that owns the trainer. */
import type {
  Clock,
  Failure,
  FencingNumber,
  Metrics,
  Millis,
  RecordId,
  TargetId,
  TrainerId,
  WeightVersion,
} from '@hibiscushill/base';
import { isSome, type Option } from 'fp-ts/Option';

import { TargetSwapState, type SwapRetryOptions } from './target-swap-state';
import type { SwapPolicy } from './swap-policy';
import type { SwapTarget, WeightOrder, WeightOrderSender } from './weight-orders';

/** The intervals, rates and retries of a weight swapper. */
export interface SwapperOptions extends SwapRetryOptions {
  /** How often the targets are checked, in milliseconds. */
  readonly intervalMs: Millis;
  /** How many targets per second are asked to prefetch the newest version. */
  readonly maxPrefetchesPerSecond: number;
}

/** The trainer, the way to its targets, and the policy that limits concurrent swaps. */
export interface WeightSwapperDeps {
  readonly trainer: TrainerId;
  readonly sender: WeightOrderSender;
  readonly policy: SwapPolicy;
  /** Returns the newest published version. */
  readonly getNewestVersion: () => Option<WeightVersion>;
  /** Returns the owner's fencing number, or none while its lease is too short for an order. */
  readonly getFencing: () => Option<FencingNumber>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly options?: Partial<SwapperOptions>;
}

/** How many targets serve the newest version. */
export interface SwapProgress {
  /** All targets of the service that can take orders. */
  readonly total: number;
  /** Targets that serve the newest version. */
  readonly serving: number;
  /** Targets that are swapping now. */
  readonly swapping: number;
  /** Targets that are out of rotation after failed swaps. */
  readonly out: number;
}

const DEFAULT_OPTIONS: SwapperOptions = {
  maxFailures: 4,
  firstRetryDelayMs: 250,
  outOfRotationRetryMs: 10_000,
  preferSwapResponseMs: 5000,
  intervalMs: 100,
  maxPrefetchesPerSecond: 200,
};

const MS_PER_SECOND = 1000;

/**
 * Orders the targets of a trainer's service to swap to the newest version, as many at a time as
 * the policy allows. Each order has the owner's fencing number.
 */
export class WeightSwapper {
  readonly #deps: WeightSwapperDeps;

  readonly #options: SwapperOptions;

  readonly #swapStates = new Map<TargetId, TargetSwapState>();

  /** @param deps - the trainer, the way to its targets, and the swap policy */
  constructor(deps: WeightSwapperDeps) {
    this.#deps = deps;
    this.#options = { ...DEFAULT_OPTIONS, ...deps.options };
  }

  /**
   * Checks the targets periodically and starts the swaps that are due.
   *
   * @param signal - ends the task; the caller aborts it when the duty is lost
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.startDueSwaps();
      await this.#deps.clock.sleep(this.#options.intervalMs, signal);
    }
  }

  /** Checks the targets once and starts the prefetches and swaps that are due. */
  startDueSwaps(): void {
    const newest = this.#deps.getNewestVersion();
    const fencing = this.#deps.getFencing();
    if (!isSome(newest) || !isSome(fencing)) return;
    const targets = this.#listTargets();
    this.#startPrefetches(targets, newest.value, fencing.value);
    const pending = this.#listPending(targets, newest.value);
    const startCount = this.#deps.policy.countToStart({
      targetCount: targets.length,
      swappingCount: this.#countSwapping(),
      pendingCount: pending.length,
    });
    pending.slice(0, startCount).forEach((target) => {
      void this.#swap(target, this.#createOrder(target, newest.value, fencing.value));
    });
  }

  /**
   * Lists the targets that must not get samples of the trainer now, because they are swapping, are
   * out of rotation, or serve a version whose samples would be stale.
   *
   * @param isTooOld - tells whether samples of a version would be stale
   * @returns the targets
   */
  listExcludedTargets(isTooOld: (version: WeightVersion) => boolean): ReadonlySet<TargetId> {
    const targets = this.#listTargets().filter(({ target, version }) => {
      const state = this.#swapStates.get(target);
      return state?.isSwapping || state?.isOutOfRotation || isTooOld(version ?? BASE_VERSION);
    });
    return new Set(targets.map(({ target }) => target));
  }

  /** Counts the targets that serve the newest version, are swapping, or are out of rotation. */
  countProgress(): SwapProgress {
    const newest = this.#deps.getNewestVersion();
    const targets = this.#listTargets();
    const serving = targets.filter(({ version }) => isSome(newest) && version === newest.value);
    const out = targets.filter(({ target }) => this.#swapStates.get(target)?.isOutOfRotation);
    return {
      total: targets.length,
      serving: serving.length,
      swapping: this.#countSwapping(),
      out: out.length,
    };
  }

  /** Lists the targets with the version that each serves, and drops the state of all others. */
  #listTargets(): SwapTarget[] {
    const targets = this.#deps.sender.listTargets(this.#deps.trainer);
    const live = new Set(targets.map(({ target }) => target));
    [...this.#swapStates.keys()]
      .filter((id) => !live.has(id))
      .forEach((id) => this.#swapStates.delete(id));
    return targets.map(({ target, version }) => {
      const served = this.#swapStateOf(target).resolveVersion(version);
      return served === undefined ? { target } : { target, version: served };
    });
  }

  #startPrefetches(
    targets: readonly SwapTarget[],
    newest: WeightVersion,
    fencing: FencingNumber,
  ): void {
    const { maxPrefetchesPerSecond, intervalMs } = this.#options;
    const maxStarts = Math.max(
      1,
      Math.floor((maxPrefetchesPerSecond * intervalMs) / MS_PER_SECOND),
    );
    targets
      .filter(({ target, version }) => {
        const { prefetchVersion } = this.#swapStateOf(target);
        return version !== newest && prefetchVersion !== newest;
      })
      .slice(0, maxStarts)
      .forEach(({ target }) => {
        void this.#prefetch(target, this.#createOrder(target, newest, fencing));
      });
  }

  async #prefetch(target: TargetId, order: WeightOrder): Promise<void> {
    const state = this.#swapStateOf(target);
    state.beginPrefetch(order.version);
    const result = await this.#deps.sender.prefetch(target, order);
    if (result.isErr()) this.#deps.metrics.countRetry(result.error.code);
    // A failed prefetch doesn't delay the swap, which fetches the version itself and is retried.
    state.endPrefetch(order.version);
  }

  /** Lists the targets whose swap may start now, those with the fewest failures first. */
  #listPending(targets: readonly SwapTarget[], newest: WeightVersion): TargetId[] {
    return targets
      .filter(
        ({ target, version }) => version !== newest && this.#swapStateOf(target).canSwap(newest),
      )
      .map(({ target }) => target)
      .sort((a, b) => this.#swapStateOf(a).failureCount - this.#swapStateOf(b).failureCount);
  }

  async #swap(target: TargetId, order: WeightOrder): Promise<void> {
    const state = this.#swapStateOf(target);
    state.beginSwap();
    const swapped = await this.#deps.sender.swap(target, order);
    // A failed or unanswered swap may still have taken effect, so the engine's state decides.
    const result = swapped.isOk()
      ? swapped
      : await this.#deps.sender.queryState(target, order.trainer);
    const served = result.isOk() && !result.value.loading ? result.value.version : undefined;
    const wasOutOfRotation = state.isOutOfRotation;
    state.endSwap(served, served === order.version);
    this.#countOutcome(swapped.isErr() ? swapped.error : undefined, state, wasOutOfRotation);
  }

  #countOutcome(
    failure: Failure | undefined,
    state: TargetSwapState,
    wasOutOfRotation: boolean,
  ): void {
    const { metrics } = this.#deps;
    if (state.failureCount === 0) metrics.count('rollout.swap.done');
    else metrics.countRetry(failure?.code ?? 'swap_failed');
    if (state.isOutOfRotation && !wasOutOfRotation) metrics.count('rollout.swap.out');
  }

  #createOrder(target: TargetId, version: WeightVersion, fencing: FencingNumber): WeightOrder {
    const { trainer } = this.#deps;
    const { swapCount } = this.#swapStateOf(target);
    const order = `${trainer}/${version}/${fencing}/${target}/${swapCount}` as RecordId;
    return { order, fencing, trainer, version };
  }

  #countSwapping(): number {
    return [...this.#swapStates.values()].filter((state) => state.isSwapping).length;
  }

  #swapStateOf(target: TargetId): TargetSwapState {
    const known = this.#swapStates.get(target);
    if (known) return known;
    const state = new TargetSwapState(this.#deps.clock, this.#options);
    this.#swapStates.set(target, state);
    return state;
  }
}

/** The version that a target serves before any swap. */
const BASE_VERSION = 0 as WeightVersion;
