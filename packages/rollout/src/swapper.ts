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

import { TargetSwap, type SwapRetries } from './target-swap';
import type { WavePolicy } from './waves';
import type { SwapTarget, WeightOrder, WeightOrders } from './weight-orders';

/** How a swapper works. */
export interface SwapperBounds extends SwapRetries {
  /** How often the targets are looked at, in milliseconds. */
  readonly tickMs: Millis;
  /** How many targets a second are asked to fetch ahead. */
  readonly preparesPerSecond: number;
}

/** What a swapper needs. */
export interface WaveSwapperDeps {
  readonly trainer: TrainerId;
  readonly orders: WeightOrders;
  readonly policy: WavePolicy;
  /** The newest published version. */
  readonly wanted: () => Option<WeightVersion>;
  /** The holder's fencing number, none while the lease doesn't cover an order's deadline. */
  readonly fencing: () => Option<FencingNumber>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly bounds?: Partial<SwapperBounds>;
}

/** How far a version has come. */
export interface SwapProgress {
  readonly total: number;
  readonly serving: number;
  readonly swapping: number;
  readonly out: number;
}

const DEFAULT_BOUNDS: SwapperBounds = {
  tries: 4,
  retryMs: 250,
  outMs: 10_000,
  settleMs: 5000,
  tickMs: 100,
  preparesPerSecond: 200,
};

const MS_PER_SECOND = 1000;

/** Swaps a trainer's targets in waves, under the holder's fencing number. */
export class WaveSwapper {
  readonly #deps: WaveSwapperDeps;

  readonly #bounds: SwapperBounds;

  readonly #states = new Map<TargetId, TargetSwap>();

  /** @param deps - the targets, the wave policy and the holder's lease */
  constructor(deps: WaveSwapperDeps) {
    this.#deps = deps;
    this.#bounds = { ...DEFAULT_BOUNDS, ...deps.bounds };
  }

  /**
   * Looks at the targets again and again, and orders what is missing.
   *
   * @param signal - ends the work; call it when the duty is lost
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.tick();
      await this.#deps.clock.sleep(this.#bounds.tickMs, signal);
    }
  }

  /** Looks at the targets once, and orders what is missing. */
  tick(): void {
    const wanted = this.#deps.wanted();
    const fencing = this.#deps.fencing();
    if (!isSome(wanted) || !isSome(fencing)) return;
    const targets = this.#observe();
    this.#prepare(targets, wanted.value, fencing.value);
    const pending = this.#pending(targets, wanted.value);
    const begin = this.#deps.policy.next({
      total: targets.length,
      swapping: this.#swapping(),
      pending: pending.length,
    });
    pending.slice(0, begin).forEach((target) => {
      void this.#swap(target, this.#order(target, wanted.value, fencing.value));
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
    const targets = this.#observe().filter(({ target, version }) => {
      const state = this.#states.get(target);
      return state?.isSwapping || state?.isOut || isTooOld(version ?? BASE_VERSION);
    });
    return new Set(targets.map(({ target }) => target));
  }

  /** Counts how far the newest version has come. */
  progress(): SwapProgress {
    const wanted = this.#deps.wanted();
    const targets = this.#observe();
    const serving = targets.filter(({ version }) => isSome(wanted) && version === wanted.value);
    const out = targets.filter(({ target }) => this.#states.get(target)?.isOut);
    return {
      total: targets.length,
      serving: serving.length,
      swapping: this.#swapping(),
      out: out.length,
    };
  }

  /** Joins the targets' reports with what their answers to orders said since. */
  #observe(): SwapTarget[] {
    const targets = this.#deps.orders.targets(this.#deps.trainer);
    const live = new Set(targets.map(({ target }) => target));
    [...this.#states.keys()].filter((id) => !live.has(id)).forEach((id) => this.#states.delete(id));
    return targets.map(({ target, version }) => {
      const served = this.#state(target).version(version);
      return served === undefined ? { target } : { target, version: served };
    });
  }

  #prepare(targets: readonly SwapTarget[], wanted: WeightVersion, fencing: FencingNumber): void {
    const { preparesPerSecond, tickMs } = this.#bounds;
    const most = Math.max(1, Math.floor((preparesPerSecond * tickMs) / MS_PER_SECOND));
    targets
      .filter(({ target, version }) => {
        const { preparing } = this.#state(target);
        return version !== wanted && preparing !== wanted;
      })
      .slice(0, most)
      .forEach(({ target }) => {
        void this.#prepareOne(target, this.#order(target, wanted, fencing));
      });
  }

  async #prepareOne(target: TargetId, order: WeightOrder): Promise<void> {
    const state = this.#state(target);
    state.prepare(order.version);
    const result = await this.#deps.orders.prepare(target, order);
    if (result.isErr()) this.#deps.metrics.countRetry(result.error.code);
    // A failed fetch isn't waited for: the swap itself fetches, and is retried.
    state.prepared(order.version);
  }

  #pending(targets: readonly SwapTarget[], wanted: WeightVersion): TargetId[] {
    return targets
      .filter(({ target, version }) => version !== wanted && this.#state(target).isReady(wanted))
      .map(({ target }) => target)
      .sort((a, b) => this.#state(a).failures - this.#state(b).failures);
  }

  async #swap(target: TargetId, order: WeightOrder): Promise<void> {
    const state = this.#state(target);
    state.begin();
    const swapped = await this.#deps.orders.swap(target, order);
    // Whatever the answer, only what the engine says that it serves counts.
    const found = swapped.isOk() ? swapped : await this.#deps.orders.query(target, order.trainer);
    const served = found.isOk() && !found.value.loading ? found.value.version : undefined;
    const wasOut = state.isOut;
    state.end(served, served === order.version);
    this.#count(swapped.isErr() ? swapped.error : undefined, state, wasOut);
  }

  #count(failure: Failure | undefined, state: TargetSwap, wasOut: boolean): void {
    const { metrics } = this.#deps;
    if (state.failures === 0) metrics.count('rollout.swap.done');
    else metrics.countRetry(failure?.code ?? 'swap_failed');
    if (state.isOut && !wasOut) metrics.count('rollout.swap.out');
  }

  #order(target: TargetId, version: WeightVersion, fencing: FencingNumber): WeightOrder {
    const { trainer } = this.#deps;
    const { tries } = this.#state(target);
    const order = `${trainer}/${version}/${fencing}/${target}/${tries}` as RecordId;
    return { order, fencing, trainer, version };
  }

  #swapping(): number {
    return [...this.#states.values()].filter((state) => state.isSwapping).length;
  }

  #state(target: TargetId): TargetSwap {
    const known = this.#states.get(target);
    if (known) return known;
    const state = new TargetSwap(this.#deps.clock, this.#bounds);
    this.#states.set(target, state);
    return state;
  }
}

const BASE_VERSION = 0 as WeightVersion;
