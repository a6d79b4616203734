/** Idle time, step time, staleness and wasted tokens, with and without hedging and waves. */
import {
  ManualClock,
  Metrics,
  RandomSource,
  createId,
  type FencingNumber,
  type RecordId,
  type StepId,
  type WeightVersion,
} from '@hibiscushill/base';
import { Trainer } from '@hibiscushill/config';
import { LogTail, MemoryLog, type LogRecord } from '@hibiscushill/log';
import { isSome, none, some, type Option } from 'fp-ts/Option';

import {
  AllAtOnce,
  NoHedging,
  SlidingWaves,
  TailHedging,
  TrainerDesk,
  WaveSwapper,
  type ClaimReader,
  type SamplePage,
} from '../src';
import { EngineOrders, EngineRunner, Engines } from './simulated-engines';

const SEEDS = [1, 2];
const TRAINERS = 3;
const ENGINES = 12;
const STEPS = 17;
const GROUPS = 8;
const GROUP_SIZE = 8;
const MAX_TOKENS = 600;
const TRAIN_MS = 4000;
const TICK_MS = 20;

interface Variant {
  readonly name: string;
  readonly hedging: boolean;
  readonly waves: boolean;
}

interface Figures {
  idleMs: number;
  totalMs: number;
  readonly stepMs: number[];
  readonly staleness: number[];
  tokens: number;
}

class BenchClaims implements ClaimReader {
  #current: Option<FencingNumber> = none;

  apply(record: LogRecord): void {
    if (record.kind === 'claim') this.#current = some(record.offset as number as FencingNumber);
  }

  current(): Option<FencingNumber> {
    return this.#current;
  }
}

/** One trainer with its desk: makes steps, trains on them, publishes. */
class BenchTrainer {
  readonly #clock: ManualClock;

  readonly #log: MemoryLog;

  readonly #declared: Trainer;

  readonly #desk: TrainerDesk;

  readonly #swapper: WaveSwapper;

  readonly #figures: Figures;

  constructor(index: number, variant: Variant, engines: Engines, metrics: Metrics, to: Figures) {
    this.#clock = engines.clock;
    this.#log = new MemoryLog({ clock: engines.clock, random: new RandomSource(index) });
    this.#log.setFaults({ slowMs: 5 });
    this.#figures = to;
    this.#declared = Trainer.parse({
      name: `trainer-${index}`,
      team: 'growers',
      service: 'tasting-models',
      staleness: { versions: 1, ms: 60_000 },
    });
    const stream = `trainer.${this.#declared.name}` as const;
    this.#desk = new TrainerDesk({
      trainer: () => this.#declared,
      claims: new BenchClaims(),
      append: (records) => this.#log.append(stream, records),
      runner: new EngineRunner(engines),
      clock: engines.clock,
      metrics,
      stragglers: variant.hedging ? new TailHedging() : new NoHedging(),
      excluded: () => this.#swapper.excluded((version) => this.#desk.isTooOld(version)),
    });
    this.#swapper = new WaveSwapper({
      trainer: this.#declared.name,
      orders: new EngineOrders(engines),
      policy: variant.waves ? new SlidingWaves(() => 0.34) : new AllAtOnce(),
      wanted: () => {
        const { newest } = this.#desk;
        return isSome(newest) ? some(newest.value.version) : none;
      },
      fencing: () => some(0 as FencingNumber),
      clock: engines.clock,
      metrics,
      options: { preferSwapAnswerMs: 0 },
    });
    const tail = new LogTail({ log: this.#log, stream, clock: engines.clock });
    tail.subscribe((record) => this.#desk.apply(record));
    tail.start();
  }

  async run(): Promise<void> {
    const { name } = this.#declared;
    const claim = { id: createId<RecordId>(), kind: 'claim', payload: {} };
    const fencing = (await this.#log.append(`trainer.${name}`, [claim])).unwrapOr(0 as never);
    this.#desk.gained({ fencing: fencing as number as FencingNumber, covers: () => true });
    while (!this.#desk.isOwner) await this.#clock.sleep(TICK_MS);
    const stop = new AbortController();
    void this.#swapper.run(stop.signal);
    const startedAt = this.#clock.mono();
    for (let step = 1; step <= STEPS; step += 1) {
      const askedAt = this.#clock.mono();
      await this.#read(`step-${step}` as StepId);
      this.#figures.stepMs.push(this.#clock.mono() - askedAt);
      this.#figures.idleMs += this.#clock.mono() - askedAt;
      await this.#clock.sleep(TRAIN_MS);
      await this.#desk.publish(step as WeightVersion, 'store');
    }
    this.#figures.totalMs += this.#clock.mono() - startedAt;
    stop.abort();
  }

  async #read(step: StepId): Promise<void> {
    const groups = Array.from({ length: GROUPS }, (_, index) => ({
      id: `group-${index}`,
      prompt: `Describe rind ${index}.`,
      count: GROUP_SIZE,
      maxTokens: MAX_TOKENS,
    }));
    const created = await this.#desk.createStep(step, groups);
    if (created.isErr()) throw new Error(created.error.code);
    let after = 0;
    for (;;) {
      const answer = await this.#desk.readSamples({ step, after, waitMs: 5000 });
      if (answer.isErr()) throw new Error(answer.error.code);
      this.#note(answer.value);
      after = answer.value.next;
      if (answer.value.done) return;
    }
  }

  #note(page: SamplePage): void {
    const { versions } = this.#desk.state;
    page.samples.forEach(({ segments, tokens }) => {
      const oldest = Math.min(...segments.map(({ version }) => version));
      this.#figures.staleness.push(versions.filter(({ version }) => version > oldest).length);
      this.#figures.tokens += tokens.length;
    });
  }
}

async function runOnce(variant: Variant, seed: number, to: Figures): Promise<number> {
  const clock = new ManualClock();
  const engines = new Engines(clock, new RandomSource(seed), ENGINES);
  const metrics = new Metrics({ prefix: 'bench' });
  const done = new Set<number>();
  const trainers = Array.from(
    { length: TRAINERS },
    (_, index) => new BenchTrainer(index, variant, engines, metrics, to),
  );
  trainers.forEach((trainer, index) => {
    void trainer.run().then(() => done.add(index));
  });
  while (done.size < TRAINERS) {
    clock.advance(TICK_MS);
    for (let turn = 0; turn < 3; turn += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
  return Object.entries(metrics.counts())
    .filter(([name]) => name.startsWith('rollout.wasted.'))
    .reduce((sum, [, count]) => sum + count, 0);
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

const VARIANTS: readonly Variant[] = [
  { name: 'baseline', hedging: false, waves: false },
  { name: 'hedging only', hedging: true, waves: false },
  { name: 'waves only', hedging: false, waves: true },
  { name: 'hedging and waves', hedging: true, waves: true },
];

process.stdout.write('| policy | idle | step p50 | step p99 | stale p50 | max | wasted |\n');
process.stdout.write('| --- | --: | --: | --: | --: | --: | --: |\n');
for (const variant of VARIANTS) {
  const to: Figures = {
    idleMs: 0,
    totalMs: 0,
    stepMs: [],
    staleness: [],
    tokens: 0,
  };
  let wasted = 0;
  for (const seed of SEEDS) wasted += await runOnce(variant, seed, to);
  const cells = [
    variant.name,
    `${((100 * to.idleMs) / to.totalMs).toFixed(1)}%`,
    `${(quantile(to.stepMs, 0.5) / 1000).toFixed(1)} s`,
    `${(quantile(to.stepMs, 0.99) / 1000).toFixed(1)} s`,
    `${quantile(to.staleness, 0.5)}`,
    `${Math.max(...to.staleness)}`,
    `${((100 * wasted) / to.tokens).toFixed(2)}%`,
  ];
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}
process.exit(0);
