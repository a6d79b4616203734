/** Model engines on virtual time, shared by several trainers. */
import {
  type AttemptId,
  type Failure,
  type IncarnationId,
  type ManualClock,
  type RandomSource,
  type TargetId,
  type TrainerId,
  type WeightVersion,
  createFailure,
  createId,
} from '@hibiscushill/base';
import { ResultAsync, err, ok, okAsync, type Result } from 'neverthrow';

import {
  SampleRunner,
  WeightOrders,
  type PayloadRef,
  type RunOptions,
  type SampleAnswer,
  type SampleSpec,
  type SwapTarget,
  type TokenRun,
  type WeightOrder,
  type WeightState,
} from '../src';

const TOKEN_MS = 20;
const CHUNK_TOKENS = 5;
const SLOTS = 16;
const MEAN_TOKENS = 120;
const STRAGGLER_SHARE = 0.02;
const STRAGGLER_PACE = 6;
const SWAP_MS = 2000;
const FAILED_SWAP_SHARE = 0.05;

interface Engine {
  readonly id: TargetId;
  readonly versions: Map<TrainerId, WeightVersion>;
  readonly loading: Set<TrainerId>;
  running: number;
}

/** Engines that stand still for a trainer while they load its weights. */
export class Engines {
  readonly clock: ManualClock;

  readonly random: RandomSource;

  readonly list: readonly Engine[];

  /**
   * @param clock - the virtual time
   * @param random - draws lengths, stragglers and failed swaps
   * @param count - how many engines
   */
  constructor(clock: ManualClock, random: RandomSource, count: number) {
    this.clock = clock;
    this.random = random;
    this.list = Array.from({ length: count }, (_, index) => ({
      id: `engine-${index}` as TargetId,
      versions: new Map(),
      loading: new Set<TrainerId>(),
      running: 0,
    }));
  }

  /** Finds an engine. */
  find(id: TargetId): Engine | undefined {
    return this.list.find((engine) => engine.id === id);
  }
}

/** Runs samples on the engine with the least work. */
export class EngineRunner extends SampleRunner {
  readonly #engines: Engines;

  readonly #store = new Map<AttemptId, TokenRun>();

  /** @param engines - the shared engines */
  constructor(engines: Engines) {
    super();
    this.#engines = engines;
  }

  override run(spec: SampleSpec, options: RunOptions): ResultAsync<SampleAnswer, Failure> {
    return new ResultAsync(this.#run(spec, options));
  }

  override fetch(payload: PayloadRef): ResultAsync<TokenRun, Failure> {
    const run = this.#store.get(payload.attempt);
    return new ResultAsync(
      Promise.resolve(run ? ok(run) : err(createFailure('incarnation_stale'))),
    );
  }

  override release(payload: PayloadRef): void {
    this.#store.delete(payload.attempt);
  }

  async #run(spec: SampleSpec, options: RunOptions): Promise<Result<SampleAnswer, Failure>> {
    const [engine] = this.#engines.list
      .filter(({ id, running }) => running < SLOTS && !options.exclude.has(id))
      .sort((a, b) => a.running - b.running);
    if (!engine) return err(createFailure('no_target', { retryAfterMs: 100 }));
    options.onTarget(engine.id);
    engine.running += 1;
    const result = await this.#generate(spec, options, engine);
    engine.running -= 1;
    return result;
  }

  async #generate(
    spec: SampleSpec,
    { progress, signal }: RunOptions,
    engine: Engine,
  ): Promise<Result<SampleAnswer, Failure>> {
    const { clock, random } = this.#engines;
    const from = spec.resume?.tokens.length ?? 0;
    const drawn = Math.ceil(random.exponential(MEAN_TOKENS));
    const count = Math.max(from + 1, Math.min(spec.maxTokens, drawn));
    const pace = random.fraction() < STRAGGLER_SHARE ? STRAGGLER_PACE : 1;
    for (let i = from; i < count; i += 1) {
      if (i % CHUNK_TOKENS === 0) await clock.sleep(TOKEN_MS * CHUNK_TOKENS * pace, signal);
      while (engine.loading.has(spec.trainer) && !signal.aborted) await clock.sleep(100, signal);
      if (signal.aborted) return err(createFailure('cancelled', { run: 'may-have-run' }));
      progress.push(toLine({ i, t: 'token', v: engine.versions.get(spec.trainer) ?? 0 }));
    }
    progress.push(toLine({ done: true, tokens: count }));
    const attempt = createId<AttemptId>();
    const incarnation = engine.id as string as IncarnationId;
    return progress.finish().map((run) => {
      this.#store.set(attempt, run);
      const payload = { target: engine.id, incarnation, attempt, whole: from === 0 };
      return { ...run, payload };
    });
  }
}

/** Orders that load weights onto the engines, some of which fail. */
export class EngineOrders extends WeightOrders {
  readonly #engines: Engines;

  /** @param engines - the shared engines */
  constructor(engines: Engines) {
    super();
    this.#engines = engines;
  }

  override targets(trainer: TrainerId): readonly SwapTarget[] {
    return this.#engines.list.map(({ id, versions }) => ({
      target: id,
      version: versions.get(trainer) ?? (0 as WeightVersion),
    }));
  }

  override query(target: TargetId, trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const version = this.#engines.find(target)?.versions.get(trainer) ?? (0 as WeightVersion);
    return okAsync({ version, highestFencing: -1, loading: false });
  }

  override swap(target: TargetId, order: WeightOrder): ResultAsync<WeightState, Failure> {
    return new ResultAsync(this.#swap(target, order));
  }

  async #swap(target: TargetId, order: WeightOrder): Promise<Result<WeightState, Failure>> {
    const { clock, random } = this.#engines;
    const engine = this.#engines.find(target);
    if (!engine) return err(createFailure('target_down'));
    engine.loading.add(order.trainer);
    await clock.sleep(SWAP_MS * (0.75 + random.fraction() / 2));
    engine.loading.delete(order.trainer);
    if (random.fraction() < FAILED_SWAP_SHARE) return err(createFailure('swap_failed'));
    engine.versions.set(order.trainer, order.version);
    return ok({ version: order.version, highestFencing: order.fencing, loading: false });
  }
}

function toLine(line: object): Uint8Array {
  return new TextEncoder().encode(`${JSON.stringify(line)}\n`);
}
