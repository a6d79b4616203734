/** Weight swaps that fail, stay unanswered, take effect late, or are ordered out of order. */
import {
  ManualClock,
  Metrics,
  RandomSource,
  createFailure,
  type Failure,
  type FencingNumber,
  type RecordId,
  type TargetId,
  type TrainerId,
  type WeightVersion,
} from '@hibiscushill/base';
import { none, some } from 'fp-ts/Option';
import { ResultAsync, err, errAsync, ok, okAsync, type Result } from 'neverthrow';
import { expect, test } from 'vitest';

import {
  AllAtOnce,
  EngineWeightsClient,
  RollingUpdate,
  WeightSwapper,
  WeightLoader,
  WeightOrderSender,
  WeightFetcher,
  type LoadOrder,
  type SwapTarget,
  type SwapPolicy,
  type WeightOrder,
  type WeightState,
} from '../src';
import { TRAINER, waitFor, advanceUntil, runReadyTasks } from './support';

const TRAINER_ID = TRAINER.name;

function order(version: number, fencing: number): WeightOrder {
  const id = `${version}/${fencing}` as RecordId;
  return {
    order: id,
    fencing: fencing as FencingNumber,
    trainer: TRAINER_ID,
    version: version as WeightVersion,
  };
}

/** An engine in memory that may forget fencing numbers and whose loads may fail. */
class FakeEngine extends EngineWeightsClient {
  version = 0;

  highestFencing = -1;

  loads: number[] = [];

  /**
   * The outcomes of the next loads: rejected by the engine, done without a response, done later
   * without a response, or neither done nor responded to.
   */
  readonly nextOutcomes: ('rejected' | 'unanswered' | 'delayed' | 'lost')[] = [];

  readonly #clock: ManualClock;

  readonly #remembersFencing: boolean;

  constructor(clock: ManualClock, remembersFencing: boolean) {
    super();
    this.#clock = clock;
    this.#remembersFencing = remembersFencing;
  }

  override load(given: LoadOrder): ResultAsync<void, Failure> {
    return new ResultAsync(this.#load(given));
  }

  override readState(_trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const { highestFencing, version } = this;
    const state = { version: version as WeightVersion, highestFencing, loading: false };
    return okAsync(state);
  }

  async #load(given: LoadOrder): Promise<Result<void, Failure>> {
    const outcome = this.nextOutcomes.shift();
    this.loads.push(given.version);
    if (this.#remembersFencing) this.highestFencing = Math.max(this.highestFencing, given.fencing);
    await this.#clock.sleep(50);
    if (outcome === 'rejected') return err(createFailure('swap_failed'));
    if (outcome === 'lost') return err(createFailure('outcome_unknown', { run: 'may-have-run' }));
    if (outcome === 'delayed') void this.#loadLate(given);
    else this.version = given.version;
    const isUnanswered = outcome === 'unanswered' || outcome === 'delayed';
    return isUnanswered ? err(createFailure('outcome_unknown', { run: 'may-have-run' })) : ok();
  }

  async #loadLate(given: LoadOrder): Promise<void> {
    await this.#clock.sleep(500);
    this.version = given.version;
  }
}

/** Fetches from a store that may be busy. */
class FakeStore extends WeightFetcher {
  fetches = 0;

  /** How many of the next fetches find the store busy. */
  busyFetches = 0;

  override fetch(trainer: TrainerId, version: WeightVersion): ResultAsync<string, Failure> {
    this.fetches += 1;
    if (this.busyFetches === 0) return okAsync(`${trainer}/${version}`);
    this.busyFetches -= 1;
    return errAsync(createFailure('platform_down', { retryAfterMs: 1000 }));
  }
}

function createAgent(
  options: { remembersFencing?: boolean; readHighestFencing?: () => number } = {},
) {
  const clock = new ManualClock();
  const engine = new FakeEngine(clock, options.remembersFencing ?? false);
  const store = new FakeStore();
  const { readHighestFencing } = options;
  const restart = () =>
    new WeightLoader({
      engine,
      fetcher: store,
      clock,
      metrics: new Metrics({ prefix: 'test' }),
      random: new RandomSource(3),
      ...(readHighestFencing && { readHighestFencing: () => okAsync(readHighestFencing()) }),
    });
  return { clock, engine, store, restart, loader: restart() };
}

test('an older fencing number is refused although the engine ignores it', async () => {
  const { loader, clock, engine } = createAgent();
  (await waitFor(clock, loader.apply(order(2, 9))))._unsafeUnwrap();
  const late = await waitFor(clock, loader.apply(order(3, 5)));
  expect(late._unsafeUnwrapErr().code).toBe('fencing_stale');
  expect(engine.loads).toEqual([2]);
});

test('an order that waits for its weights is refused once a newer owner has sent an order', async () => {
  const { loader, clock, engine, store } = createAgent();
  store.busyFetches = 1;
  const old = loader.apply(order(2, 5));
  await runReadyTasks();
  const newer = loader.apply(order(3, 9));
  const refused = await waitFor(clock, old);
  expect(refused.isErr()).toBe(true);
  (await waitFor(clock, newer))._unsafeUnwrap();
  expect(engine.loads).toEqual([3]);
});

test.each([
  { from: 'the engine', remembersFencing: true, logHasNumber: false, code: 'fencing_stale' },
  { from: 'the log', remembersFencing: false, logHasNumber: true, code: 'fencing_stale' },
  { from: 'nothing', remembersFencing: false, logHasNumber: false, code: undefined },
])('a restarted agent learns the fencing number from $from', async (given) => {
  const fromLog = given.logHasNumber ? { readHighestFencing: () => 9 } : {};
  const { loader, clock, restart } = createAgent({
    remembersFencing: given.remembersFencing,
    ...fromLog,
  });
  (await waitFor(clock, loader.apply(order(2, 9))))._unsafeUnwrap();
  const late = await waitFor(clock, restart().apply(order(1, 5)));
  // With neither source, the agent can't know the number and accepts the former owner's order.
  expect(late.isErr() ? late.error.code : undefined).toBe(given.code);
});

test('a version older than the last ordered one is refused under the same fencing number', async () => {
  const { loader, clock } = createAgent();
  (await waitFor(clock, loader.apply(order(4, 1))))._unsafeUnwrap();
  const late = await waitFor(clock, loader.apply(order(3, 1)));
  expect(late._unsafeUnwrapErr().code).toBe('weights_conflict');
});

test.each([
  ['unanswered', undefined],
  ['rejected', 'swap_failed'],
  ['lost', 'outcome_unknown'],
] as const)('the result of a load that was %s is what the engine serves', async (outcome, code) => {
  const { loader, clock, engine } = createAgent();
  engine.nextOutcomes.push(outcome);
  const result = await waitFor(clock, loader.apply(order(2, 1)));
  expect(result.isErr() ? result.error.code : undefined).toBe(code);
  expect(loader.servedVersions).toEqual([{ trainer: TRAINER_ID, version: code ? 0 : 2 }]);
});

test('a load that takes effect late shows after the next refresh', async () => {
  const { loader, clock, engine } = createAgent();
  engine.nextOutcomes.push('delayed');
  await waitFor(clock, loader.apply(order(2, 1)));
  (await waitFor(clock, loader.apply(order(3, 1))))._unsafeUnwrap();
  await advanceUntil(clock, () => engine.version === 2);
  await loader.refreshStates();
  expect(loader.servedVersions).toEqual([{ trainer: TRAINER_ID, version: 2 }]);
});

test('fetches from a busy store are retried after its delay, shared by prefetch and order', async () => {
  const { loader, clock, store } = createAgent();
  store.busyFetches = 2;
  const prefetched = loader.prefetch(order(2, 1));
  const swapped = loader.apply(order(2, 1));
  await waitFor(clock, prefetched);
  (await waitFor(clock, swapped))._unsafeUnwrap();
  expect(store.fetches).toBe(3);
  expect(clock.mono()).toBeGreaterThanOrEqual(2000);
});

/** Targets in memory that take some time to swap, and may fail or not respond. */
class FakeTargets extends WeightOrderSender {
  readonly versions = new Map<TargetId, WeightVersion>();

  /** How many of its next swaps each target fails. */
  readonly failures = new Map<TargetId, number>();

  /** The targets that will load the next version without a response. */
  readonly unresponsive = new Set<TargetId>();

  swappingCount = 0;

  maxSwappingCount = 0;

  swapCount = 0;

  readonly #clock: ManualClock;

  readonly #swapMs: (target: TargetId) => number;

  constructor(clock: ManualClock, count: number, swapMs: (target: TargetId) => number) {
    super();
    this.#clock = clock;
    this.#swapMs = swapMs;
    for (let index = 0; index < count; index += 1) {
      this.versions.set(`t${index}` as TargetId, 0 as WeightVersion);
    }
  }

  override listTargets(): readonly SwapTarget[] {
    return [...this.versions].map(([target, version]) => ({ target, version }));
  }

  override queryState(target: TargetId): ResultAsync<WeightState, Failure> {
    const version = this.versions.get(target) ?? (0 as WeightVersion);
    return okAsync({ version, highestFencing: -1, loading: false });
  }

  override swap(target: TargetId, given: WeightOrder): ResultAsync<WeightState, Failure> {
    return new ResultAsync(this.#swap(target, given));
  }

  async #swap(target: TargetId, given: WeightOrder): Promise<Result<WeightState, Failure>> {
    this.swapCount += 1;
    this.swappingCount += 1;
    this.maxSwappingCount = Math.max(this.maxSwappingCount, this.swappingCount);
    await this.#clock.sleep(this.#swapMs(target));
    this.swappingCount -= 1;
    const remainingFailures = this.failures.get(target) ?? 0;
    this.failures.set(target, remainingFailures - 1);
    if (remainingFailures > 0) return err(createFailure('swap_failed'));
    this.versions.set(target, given.version);
    if (this.unresponsive.delete(target)) return err(createFailure('outcome_unknown'));
    return ok({ version: given.version, highestFencing: given.fencing, loading: false });
  }
}

function createSwapper(
  policy: SwapPolicy,
  options: { count?: number; swapMs?: number; maxPrefetchesPerSecond?: number } = {},
) {
  const clock = new ManualClock();
  const { count = 6, swapMs = 1000 } = options;
  const random = new RandomSource(5);
  const targets = new FakeTargets(clock, count, () => swapMs * (0.75 + random.fraction() / 2));
  const state = { newestVersion: 1 as WeightVersion, fencing: some(7 as FencingNumber) };
  const swapper = new WeightSwapper({
    trainer: TRAINER_ID,
    sender: targets,
    policy,
    getNewestVersion: () => some(state.newestVersion),
    getFencing: () => state.fencing,
    clock,
    metrics: new Metrics({ prefix: 'test' }),
    options: {
      maxFailures: 3,
      preferSwapResponseMs: 0,
      maxPrefetchesPerSecond: options.maxPrefetchesPerSecond ?? 1000,
    },
  });
  const controller = new AbortController();
  void swapper.run(controller.signal);
  return { clock, targets, state, swapper, controller };
}

test.each([
  { name: 'all at once', policy: new AllAtOnce(), maxSwapping: 6 },
  { name: 'a third at a time', policy: new RollingUpdate(() => 0.34), maxSwapping: 2 },
])('$name, $maxSwapping of 6 targets swap together', async ({ policy, maxSwapping }) => {
  const { clock, targets, controller, swapper } = createSwapper(policy);
  await advanceUntil(clock, () => swapper.countProgress().serving === 6);
  expect(targets.maxSwappingCount).toBe(maxSwapping);
  controller.abort();
});

test('a target whose swaps keep failing leaves rotation until a swap succeeds', async () => {
  const { clock, targets, controller, swapper } = createSwapper(new RollingUpdate(() => 0.5));
  const failing = 't3' as TargetId;
  targets.failures.set(failing, 4);
  const isTooOld = (version: WeightVersion): boolean => version < 1;
  await advanceUntil(
    clock,
    () => swapper.countProgress().serving === 5 && swapper.countProgress().out === 1,
  );
  expect([...swapper.listExcludedTargets(isTooOld)]).toEqual([failing]);
  await advanceUntil(clock, () => swapper.countProgress().serving === 6);
  expect([...swapper.listExcludedTargets(isTooOld)]).toEqual([]);
  controller.abort();
});

test('a swap that took effect without a response is not ordered again', async () => {
  const { clock, targets, controller, swapper } = createSwapper(new AllAtOnce());
  targets.unresponsive.add('t1' as TargetId);
  await advanceUntil(clock, () => swapper.countProgress().serving === 6);
  expect(targets.swapCount).toBe(6);
  controller.abort();
});

test('no order is sent without a lease', async () => {
  const { clock, targets, state, controller } = createSwapper(new AllAtOnce());
  state.fencing = none;
  targets.versions.set('new' as TargetId, 0 as WeightVersion);
  const swapsBefore = targets.swapCount;
  await advanceUntil(clock, () => clock.mono() > 3000);
  expect(targets.swapCount).toBe(swapsBefore);
  controller.abort();
});

test('a target that returns to an older version is ordered again', async () => {
  const { clock, targets, controller, swapper } = createSwapper(new AllAtOnce());
  await advanceUntil(clock, () => swapper.countProgress().serving === 6);
  targets.versions.set('t0' as TargetId, 0 as WeightVersion);
  await advanceUntil(clock, () => swapper.countProgress().serving === 6);
  expect(targets.swapCount).toBe(7);
  controller.abort();
});

test('2,100 targets serve a version within 17 s, a third at a time', async () => {
  const options = { count: 2100, swapMs: 3000, maxPrefetchesPerSecond: 400 };
  const { clock, targets, controller, swapper } = createSwapper(
    new RollingUpdate(() => 0.34),
    options,
  );
  for (let index = 0; index < 21; index += 1) {
    targets.failures.set(`t${index * 100}` as TargetId, 1);
  }
  while (swapper.countProgress().serving < 2100) {
    clock.advance(50);
    await runReadyTasks();
  }
  expect(clock.mono()).toBeLessThan(17_000);
  expect(targets.maxSwappingCount).toBe(714);
  controller.abort();
});
