/**
 * Simulates trainers with and without hedging and rolling updates, and prints their idle time, the
 * duration of steps, the staleness of samples and the percentage of wasted tokens.
 */
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
  RollingUpdate,
  TailHedging,
  TrainerCoordinator,
  WeightSwapper,
  type ClaimReader,
  type SamplePage,
} from '../src';
import {
  SimulatedWeightOrders,
  SimulatedSampleRunner,
  SimulatedEngines,
} from './simulated-engines';

const SEEDS = [1, 2];
const TRAINER_COUNT = 3;
const ENGINE_COUNT = 12;
const STEPS_PER_TRAINER = 17;
const GROUPS_PER_STEP = 8;
const SAMPLES_PER_GROUP = 8;
const MAX_TOKENS = 600;
const TRAINING_MS = 4000;
const CLOCK_STEP_MS = 20;

interface Scenario {
  readonly name: string;
  readonly hasHedging: boolean;
  /** Whether a third of the targets swap at a time, instead of all at once. */
  readonly hasRollingUpdate: boolean;
}

/** The measurements of all trainers in all simulations of a scenario. */
interface Measurements {
  /** The time that trainers waited for samples. */
  idleMs: number;
  totalMs: number;
  /** The duration of each step, from its creation to its last page. */
  readonly stepMs: number[];
  /** For each sample, how many versions newer than its oldest one had been published. */
  readonly versionsBehind: number[];
  deliveredTokens: number;
}

/** Reads claims from records of the kind `claim`, all of which are valid. */
class SimulatedClaims implements ClaimReader {
  #current: Option<FencingNumber> = none;

  apply(record: LogRecord): void {
    if (record.kind === 'claim') this.#current = some(record.offset as number as FencingNumber);
  }

  current(): Option<FencingNumber> {
    return this.#current;
  }
}

/** A trainer that repeatedly reads a step, trains on it and publishes a weight version. */
class SimulatedTrainer {
  readonly #clock: ManualClock;

  readonly #log: MemoryLog;

  readonly #declaration: Trainer;

  readonly #coordinator: TrainerCoordinator;

  readonly #swapper: WeightSwapper;

  readonly #measurements: Measurements;

  constructor(
    index: number,
    scenario: Scenario,
    engines: SimulatedEngines,
    metrics: Metrics,
    measurements: Measurements,
  ) {
    this.#clock = engines.clock;
    this.#log = new MemoryLog({ clock: engines.clock, random: new RandomSource(index) });
    this.#log.setFaults({ slowMs: 5 });
    this.#measurements = measurements;
    this.#declaration = Trainer.parse({
      name: `trainer-${index}`,
      team: 'growers',
      service: 'tasting-models',
      staleness: { versions: 1, ms: 60_000 },
    });
    const stream = `trainer.${this.#declaration.name}` as const;
    this.#coordinator = new TrainerCoordinator({
      getTrainer: () => this.#declaration,
      claims: new SimulatedClaims(),
      append: (records) => this.#log.append(stream, records),
      runner: new SimulatedSampleRunner(engines),
      clock: engines.clock,
      metrics,
      stragglers: scenario.hasHedging ? new TailHedging() : new NoHedging(),
      excludedTargets: () =>
        this.#swapper.listExcludedTargets((version) => this.#coordinator.isVersionTooOld(version)),
    });
    this.#swapper = new WeightSwapper({
      trainer: this.#declaration.name,
      sender: new SimulatedWeightOrders(engines),
      policy: scenario.hasRollingUpdate ? new RollingUpdate(() => 0.34) : new AllAtOnce(),
      getNewestVersion: () => {
        const { newestVersion } = this.#coordinator;
        return isSome(newestVersion) ? some(newestVersion.value.version) : none;
      },
      getFencing: () => some(0 as FencingNumber),
      clock: engines.clock,
      metrics,
      options: { preferSwapResponseMs: 0 },
    });
    const tail = new LogTail({ log: this.#log, stream, clock: engines.clock });
    tail.subscribe((record) => this.#coordinator.apply(record));
    tail.start();
  }

  /** Claims the duty and runs all steps. */
  async run(): Promise<void> {
    const { name } = this.#declaration;
    const claim = { id: createId<RecordId>(), kind: 'claim', payload: {} };
    const fencing = (await this.#log.append(`trainer.${name}`, [claim])).unwrapOr(0 as never);
    this.#coordinator.onLeaseGained({
      fencing: fencing as number as FencingNumber,
      covers: () => true,
    });
    while (!this.#coordinator.isOwner) await this.#clock.sleep(CLOCK_STEP_MS);
    const controller = new AbortController();
    void this.#swapper.run(controller.signal);
    const startedAt = this.#clock.mono();
    for (let step = 1; step <= STEPS_PER_TRAINER; step += 1) {
      const stepStartedAt = this.#clock.mono();
      await this.#runStep(`step-${step}` as StepId);
      this.#measurements.stepMs.push(this.#clock.mono() - stepStartedAt);
      this.#measurements.idleMs += this.#clock.mono() - stepStartedAt;
      await this.#clock.sleep(TRAINING_MS);
      await this.#coordinator.publish(step as WeightVersion, 'store');
    }
    this.#measurements.totalMs += this.#clock.mono() - startedAt;
    controller.abort();
  }

  /** Creates a step and reads its samples. */
  async #runStep(step: StepId): Promise<void> {
    const groups = Array.from({ length: GROUPS_PER_STEP }, (_, index) => ({
      id: `group-${index}`,
      prompt: `Describe rind ${index}.`,
      count: SAMPLES_PER_GROUP,
      maxTokens: MAX_TOKENS,
    }));
    const created = await this.#coordinator.createStep(step, groups);
    if (created.isErr()) throw new Error(created.error.code);
    let after = 0;
    for (;;) {
      const page = await this.#coordinator.readSamples({ step, after, waitMs: 5000 });
      if (page.isErr()) throw new Error(page.error.code);
      this.#measurePage(page.value);
      after = page.value.next;
      if (page.value.done) return;
    }
  }

  #measurePage(page: SamplePage): void {
    const { versions } = this.#coordinator.state;
    page.samples.forEach(({ segments, tokens }) => {
      const oldest = Math.min(...segments.map(({ version }) => version));
      this.#measurements.versionsBehind.push(
        versions.filter(({ version }) => version > oldest).length,
      );
      this.#measurements.deliveredTokens += tokens.length;
    });
  }
}

/**
 * Runs a scenario once and adds its measurements.
 *
 * @returns the number of wasted tokens
 */
async function runSimulation(
  scenario: Scenario,
  seed: number,
  measurements: Measurements,
): Promise<number> {
  const clock = new ManualClock();
  const engines = new SimulatedEngines(clock, new RandomSource(seed), ENGINE_COUNT);
  const metrics = new Metrics({ prefix: 'bench' });
  const finishedTrainers = new Set<number>();
  const trainers = Array.from(
    { length: TRAINER_COUNT },
    (_, index) => new SimulatedTrainer(index, scenario, engines, metrics, measurements),
  );
  trainers.forEach((trainer, index) => {
    void trainer.run().then(() => finishedTrainers.add(index));
  });
  while (finishedTrainers.size < TRAINER_COUNT) {
    clock.advance(CLOCK_STEP_MS);
    for (let round = 0; round < 3; round += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
  return Object.entries(metrics.counts())
    .filter(([name]) => name.startsWith('rollout.wasted.'))
    .reduce((sum, [, count]) => sum + count, 0);
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'baseline', hasHedging: false, hasRollingUpdate: false },
  { name: 'hedging only', hasHedging: true, hasRollingUpdate: false },
  { name: 'rolling updates only', hasHedging: false, hasRollingUpdate: true },
  { name: 'hedging and rolling updates', hasHedging: true, hasRollingUpdate: true },
];

process.stdout.write('| policy | idle | step p50 | step p99 | stale p50 | max | wasted |\n');
process.stdout.write('| --- | --: | --: | --: | --: | --: | --: |\n');
for (const scenario of SCENARIOS) {
  const measurements: Measurements = {
    idleMs: 0,
    totalMs: 0,
    stepMs: [],
    versionsBehind: [],
    deliveredTokens: 0,
  };
  let wasted = 0;
  for (const seed of SEEDS) wasted += await runSimulation(scenario, seed, measurements);
  const cells = [
    scenario.name,
    `${((100 * measurements.idleMs) / measurements.totalMs).toFixed(1)}%`,
    `${(quantile(measurements.stepMs, 0.5) / 1000).toFixed(1)} s`,
    `${(quantile(measurements.stepMs, 0.99) / 1000).toFixed(1)} s`,
    `${quantile(measurements.versionsBehind, 0.5)}`,
    `${Math.max(...measurements.versionsBehind)}`,
    `${((100 * wasted) / measurements.deliveredTokens).toFixed(2)}%`,
  ];
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}
process.exit(0);
