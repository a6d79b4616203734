/** Weight swaps: failed, unanswered, half done and out of order. */
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
  EngineWeights,
  SlidingWaves,
  WaveSwapper,
  WeightApplier,
  WeightOrders,
  WeightSource,
  type LoadOrder,
  type SwapTarget,
  type SwapPolicy,
  type WeightOrder,
  type WeightState,
} from '../src';
import { TRAINER, drive, driveUntil, settle } from './support';

const T = TRAINER.name;

function order(version: number, fencing: number): WeightOrder {
  const id = `${version}/${fencing}` as RecordId;
  return {
    order: id,
    fencing: fencing as FencingNumber,
    trainer: T,
    version: version as WeightVersion,
  };
}

/** An engine that may ignore fencing, fail, stay silent, and load late. */
class FakeEngine extends EngineWeights {
  version = 0;

  highest = -1;

  loads: number[] = [];

  /** What becomes of the next loads. */
  readonly script: ('fail' | 'silent' | 'late' | 'lost')[] = [];

  readonly #clock: ManualClock;

  readonly #keepsFencing: boolean;

  constructor(clock: ManualClock, keepsFencing: boolean) {
    super();
    this.#clock = clock;
    this.#keepsFencing = keepsFencing;
  }

  override load(given: LoadOrder): ResultAsync<void, Failure> {
    return new ResultAsync(this.#load(given));
  }

  override state(_trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const { highest, version } = this;
    const state = { version: version as WeightVersion, highestFencing: highest, loading: false };
    return okAsync(state);
  }

  async #load(given: LoadOrder): Promise<Result<void, Failure>> {
    const fate = this.script.shift();
    this.loads.push(given.version);
    if (this.#keepsFencing) this.highest = Math.max(this.highest, given.fencing);
    await this.#clock.sleep(50);
    if (fate === 'fail') return err(createFailure('swap_failed'));
    if (fate === 'lost') return err(createFailure('outcome_unknown', { run: 'may-have-run' }));
    if (fate === 'late') void this.#landLate(given);
    else this.version = given.version;
    const isUnknown = fate === 'silent' || fate === 'late';
    return isUnknown ? err(createFailure('outcome_unknown', { run: 'may-have-run' })) : ok();
  }

  async #landLate(given: LoadOrder): Promise<void> {
    await this.#clock.sleep(500);
    this.version = given.version;
  }
}

/** A store that is busy for its first calls. */
class FakeSource extends WeightSource {
  fetches = 0;

  busy = 0;

  override fetch(trainer: TrainerId, version: WeightVersion): ResultAsync<string, Failure> {
    this.fetches += 1;
    if (this.busy === 0) return okAsync(`${trainer}/${version}`);
    this.busy -= 1;
    return errAsync(createFailure('platform_down', { retryAfterMs: 1000 }));
  }
}

function createAgent(options: { keepsFencing?: boolean; learn?: () => number } = {}) {
  const clock = new ManualClock();
  const engine = new FakeEngine(clock, options.keepsFencing ?? false);
  const source = new FakeSource();
  const { learn } = options;
  const restart = () =>
    new WeightApplier({
      engine,
      source,
      clock,
      metrics: new Metrics({ prefix: 'test' }),
      random: new RandomSource(3),
      ...(learn && { learn: () => okAsync(learn()) }),
    });
  return { clock, engine, source, restart, applier: restart() };
}

test('an older fencing number is refused although the engine ignores it', async () => {
  const { applier, clock, engine } = createAgent();
  (await drive(clock, applier.apply(order(2, 9))))._unsafeUnwrap();
  const late = await drive(clock, applier.apply(order(3, 5)));
  expect(late._unsafeUnwrapErr().code).toBe('fencing_stale');
  expect(engine.loads).toEqual([2]);
});

test('an order that waits in turn is refused once a newer holder has ordered', async () => {
  const { applier, clock, engine, source } = createAgent();
  source.busy = 1;
  const old = applier.apply(order(2, 5));
  await settle();
  const newer = applier.apply(order(3, 9));
  const refused = await drive(clock, old);
  expect(refused.isErr()).toBe(true);
  (await drive(clock, newer))._unsafeUnwrap();
  expect(engine.loads).toEqual([3]);
});

test.each([
  { from: 'the engine', keepsFencing: true, learns: false, code: 'fencing_stale' },
  { from: 'the log', keepsFencing: false, learns: true, code: 'fencing_stale' },
  { from: 'nothing', keepsFencing: false, learns: false, code: undefined },
])('a restarted agent learns the fencing number from $from', async (given) => {
  const learn = given.learns ? { learn: () => 9 } : {};
  const { applier, clock, restart } = createAgent({ keepsFencing: given.keepsFencing, ...learn });
  (await drive(clock, applier.apply(order(2, 9))))._unsafeUnwrap();
  const late = await drive(clock, restart().apply(order(1, 5)));
  // From nothing it can't know: the old order goes through, which is what learning prevents.
  expect(late.isErr() ? late.error.code : undefined).toBe(given.code);
});

test('a version older than the last ordered one is refused under the same number', async () => {
  const { applier, clock } = createAgent();
  (await drive(clock, applier.apply(order(4, 1))))._unsafeUnwrap();
  const late = await drive(clock, applier.apply(order(3, 1)));
  expect(late._unsafeUnwrapErr().code).toBe('weights_conflict');
});

test.each([
  ['silent', undefined],
  ['fail', 'swap_failed'],
  ['lost', 'outcome_unknown'],
] as const)('after a load that was %s the engine is asked', async (fate, code) => {
  const { applier, clock, engine } = createAgent();
  engine.script.push(fate);
  const result = await drive(clock, applier.apply(order(2, 1)));
  expect(result.isErr() ? result.error.code : undefined).toBe(code);
  expect(applier.versions).toEqual([{ trainer: T, version: code ? 0 : 2 }]);
});

test('a load that lands late is seen by the next refresh', async () => {
  const { applier, clock, engine } = createAgent();
  engine.script.push('late');
  await drive(clock, applier.apply(order(2, 1)));
  (await drive(clock, applier.apply(order(3, 1))))._unsafeUnwrap();
  await driveUntil(clock, () => engine.version === 2);
  await applier.refresh();
  expect(applier.versions).toEqual([{ trainer: T, version: 2 }]);
});

test('a busy store is asked again after its time, once for prepare and order', async () => {
  const { applier, clock, source } = createAgent();
  source.busy = 2;
  const ahead = applier.prefetch(order(2, 1));
  const swapped = applier.apply(order(2, 1));
  await drive(clock, ahead);
  (await drive(clock, swapped))._unsafeUnwrap();
  expect(source.fetches).toBe(3);
  expect(clock.mono()).toBeGreaterThanOrEqual(2000);
});

/** Targets that swap after a while, with a script of failures. */
class FakeOrders extends WeightOrders {
  readonly versions = new Map<TargetId, WeightVersion>();

  /** How many of its next swaps each target fails; `half` ones load but say nothing. */
  readonly failures = new Map<TargetId, number>();

  readonly half = new Set<TargetId>();

  swapping = 0;

  mostSwapping = 0;

  swaps = 0;

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

  override targets(): readonly SwapTarget[] {
    return [...this.versions].map(([target, version]) => ({ target, version }));
  }

  override query(target: TargetId): ResultAsync<WeightState, Failure> {
    const version = this.versions.get(target) ?? (0 as WeightVersion);
    return okAsync({ version, highestFencing: -1, loading: false });
  }

  override swap(target: TargetId, given: WeightOrder): ResultAsync<WeightState, Failure> {
    return new ResultAsync(this.#swap(target, given));
  }

  async #swap(target: TargetId, given: WeightOrder): Promise<Result<WeightState, Failure>> {
    this.swaps += 1;
    this.swapping += 1;
    this.mostSwapping = Math.max(this.mostSwapping, this.swapping);
    await this.#clock.sleep(this.#swapMs(target));
    this.swapping -= 1;
    const left = this.failures.get(target) ?? 0;
    this.failures.set(target, left - 1);
    if (left > 0) return err(createFailure('swap_failed'));
    this.versions.set(target, given.version);
    if (this.half.delete(target)) return err(createFailure('outcome_unknown'));
    return ok({ version: given.version, highestFencing: given.fencing, loading: false });
  }
}

function createSwapper(
  policy: SwapPolicy,
  options: { count?: number; swapMs?: number; preparesPerSecond?: number } = {},
) {
  const clock = new ManualClock();
  const { count = 6, swapMs = 1000 } = options;
  const random = new RandomSource(5);
  const orders = new FakeOrders(clock, count, () => swapMs * (0.75 + random.fraction() / 2));
  const state = { wanted: 1 as WeightVersion, fencing: some(7 as FencingNumber) };
  const swapper = new WaveSwapper({
    trainer: T,
    orders,
    policy,
    wanted: () => some(state.wanted),
    fencing: () => state.fencing,
    clock,
    metrics: new Metrics({ prefix: 'test' }),
    options: {
      maxFailures: 3,
      preferSwapAnswerMs: 0,
      maxPrefetchesPerSecond: options.preparesPerSecond ?? 1000,
    },
  });
  const stop = new AbortController();
  void swapper.run(stop.signal);
  return { clock, orders, state, swapper, stop };
}

test.each([
  { name: 'all at once', policy: new AllAtOnce(), most: 6 },
  { name: 'in waves of a third', policy: new SlidingWaves(() => 0.34), most: 2 },
])('$name, $most of 6 targets swap together', async ({ policy, most }) => {
  const { clock, orders, stop, swapper } = createSwapper(policy);
  await driveUntil(clock, () => swapper.progress().serving === 6);
  expect(orders.mostSwapping).toBe(most);
  stop.abort();
});

test('a failed swap is retried, then its target leaves rotation and comes back', async () => {
  const { clock, orders, stop, swapper } = createSwapper(new SlidingWaves(() => 0.5));
  const bad = 't3' as TargetId;
  orders.failures.set(bad, 4);
  const isFresh = (version: WeightVersion): boolean => version < 1;
  await driveUntil(clock, () => swapper.progress().serving === 5 && swapper.progress().out === 1);
  expect([...swapper.excluded(isFresh)]).toEqual([bad]);
  await driveUntil(clock, () => swapper.progress().serving === 6);
  expect([...swapper.excluded(isFresh)]).toEqual([]);
  stop.abort();
});

test('a swap that took effect without an answer is not ordered again', async () => {
  const { clock, orders, stop, swapper } = createSwapper(new AllAtOnce());
  orders.half.add('t1' as TargetId);
  await driveUntil(clock, () => swapper.progress().serving === 6);
  expect(orders.swaps).toBe(6);
  stop.abort();
});

test('no order is sent without a lease', async () => {
  const { clock, orders, state, stop } = createSwapper(new AllAtOnce());
  state.fencing = none;
  orders.versions.set('new' as TargetId, 0 as WeightVersion);
  const before = orders.swaps;
  await driveUntil(clock, () => clock.mono() > 3000);
  expect(orders.swaps).toBe(before);
  stop.abort();
});

test('a target that slips back to an older version is ordered again', async () => {
  const { clock, orders, stop, swapper } = createSwapper(new AllAtOnce());
  await driveUntil(clock, () => swapper.progress().serving === 6);
  orders.versions.set('t0' as TargetId, 0 as WeightVersion);
  await driveUntil(clock, () => swapper.progress().serving === 6);
  expect(orders.swaps).toBe(7);
  stop.abort();
});

test('2,100 targets serve a version within 17 s, a third at a time', async () => {
  const options = { count: 2100, swapMs: 3000, preparesPerSecond: 400 };
  const { clock, orders, stop, swapper } = createSwapper(new SlidingWaves(() => 0.34), options);
  for (let index = 0; index < 21; index += 1) {
    orders.failures.set(`t${index * 100}` as TargetId, 1);
  }
  while (swapper.progress().serving < 2100) {
    clock.advance(50);
    await settle();
  }
  expect(clock.mono()).toBeLessThan(17_000);
  expect(orders.mostSwapping).toBe(714);
  stop.abort();
});
