/** Doubles and checkers for the tests of this package. */
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
  TrainerDesk,
  type ClaimReader,
  type OwnerLimits,
  type PayloadRef,
  type RunOptions,
  type SampleAnswer,
  type SampleSpec,
  type StragglerPolicy,
  type TokenRun,
} from '../src';

export const TRAINER = Trainer.parse({
  name: 'rinds',
  team: 'growers',
  service: 'tasting-models',
  staleness: { versions: 1, ms: 60_000 },
});
export const STREAM = `trainer.${TRAINER.name}` as const;
export const STEP = 'step-1' as StepId;

/** Moves a manual clock until a condition holds, letting other tasks run in between. */
export async function driveUntil(
  clock: ManualClock,
  isMet: () => boolean,
  limitMs = 600_000,
): Promise<void> {
  const end = clock.mono() + limitMs;
  while (!isMet()) {
    if (clock.mono() > end) throw new Error(`not met after ${limitMs} ms`);
    clock.advance(5);
    await settle();
  }
}

/** Moves a manual clock until a promise has resolved. */
export async function drive<T>(clock: ManualClock, promise: PromiseLike<T>): Promise<T> {
  const outcome: { value?: T; done: boolean } = { done: false };
  void promise.then((value) => {
    outcome.value = value;
    outcome.done = true;
  });
  await driveUntil(clock, () => outcome.done);
  return outcome.value as T;
}

/** Lets every task run that is ready. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Claims of kind `claim`, each valid when it names the claim before. */
export class TestClaims implements ClaimReader {
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
  running: number;
  readonly store: Map<AttemptId, TokenRun>;
}

/** Engines in memory. Each token's text names the version that produced it. */
export class FakeRunner extends SampleRunner {
  readonly targets: FakeTarget[];

  readonly ran: SampleId[] = [];

  readonly cancelled: SampleId[] = [];

  /** A cancelled try ends as if it had not been cancelled. */
  ignoresCancel = false;

  /** Payloads can't be read for now. */
  isCutOff = false;

  readonly #clock: ManualClock;

  /** Breaks the next answer of a sample after so many tokens. */
  readonly breakAfter = new Map<SampleId, number>();

  constructor(clock: ManualClock, count = 3, tokenMs = 10) {
    super();
    this.#clock = clock;
    this.targets = Array.from({ length: count }, (_, index) => ({
      id: `t${index}` as TargetId,
      incarnation: 0,
      version: 0 as WeightVersion,
      tokenMs,
      running: 0,
      store: new Map<AttemptId, TokenRun>(),
    }));
  }

  setVersion(version: number): void {
    this.targets.forEach((target) => {
      // eslint-disable-next-line no-param-reassign
      target.version = version as WeightVersion;
    });
  }

  /** Ends a target's process and starts a new one that has forgotten everything. */
  crash(index: number): void {
    const target = this.targets[index] as FakeTarget;
    target.incarnation += 1;
    target.store.clear();
  }

  override run(spec: SampleSpec, options: RunOptions): ResultAsync<SampleAnswer, Failure> {
    return new ResultAsync(this.#run(spec, options));
  }

  override fetch(payload: PayloadRef): ResultAsync<TokenRun, Failure> {
    if (this.isCutOff) return errAsync(createFailure('target_down'));
    const run = this.#find(payload.target)?.store.get(payload.attempt);
    return new ResultAsync(
      Promise.resolve(run ? ok(run) : err(createFailure('incarnation_stale'))),
    );
  }

  override release(payload: PayloadRef): void {
    this.#find(payload.target)?.store.delete(payload.attempt);
  }

  #find(id: TargetId): FakeTarget | undefined {
    return this.targets.find((target) => target.id === id);
  }

  async #run(spec: SampleSpec, options: RunOptions): Promise<Result<SampleAnswer, Failure>> {
    const [target] = this.targets
      .filter(({ id }) => !options.exclude.has(id))
      .sort((a, b) => a.running - b.running);
    if (!target) return err(createFailure('no_target', { retryAfterMs: 100 }));
    options.onTarget(target.id);
    this.ran.push(spec.sample);
    target.running += 1;
    const result = await this.#generate(spec, options, target);
    target.running -= 1;
    return result;
  }

  async #generate(
    spec: SampleSpec,
    { progress, signal }: RunOptions,
    target: FakeTarget,
  ): Promise<Result<SampleAnswer, Failure>> {
    const { incarnation } = target;
    const from = spec.resume?.tokens.length ?? 0;
    const limit = this.breakAfter.get(spec.sample) ?? Infinity;
    this.breakAfter.delete(spec.sample);
    for (let i = from; i < spec.maxTokens; i += 1) {
      await this.#clock.sleep(target.tokenMs, this.ignoresCancel ? undefined : signal);
      if (signal.aborted && !this.ignoresCancel) {
        this.cancelled.push(spec.sample);
        return err(createFailure('cancelled', { run: 'may-have-run' }));
      }
      if (target.incarnation !== incarnation || i >= limit) {
        return err(createFailure('answer_broken', { run: 'may-have-run' }));
      }
      progress.push(encode({ i, t: `${i}@${target.version}`, v: target.version }));
    }
    progress.push(encode({ done: true, tokens: spec.maxTokens }));
    const run = progress.finish();
    if (run.isErr()) return err(run.error);
    const attempt = createId<AttemptId>();
    target.store.set(attempt, run.value);
    return ok({ ...run.value, payload: toPayload(target, attempt, from === 0) });
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

/** One line of an engine's answer. */
export function encode(line: object): Uint8Array {
  return new TextEncoder().encode(`${JSON.stringify(line)}\n`);
}

/** An entry that holds or held the duty. */
export interface TestOwner {
  readonly desk: TrainerDesk;
  readonly tail: LogTail;
  /** Ends the process: nothing of it goes on. */
  readonly kill: () => Promise<void>;
}

/** One trainer, its stream and its owners. */
export class Stage {
  readonly clock = new ManualClock(1_000_000);

  readonly log: MemoryLog;

  readonly runner: FakeRunner;

  readonly metrics = new Metrics({ prefix: 'test' });

  trainer = TRAINER;

  /** How many records of step owners have landed. */
  counted = 0;

  /** How many numbering records are on their way without an answer. */
  lateNumbers = 0;

  /** The kinds of the records that landed without an answer. */
  readonly landed: string[] = [];

  constructor(options: { seed?: number; targets?: number } = {}) {
    const random = new RandomSource(options.seed ?? 1);
    const onAppend = (event: AppendEvent): void => this.#note(event);
    this.log = new MemoryLog({ clock: this.clock, random, onAppend });
    this.runner = new FakeRunner(this.clock, options.targets ?? 3);
  }

  /** Starts an entry, which claims the duty and serves. */
  async startOwner(
    options: { limits?: Partial<OwnerLimits>; stragglers?: StragglerPolicy } = {},
  ): Promise<TestOwner> {
    const { clock, log, metrics, runner } = this;
    const tail = new LogTail({ log, stream: STREAM, clock });
    let isAlive = true;
    const desk = new TrainerDesk({
      trainer: () => this.trainer,
      claims: new TestClaims(),
      append: (records) =>
        isAlive
          ? appendOnce(log, tail, STREAM, records, { clock, random: new RandomSource(7) })
          : new ResultAsync<never, Failure>(Promise.resolve(err(createFailure('platform_down')))),
      runner,
      clock,
      metrics,
      ...options,
    });
    tail.subscribe((record) => desk.apply(record));
    tail.onTrimmed(() => desk.trimmed());
    tail.start();
    const claim = { id: createId<RecordId>(), kind: 'claim', payload: {} };
    const offset = await drive(clock, log.append(STREAM, [claim]));
    const fencing = offset._unsafeUnwrap() as number as FencingNumber;
    desk.gained({ fencing, covers: () => isAlive });
    await driveUntil(clock, () => desk.isOwner);
    const kill = async (): Promise<void> => {
      isAlive = false;
      desk.lost();
      void tail.stop();
      await settle();
    };
    return { desk, tail, kill };
  }

  #note({ kinds, outcome }: AppendEvent): void {
    const isNumbering = kinds.includes(RECORD_KINDS.numbers);
    if (outcome === 'late' && isNumbering) this.lateNumbers += 1;
    if (outcome === 'landed') this.landed.push(...kinds);
    if (outcome === 'answered' || outcome === 'lost' || outcome === 'landed') this.counted += 1;
  }

  /** Publishes a version and puts it onto every target. */
  async publish(owner: TestOwner, version: number): Promise<void> {
    const published = owner.desk.publish(version as WeightVersion, 'store');
    (await drive(this.clock, published))._unsafeUnwrap();
    this.runner.setVersion(version);
  }
}

/** A sample as a trainer took it, and when. */
export interface Taken {
  readonly number: number;
  readonly id: string;
  readonly digest: string;
  readonly run: TokenRun;
  /** How many versions had been published after its oldest one when it was taken. */
  readonly staleness: number;
}

/** Reads a step to its end as a trainer does, and keeps what it took. */
export class TestTrainer {
  readonly taken: Taken[] = [];

  readonly voids: number[] = [];

  cursor = 0;

  isDone = false;

  /** Whether the owner knows the step. */
  ready(owner: TestOwner): boolean {
    return isSome(owner.desk.state.findStep(STEP));
  }

  /** Asks once and takes what comes. */
  async ask(stage: Stage, owner: TestOwner, waitMs = 1000): Promise<void> {
    const query = { step: STEP, after: this.cursor, waitMs };
    const page = await drive(stage.clock, owner.desk.readSamples(query));
    if (page.isErr()) return;
    const published = owner.desk.state.versions;
    page.value.samples.forEach((sample) => {
      const run = { tokens: sample.tokens, segments: sample.segments };
      const oldest = Math.min(...sample.segments.map((segment) => segment.version));
      const staleness = published.filter(({ version }) => version > oldest).length;
      const { digest, id, number } = sample;
      this.taken.push({ number, id, digest, run, staleness });
    });
    this.voids.push(...page.value.voids);
    this.cursor = page.value.next;
    this.isDone = page.value.done;
  }
}

/** Checks delivery by cursor: no number or sample twice, none missing up to the cursor. */
export function findCursorFaults(
  taken: readonly Pick<Taken, 'number' | 'id'>[],
  voids: readonly number[],
  samples: readonly string[],
): string[] {
  const faults: string[] = [];
  const numbers = [...taken.map(({ number }) => number), ...voids].sort((a, b) => a - b);
  numbers.forEach((number, index) => {
    if (number !== index + 1) faults.push(`number ${number} in place ${index + 1}`);
  });
  const ids = taken.map(({ id }) => id);
  ids.filter((id, index) => ids.indexOf(id) !== index).forEach((id) => faults.push(`${id} twice`));
  samples.filter((id) => !ids.includes(id)).forEach((id) => faults.push(`${id} missing`));
  return faults;
}

/** Checks labels against what each token's text says. */
export function findLabelFaults(runs: readonly TokenRun[]): string[] {
  return runs.flatMap(({ segments, tokens }) =>
    tokens.flatMap((token, index) => {
      const [at, version] = token.split('@').map(Number);
      const segment = segments.find(
        ({ fromToken, toToken }) => index >= fromToken && index < toToken,
      );
      return at === index && segment?.version === version ? [] : [`${index}: ${token}`];
    }),
  );
}

/** Checks the age of samples when they were taken. */
export function findStaleFaults(taken: readonly Taken[], versions: number): string[] {
  return taken
    .filter(({ staleness }) => staleness > versions)
    .map(({ id, staleness }) => `${id} is ${staleness} versions old`);
}

/** Groups of a step for tests. */
export function makeGroups(groups: number, count: number, maxTokens = 20) {
  return Array.from({ length: groups }, (_, index) => ({
    id: `g${index}`,
    prompt: `prompt ${index}`,
    count,
    maxTokens,
  }));
}

/** The ids of the samples of `makeGroups`. */
export function listIds(groups: number, count: number, trainer: TrainerId = TRAINER.name) {
  return Array.from({ length: groups }, (_, group) =>
    Array.from({ length: count }, (__, index) => `${trainer}/${STEP}/g${group}/${index}`),
  ).flat();
}
