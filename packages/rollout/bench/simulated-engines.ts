/** A simulation of model engines in virtual time, shared by several trainers. */
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
  WeightOrderSender,
  type PayloadRef,
  type RunOptions,
  type GeneratedSample,
  type SampleSpec,
  type SwapTarget,
  type LabelledTokens,
  type WeightOrder,
  type WeightState,
} from '../src';

const MS_PER_TOKEN = 20;
const TOKENS_PER_CHUNK = 5;
const SLOTS_PER_ENGINE = 16;
const MEAN_SAMPLE_TOKENS = 120;
const STRAGGLER_SHARE = 0.02;
/** How many times longer a straggler takes per token. */
const STRAGGLER_SLOWDOWN_FACTOR = 6;
/** The mean duration of a swap. */
const SWAP_MS = 2000;
const FAILED_SWAP_SHARE = 0.05;

interface SimulatedEngine {
  readonly id: TargetId;
  readonly versions: Map<TrainerId, WeightVersion>;
  readonly loadingTrainers: Set<TrainerId>;
  runningCount: number;
}

/** Engines that generate no tokens for a trainer while they load its weights. */
export class SimulatedEngines {
  readonly clock: ManualClock;

  readonly random: RandomSource;

  readonly list: readonly SimulatedEngine[];

  /**
   * @param clock - the virtual time
   * @param random - determines lengths of samples, stragglers and failed swaps
   * @param count - the number of engines
   */
  constructor(clock: ManualClock, random: RandomSource, count: number) {
    this.clock = clock;
    this.random = random;
    this.list = Array.from({ length: count }, (_, index) => ({
      id: `engine-${index}` as TargetId,
      versions: new Map(),
      loadingTrainers: new Set<TrainerId>(),
      runningCount: 0,
    }));
  }

  /** Finds an engine. */
  find(id: TargetId): SimulatedEngine | undefined {
    return this.list.find((engine) => engine.id === id);
  }
}

/** Runs each sample on the engine with the fewest running samples. */
export class SimulatedSampleRunner extends SampleRunner {
  readonly #engines: SimulatedEngines;

  readonly #payloads = new Map<AttemptId, LabelledTokens>();

  /** @param engines - the shared engines */
  constructor(engines: SimulatedEngines) {
    super();
    this.#engines = engines;
  }

  override run(spec: SampleSpec, options: RunOptions): ResultAsync<GeneratedSample, Failure> {
    return new ResultAsync(this.#run(spec, options));
  }

  override fetch(payload: PayloadRef): ResultAsync<LabelledTokens, Failure> {
    const labelled = this.#payloads.get(payload.attempt);
    return new ResultAsync(
      Promise.resolve(labelled ? ok(labelled) : err(createFailure('incarnation_stale'))),
    );
  }

  override release(payload: PayloadRef): void {
    this.#payloads.delete(payload.attempt);
  }

  async #run(spec: SampleSpec, options: RunOptions): Promise<Result<GeneratedSample, Failure>> {
    const [engine] = this.#engines.list
      .filter(
        ({ id, runningCount }) =>
          runningCount < SLOTS_PER_ENGINE && !options.excludedTargets.has(id),
      )
      .sort((a, b) => a.runningCount - b.runningCount);
    if (!engine) return err(createFailure('no_target', { retryAfterMs: 100 }));
    options.onTargetChosen(engine.id);
    engine.runningCount += 1;
    const result = await this.#generate(spec, options, engine);
    engine.runningCount -= 1;
    return result;
  }

  async #generate(
    spec: SampleSpec,
    { collector: progress, signal }: RunOptions,
    engine: SimulatedEngine,
  ): Promise<Result<GeneratedSample, Failure>> {
    const { clock, random } = this.#engines;
    const from = spec.resume?.tokens.length ?? 0;
    const randomCount = Math.ceil(random.exponential(MEAN_SAMPLE_TOKENS));
    const count = Math.max(from + 1, Math.min(spec.maxTokens, randomCount));
    const slowdown = random.fraction() < STRAGGLER_SHARE ? STRAGGLER_SLOWDOWN_FACTOR : 1;
    for (let i = from; i < count; i += 1) {
      if (i % TOKENS_PER_CHUNK === 0)
        await clock.sleep(MS_PER_TOKEN * TOKENS_PER_CHUNK * slowdown, signal);
      while (engine.loadingTrainers.has(spec.trainer) && !signal.aborted)
        await clock.sleep(100, signal);
      if (signal.aborted) return err(createFailure('cancelled', { run: 'may-have-run' }));
      progress.push(encodeLine({ i, t: 'token', v: engine.versions.get(spec.trainer) ?? 0 }));
    }
    progress.push(encodeLine({ done: true, tokens: count }));
    const attempt = createId<AttemptId>();
    const incarnation = engine.id as string as IncarnationId;
    return progress.finish().map((labelled) => {
      this.#payloads.set(attempt, labelled);
      const payload = { target: engine.id, incarnation, attempt, whole: from === 0 };
      return { ...labelled, payload };
    });
  }
}

/** Loads ordered weights into the engines; some of the swaps fail. */
export class SimulatedWeightOrders extends WeightOrderSender {
  readonly #engines: SimulatedEngines;

  /** @param engines - the shared engines */
  constructor(engines: SimulatedEngines) {
    super();
    this.#engines = engines;
  }

  override listTargets(trainer: TrainerId): readonly SwapTarget[] {
    return this.#engines.list.map(({ id, versions }) => ({
      target: id,
      version: versions.get(trainer) ?? (0 as WeightVersion),
    }));
  }

  override queryState(target: TargetId, trainer: TrainerId): ResultAsync<WeightState, Failure> {
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
    engine.loadingTrainers.add(order.trainer);
    await clock.sleep(SWAP_MS * (0.75 + random.fraction() / 2));
    engine.loadingTrainers.delete(order.trainer);
    if (random.fraction() < FAILED_SWAP_SHARE) return err(createFailure('swap_failed'));
    engine.versions.set(order.trainer, order.version);
    return ok({ version: order.version, highestFencing: order.fencing, loading: false });
  }
}

function encodeLine(line: object): Uint8Array {
  return new TextEncoder().encode(`${JSON.stringify(line)}\n`);
}
