/** Brings the newest weights onto a service's targets, for the holder of the trainer's duty. */
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

import { TargetSwapState, type SwapRetryOptions } from './target-swap';
import type { SwapPolicy } from './swap-policy';
import type { SwapTarget, WeightOrder, WeightOrders } from './weight-orders';

/** How a swapper works. */
export interface SwapperOptions extends SwapRetryOptions {
  /** How often the targets are looked at, in milliseconds. */
  readonly intervalMs: Millis;
  /** How many targets a second are asked to fetch ahead. */
  readonly maxPrefetchesPerSecond: number;
}

/** What a swapper needs. */
export interface WeightSwapperDeps {
  readonly trainer: TrainerId;
  readonly orders: WeightOrders;
  readonly policy: SwapPolicy;
  /** The newest published version. */
  readonly wanted: () => Option<WeightVersion>;
  /** The holder's fencing number, none while the lease doesn't cover an order's deadline. */
  readonly fencing: () => Option<FencingNumber>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly options?: Partial<SwapperOptions>;
}

/** How far a version has come. */
export interface SwapProgress {
  readonly total: number;
  readonly serving: number;
  readonly swapping: number;
  readonly out: number;
}

const DEFAULT_OPTIONS: SwapperOptions = {
  maxFailures: 4,
  firstRetryDelayMs: 250,
  outOfRotationRetryMs: 10_000,
  preferSwapAnswerMs: 5000,
  intervalMs: 100,
  maxPrefetchesPerSecond: 200,
};

const MS_PER_SECOND = 1000;

/** Swaps a trainer's targets in waves, under the holder's fencing number. */
export class WaveSwapper {
  readonly #deps: WeightSwapperDeps;

  readonly #options: SwapperOptions;

  readonly #swapStates = new Map<TargetId, TargetSwapState>();

  /** @param deps - the targets, the wave policy and the holder's lease */
  constructor(deps: WeightSwapperDeps) {
    this.#deps = deps;
    this.#options = { ...DEFAULT_OPTIONS, ...deps.options };
  }

  /**
   * Looks at the targets again and again, and orders what is missing.
   *
   * @param signal - ends the work; call it when the duty is lost
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.startDueSwaps();
      await this.#deps.clock.sleep(this.#options.intervalMs, signal);
    }
  }

  /** Looks at the targets once, and orders what is missing. */
  startDueSwaps(): void {
    const wanted = this.#deps.wanted();
    const fencing = this.#deps.fencing();
    if (!isSome(wanted) || !isSome(fencing)) return;
    const targets = this.#listTargets();
    this.#startPrefetches(targets, wanted.value, fencing.value);
    const pending = this.#listPending(targets, wanted.value);
    const begin = this.#deps.policy.countToStart({
      targetCount: targets.length,
      swappingCount: this.#countSwapping(),
      pendingCount: pending.length,
    });
    pending.slice(0, begin).forEach((target) => {
      void this.#swap(target, this.#createOrder(target, wanted.value, fencing.value));
    });
  }

  /**
   * Lists the targets that must get no samples of the trainer now: swapping, given up, or serving
   * a version whose samples would be thrown away.
   *
   * @param isTooOld - whether samples of a version would be too old
   * @returns the targets
   */
  excluded(isTooOld: (version: WeightVersion) => boolean): ReadonlySet<TargetId> {
    const targets = this.#listTargets().filter(({ target, version }) => {
      const state = this.#swapStates.get(target);
      return state?.isSwapping || state?.isOutOfRotation || isTooOld(version ?? BASE_VERSION);
    });
    return new Set(targets.map(({ target }) => target));
  }

  /** Counts how far the newest version has come. */
  progress(): SwapProgress {
    const wanted = this.#deps.wanted();
    const targets = this.#listTargets();
    const serving = targets.filter(({ version }) => isSome(wanted) && version === wanted.value);
    const out = targets.filter(({ target }) => this.#swapStates.get(target)?.isOutOfRotation);
    return {
      total: targets.length,
      serving: serving.length,
      swapping: this.#countSwapping(),
      out: out.length,
    };
  }

  /** Joins the targets' reports with what their answers to orders said since. */
  #listTargets(): SwapTarget[] {
    const targets = this.#deps.orders.targets(this.#deps.trainer);
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
    wanted: WeightVersion,
    fencing: FencingNumber,
  ): void {
    const { maxPrefetchesPerSecond: preparesPerSecond, intervalMs: tickMs } = this.#options;
    const most = Math.max(1, Math.floor((preparesPerSecond * tickMs) / MS_PER_SECOND));
    targets
      .filter(({ target, version }) => {
        const { prefetchVersion: preparing } = this.#swapStateOf(target);
        return version !== wanted && preparing !== wanted;
      })
      .slice(0, most)
      .forEach(({ target }) => {
        void this.#prefetch(target, this.#createOrder(target, wanted, fencing));
      });
  }

  async #prefetch(target: TargetId, order: WeightOrder): Promise<void> {
    const state = this.#swapStateOf(target);
    state.beginPrefetch(order.version);
    const result = await this.#deps.orders.prefetch(target, order);
    if (result.isErr()) this.#deps.metrics.countRetry(result.error.code);
    // A failed fetch isn't waited for: the swap itself fetches, and is retried.
    state.endPrefetch(order.version);
  }

  #listPending(targets: readonly SwapTarget[], wanted: WeightVersion): TargetId[] {
    return targets
      .filter(
        ({ target, version }) => version !== wanted && this.#swapStateOf(target).canSwap(wanted),
      )
      .map(({ target }) => target)
      .sort((a, b) => this.#swapStateOf(a).failureCount - this.#swapStateOf(b).failureCount);
  }

  async #swap(target: TargetId, order: WeightOrder): Promise<void> {
    const state = this.#swapStateOf(target);
    state.beginSwap();
    const swapped = await this.#deps.orders.swap(target, order);
    // Whatever the answer, only what the engine says that it serves counts.
    const found = swapped.isOk() ? swapped : await this.#deps.orders.query(target, order.trainer);
    const served = found.isOk() && !found.value.loading ? found.value.version : undefined;
    const wasOut = state.isOutOfRotation;
    state.endSwap(served, served === order.version);
    this.#countOutcome(swapped.isErr() ? swapped.error : undefined, state, wasOut);
  }

  #countOutcome(failure: Failure | undefined, state: TargetSwapState, wasOut: boolean): void {
    const { metrics } = this.#deps;
    if (state.failureCount === 0) metrics.count('rollout.swap.done');
    else metrics.countRetry(failure?.code ?? 'swap_failed');
    if (state.isOutOfRotation && !wasOut) metrics.count('rollout.swap.out');
  }

  #createOrder(target: TargetId, version: WeightVersion, fencing: FencingNumber): WeightOrder {
    const { trainer } = this.#deps;
    const { swapCount: tries } = this.#swapStateOf(target);
    const order = `${trainer}/${version}/${fencing}/${target}/${tries}` as RecordId;
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

const BASE_VERSION = 0 as WeightVersion;
