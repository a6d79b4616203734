/** Fakes and checks for the tests of this package. */
import {
  ManualClock,
  Metrics,
  RandomSource,
  createFailure,
  createId,
  type AttemptId,
  type Failure,
  type FencingNumber,
  type IncarnationId,
  type RecordId,
  type SampleId,
  type StepId,
  type TargetId,
  type TrainerId,
  type WeightVersion,
} from '@hibiscushill/base';
import { Trainer } from '@hibiscushill/config';
import {
  LogTail,
  MemoryLog,
  appendOnce,
  type AppendEvent,
  type LogRecord,
} from '@hibiscushill/log';
import { isSome, none, some, type Option } from 'fp-ts/Option';
import { ResultAsync, err, errAsync, ok, type Result } from 'neverthrow';

import {
  RECORD_KINDS,
  SampleRunner,
  TrainerCoordinator,
  type ClaimReader,
  type OwnerLimits,
  type PayloadRef,
  type RunOptions,
  type GeneratedSample,
  type SampleSpec,
  type StragglerPolicy,
  type LabelledTokens,
} from '../src';

export const TRAINER = Trainer.parse({
  name: 'rinds',
  team: 'growers',
  service: 'tasting-models',
  staleness: { versions: 1, ms: 60_000 },
});
export const STREAM = `trainer.${TRAINER.name}` as const;
export const STEP = 'step-1' as StepId;

/**
 * Advances a manual clock until a condition holds, running other tasks in between.
 *
 * @throws when the condition doesn't hold within `limitMs` of the clock's time
 */
export async function advanceUntil(
  clock: ManualClock,
  isMet: () => boolean,
  limitMs = 600_000,
): Promise<void> {
  const end = clock.mono() + limitMs;
  while (!isMet()) {
    if (clock.mono() > end) throw new Error(`not met after ${limitMs} ms`);
    clock.advance(5);
    await runReadyTasks();
  }
}

/** Advances a manual clock until a promise has resolved, and returns its value. */
export async function waitFor<T>(clock: ManualClock, promise: PromiseLike<T>): Promise<T> {
  const outcome: { value?: T; done: boolean } = { done: false };
  void promise.then((value) => {
    outcome.value = value;
    outcome.done = true;
  });
  await advanceUntil(clock, () => outcome.done);
  return outcome.value as T;
}

/** Runs all tasks that are ready. */
export async function runReadyTasks(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Reads claims from records of the kind `claim`, all of which are valid. */
export class FakeClaims implements ClaimReader {
  #current: Option<FencingNumber> = none;

  apply(record: LogRecord): void {
    if (record.kind === 'claim') this.#current = some(record.offset as number as FencingNumber);
  }

  current(): Option<FencingNumber> {
    return this.#current;
  }
}

interface FakeTarget {
  readonly id: TargetId;
  incarnation: number;
  version: WeightVersion;
  /** How long each token takes, in milliseconds. */
  tokenMs: number;
  runningCount: number;
  readonly payloads: Map<AttemptId, LabelledTokens>;
}

/** Engines in memory. Each token's text has the form `INDEX@VERSION`. */
export class FakeRunner extends SampleRunner {
  readonly targets: FakeTarget[];

  readonly startedSamples: SampleId[] = [];

  readonly cancelledSamples: SampleId[] = [];

  /** Whether cancelled attempts run to their end all the same. */
  ignoresCancellation = false;

  /** Whether reading payloads fails, as if the agents were unreachable. */
  isUnreachable = false;

  readonly #clock: ManualClock;

  /** By sample, the number of tokens after which its next response breaks off. */
  readonly breakAfterTokens = new Map<SampleId, number>();

  constructor(clock: ManualClock, count = 3, tokenMs = 10) {
    super();
    this.#clock = clock;
    this.targets = Array.from({ length: count }, (_, index) => ({
      id: `t${index}` as TargetId,
      incarnation: 0,
      version: 0 as WeightVersion,
      tokenMs,
      runningCount: 0,
      payloads: new Map<AttemptId, LabelledTokens>(),
    }));
  }

  setServedVersion(version: number): void {
    this.targets.forEach((target) => {
      // eslint-disable-next-line no-param-reassign
      target.version = version as WeightVersion;
    });
  }

  /** Restarts a target's process, which loses its running samples and its payloads. */
  crashTarget(index: number): void {
    const target = this.targets[index] as FakeTarget;
    target.incarnation += 1;
    target.payloads.clear();
  }

  override run(spec: SampleSpec, options: RunOptions): ResultAsync<GeneratedSample, Failure> {
    return new ResultAsync(this.#run(spec, options));
  }

  override fetch(payload: PayloadRef): ResultAsync<LabelledTokens, Failure> {
    if (this.isUnreachable) return errAsync(createFailure('target_down'));
    const labelled = this.#findTarget(payload.target)?.payloads.get(payload.attempt);
    return new ResultAsync(
      Promise.resolve(labelled ? ok(labelled) : err(createFailure('incarnation_stale'))),
    );
  }

  override release(payload: PayloadRef): void {
    this.#findTarget(payload.target)?.payloads.delete(payload.attempt);
  }

  #findTarget(id: TargetId): FakeTarget | undefined {
    return this.targets.find((target) => target.id === id);
  }

  async #run(spec: SampleSpec, options: RunOptions): Promise<Result<GeneratedSample, Failure>> {
    const [target] = this.targets
      .filter(({ id }) => !options.excludedTargets.has(id))
      .sort((a, b) => a.runningCount - b.runningCount);
    if (!target) return err(createFailure('no_target', { retryAfterMs: 100 }));
    options.onTargetChosen(target.id);
    this.startedSamples.push(spec.sample);
    target.runningCount += 1;
    const result = await this.#generate(spec, options, target);
    target.runningCount -= 1;
    return result;
  }

  async #generate(
    spec: SampleSpec,
    { collector: progress, signal }: RunOptions,
    target: FakeTarget,
  ): Promise<Result<GeneratedSample, Failure>> {
    const { incarnation } = target;
    const from = spec.resume?.tokens.length ?? 0;
    const maxTokensSent = this.breakAfterTokens.get(spec.sample) ?? Infinity;
    this.breakAfterTokens.delete(spec.sample);
    for (let i = from; i < spec.maxTokens; i += 1) {
      await this.#clock.sleep(target.tokenMs, this.ignoresCancellation ? undefined : signal);
      if (signal.aborted && !this.ignoresCancellation) {
        this.cancelledSamples.push(spec.sample);
        return err(createFailure('cancelled', { run: 'may-have-run' }));
      }
      if (target.incarnation !== incarnation || i >= maxTokensSent) {
        return err(createFailure('answer_broken', { run: 'may-have-run' }));
      }
      progress.push(encodeLine({ i, t: `${i}@${target.version}`, v: target.version }));
    }
    progress.push(encodeLine({ done: true, tokens: spec.maxTokens }));
    const labelled = progress.finish();
    if (labelled.isErr()) return err(labelled.error);
    const attempt = createId<AttemptId>();
    target.payloads.set(attempt, labelled.value);
    return ok({ ...labelled.value, payload: toPayload(target, attempt, from === 0) });
  }
}

function toPayload(target: FakeTarget, attempt: AttemptId, whole: boolean): PayloadRef {
  return {
    target: target.id,
    incarnation: `${target.id}/${target.incarnation}` as IncarnationId,
    attempt,
    whole,
  };
}

/** Encodes one line of an engine's response. */
export function encodeLine(line: object): Uint8Array {
  return new TextEncoder().encode(`${JSON.stringify(line)}\n`);
}

/** An entry that holds or has held the duty. */
export interface TestOwner {
  readonly coordinator: TrainerCoordinator;
  readonly tail: LogTail;
  /** Ends the process, so that it writes nothing more. */
  readonly kill: () => Promise<void>;
}

/** A trainer, its stream in memory, and the entries that own it one after the other. */
export class TrainerCluster {
  readonly clock = new ManualClock(1_000_000);

  readonly log: MemoryLog;

  readonly runner: FakeRunner;

  readonly metrics = new Metrics({ prefix: 'test' });

  trainer = TRAINER;

  /** How many appends have reached the stream. */
  appendCount = 0;

  /** How many appends of numbers records were delayed, so that their outcome is unknown. */
  delayedNumbersCount = 0;

  /** The kinds of the records that were appended after a delay. */
  readonly delayedKinds: string[] = [];

  constructor(options: { seed?: number; targets?: number } = {}) {
    const random = new RandomSource(options.seed ?? 1);
    const onAppend = (event: AppendEvent): void => this.#onAppend(event);
    this.log = new MemoryLog({ clock: this.clock, random, onAppend });
    this.runner = new FakeRunner(this.clock, options.targets ?? 3);
  }

  /** Starts an entry, which claims the duty and owns the trainer. */
  async startOwner(
    options: { limits?: Partial<OwnerLimits>; stragglers?: StragglerPolicy } = {},
  ): Promise<TestOwner> {
    const { clock, log, metrics, runner } = this;
    const tail = new LogTail({ log, stream: STREAM, clock });
    let isAlive = true;
    const coordinator = new TrainerCoordinator({
      getTrainer: () => this.trainer,
      claims: new FakeClaims(),
      append: (records) =>
        isAlive
          ? appendOnce(log, tail, STREAM, records, { clock, random: new RandomSource(7) })
          : new ResultAsync<never, Failure>(Promise.resolve(err(createFailure('platform_down')))),
      runner,
      clock,
      metrics,
      ...options,
    });
    tail.subscribe((record) => coordinator.apply(record));
    tail.onTrimmed(() => coordinator.onTrimmed());
    tail.start();
    const claim = { id: createId<RecordId>(), kind: 'claim', payload: {} };
    const offset = await waitFor(clock, log.append(STREAM, [claim]));
    const fencing = offset._unsafeUnwrap() as number as FencingNumber;
    coordinator.onLeaseGained({ fencing, covers: () => isAlive });
    await advanceUntil(clock, () => coordinator.isOwner);
    const kill = async (): Promise<void> => {
      isAlive = false;
      coordinator.onLeaseLost();
      void tail.stop();
      await runReadyTasks();
    };
    return { coordinator, tail, kill };
  }

  #onAppend({ kinds, outcome }: AppendEvent): void {
    const hasNumbers = kinds.includes(RECORD_KINDS.numbers);
    if (outcome === 'late' && hasNumbers) this.delayedNumbersCount += 1;
    if (outcome === 'landed') this.delayedKinds.push(...kinds);
    if (outcome === 'answered' || outcome === 'lost' || outcome === 'landed') this.appendCount += 1;
  }

  /** Publishes a version and loads it into all targets. */
  async publish(owner: TestOwner, version: number): Promise<void> {
    const published = owner.coordinator.publish(version as WeightVersion, 'store');
    (await waitFor(this.clock, published))._unsafeUnwrap();
    this.runner.setServedVersion(version);
  }
}

/** A sample as a trainer received it. */
export interface ReceivedSample {
  readonly number: number;
  readonly id: string;
  readonly digest: string;
  readonly labelled: LabelledTokens;
  /** How many versions newer than its oldest one had been published when it was received. */
  readonly versionsBehind: number;
}

/** Reads the pages of a step as a trainer does, and keeps what it receives. */
export class TestTrainer {
  readonly received: ReceivedSample[] = [];

  readonly voids: number[] = [];

  cursor = 0;

  isDone = false;

  /** Whether an owner knows the step. */
  knowsStep(owner: TestOwner): boolean {
    return isSome(owner.coordinator.state.findStep(STEP));
  }

  /** Requests the next page and keeps its samples; a failure changes nothing. */
  async requestPage(cluster: TrainerCluster, owner: TestOwner, waitMs = 1000): Promise<void> {
    const query = { step: STEP, after: this.cursor, waitMs };
    const page = await waitFor(cluster.clock, owner.coordinator.readSamples(query));
    if (page.isErr()) return;
    const published = owner.coordinator.state.versions;
    page.value.samples.forEach((sample) => {
      const labelled = { tokens: sample.tokens, segments: sample.segments };
      const oldest = Math.min(...sample.segments.map((segment) => segment.version));
      const versionsBehind = published.filter(({ version }) => version > oldest).length;
      const { digest, id, number } = sample;
      this.received.push({ number, id, digest, labelled, versionsBehind });
    });
    this.voids.push(...page.value.voids);
    this.cursor = page.value.next;
    this.isDone = page.value.done;
  }
}

/**
 * Checks that the numbers of received samples and void numbers have no gap or repetition, and that
 * each sample was received exactly once.
 */
export function findDeliveryErrors(
  received: readonly Pick<ReceivedSample, 'number' | 'id'>[],
  voids: readonly number[],
  samples: readonly string[],
): string[] {
  const errors: string[] = [];
  const numbers = [...received.map(({ number }) => number), ...voids].sort((a, b) => a - b);
  numbers.forEach((number, index) => {
    if (number !== index + 1) errors.push(`number ${number} in place ${index + 1}`);
  });
  const ids = received.map(({ id }) => id);
  ids.filter((id, index) => ids.indexOf(id) !== index).forEach((id) => errors.push(`${id} twice`));
  samples.filter((id) => !ids.includes(id)).forEach((id) => errors.push(`${id} missing`));
  return errors;
}

/** Checks segments against the index and version in each token's text. */
export function findSegmentErrors(outputs: readonly LabelledTokens[]): string[] {
  return outputs.flatMap(({ segments, tokens }) =>
    tokens.flatMap((token, index) => {
      const [at, version] = token.split('@').map(Number);
      const segment = segments.find(
        ({ fromToken, toToken }) => index >= fromToken && index < toToken,
      );
      return at === index && segment?.version === version ? [] : [`${index}: ${token}`];
    }),
  );
}

/** Finds samples that were more versions behind than allowed when they were received. */
export function findStalenessErrors(
  received: readonly ReceivedSample[],
  maxVersions: number,
): string[] {
  return received
    .filter(({ versionsBehind }) => versionsBehind > maxVersions)
    .map(({ id, versionsBehind }) => `${id} is ${versionsBehind} versions old`);
}

/** Creates the groups of a step, with ids from `g0` on. */
export function createGroups(groupCount: number, count: number, maxTokens = 20) {
  return Array.from({ length: groupCount }, (_, index) => ({
    id: `g${index}`,
    prompt: `prompt ${index}`,
    count,
    maxTokens,
  }));
}

/** Lists the ids of the samples of `createGroups`. */
export function listSampleIds(
  groupCount: number,
  count: number,
  trainer: TrainerId = TRAINER.name,
) {
  return Array.from({ length: groupCount }, (_, group) =>
    Array.from({ length: count }, (__, index) => `${trainer}/${STEP}/g${group}/${index}`),
  ).flat();
}
