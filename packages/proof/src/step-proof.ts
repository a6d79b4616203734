/** A run of trainers while faults are injected, and the check of the samples they received. */
import { RandomSource } from '@hibiscushill/base';

import { Cluster, sleep } from './cluster';
import { EXAMPLE_MAX_VERSIONS_BEHIND, EXAMPLE_TRAINERS, createExamplePlan } from './example';
import { FaultInjector, type FaultKind, planFaults } from './faults';
import type { FaultRecord } from './history';
import type { Violation } from './request-checkers';
import { readTargetEvents } from './fake-histories';
import { type Delivery, type EngineRun, type ExpectedStep, checkSamples } from './sample-checkers';
import { TrainerClient } from './trainer-client';

const GROUPS_PER_STEP = 4;
const SAMPLES_PER_GROUP = 4;
const SAMPLE_MAX_TOKENS = 40;
const PUBLISH_INTERVAL_MS = 2000;
const SETTLE_MS = 500;
const ENGINE_SETTINGS = { tokenMs: 8, failSwaps: 0.05, unansweredSwaps: 0.05, stragglers: 0.03 };

/** What a run consists of. */
export interface StepProofOptions {
  readonly seed: number;
  /** The steps of each trainer. */
  readonly stepCount?: number;
  readonly faultCount?: number;
  /** The time within which faults begin, in milliseconds. */
  readonly spanMs?: number;
  /** The kinds of faults; all when left out. */
  readonly faultKinds?: readonly FaultKind[];
}

/** The outcome of a run. */
export interface StepProofResult {
  readonly violations: readonly Violation[];
  readonly faults: readonly FaultRecord[];
  readonly summary: StepSummary;
}

/** Counts and maxima of a run. */
export interface StepSummary {
  readonly steps: number;
  readonly samples: number;
  readonly publications: number;
  /** How many samples have tokens of more than one weight version. */
  readonly mixed: number;
  /** How many versions the oldest token was behind at most. */
  readonly staleMost: number;
  /** The longest duration of a step, in milliseconds. */
  readonly stepMsMost: number;
}

/** A trainer that publishes weight versions, runs steps and keeps what it received. */
class TrainerRun {
  readonly deliveries: Delivery[] = [];

  readonly steps: ExpectedStep[] = [];

  readonly stepDurationsMs: number[] = [];

  /** The newest version whose publication was confirmed; 0 before the first. */
  publishedVersion = 0;

  readonly #client: TrainerClient;

  readonly #trainerName: string;

  constructor(cluster: Cluster, options: { trainer: string; team: string }) {
    this.#client = new TrainerClient(cluster, options);
    this.#trainerName = options.trainer;
  }

  /** Publishes a new version at every interval until the signal aborts. */
  async publishUntil(stopSignal: AbortSignal): Promise<void> {
    while (!stopSignal.aborted) {
      await this.#client.publish(this.publishedVersion + 1);
      this.publishedVersion += 1;
      await sleep(PUBLISH_INTERVAL_MS);
    }
  }

  /** Runs steps one after another. */
  async runSteps(count: number): Promise<void> {
    for (let index = 1; index <= count; index += 1) {
      const startedAt = performance.now();
      await this.#runStep(`step-${index}`);
      this.stepDurationsMs.push(performance.now() - startedAt);
    }
  }

  async #runStep(step: string): Promise<void> {
    const groups = Array.from({ length: GROUPS_PER_STEP }, (_, group) => ({
      id: `g${group}`,
      prompt: `${this.#trainerName} ${step} ${group}`,
      count: SAMPLES_PER_GROUP,
      maxTokens: SAMPLE_MAX_TOKENS,
    }));
    const samples = GROUPS_PER_STEP * SAMPLES_PER_GROUP;
    this.steps.push({ trainer: this.#trainerName, step, samples });
    await this.#client.createStep(step, groups);
    for (let after = 0, received = 0; received < samples;) {
      const newestVersionAtRequest = this.publishedVersion;
      const page = await this.#client.readPage(step, after);
      page.samples.forEach((sample) =>
        this.deliveries.push({ trainer: this.#trainerName, step, sample, newestVersionAtRequest }),
      );
      received += page.samples.length;
      after = page.next ?? after;
      if (page.done && received < samples) return;
      // Reading after the last sample confirms that it was received, which ends the step.
      if (received >= samples) await this.#client.readPage(step, after, 0);
    }
  }
}

/**
 * Runs trainers while faults are injected, then checks the samples that they received.
 *
 * @param options - seed, steps and faults
 * @returns the violations, the faults and the counts
 */
export async function proveSteps(options: StepProofOptions): Promise<StepProofResult> {
  const { seed, stepCount = 6, faultCount = 4, spanMs = 10_000 } = options;
  const cluster = await Cluster.start(
    createExamplePlan({ seed, engines: 4, plainTargets: 1, engineSettings: ENGINE_SETTINGS }),
  );
  const faults: FaultRecord[] = [];
  try {
    const schedule = planFaults(new RandomSource(seed), {
      count: faultCount,
      spanMs,
      ...(options.faultKinds && { kinds: options.faultKinds }),
    });
    const injector = new FaultInjector(cluster, (fault) => faults.push(fault));
    const runs = EXAMPLE_TRAINERS.map((trainer) => new TrainerRun(cluster, trainer));
    await Promise.all([runTrainers(runs, stepCount), injector.run(schedule)]);
    await sleep(SETTLE_MS);
    const events = await readTargetEvents(cluster);
    const engineRuns = events.filter((event) => event.op === 'generate') as unknown as EngineRun[];
    return { faults, ...evaluateRuns(runs, engineRuns) };
  } finally {
    await cluster.stop();
  }
}

async function runTrainers(runs: readonly TrainerRun[], stepCount: number): Promise<void> {
  const stopController = new AbortController();
  const publishing = Promise.all(runs.map((run) => run.publishUntil(stopController.signal)));
  await Promise.all(runs.map((run) => run.runSteps(stepCount)));
  stopController.abort();
  await publishing;
}

function evaluateRuns(runs: readonly TrainerRun[], engineRuns: readonly EngineRun[]) {
  const deliveries = runs.flatMap((run) => run.deliveries);
  const steps = runs.flatMap((run) => run.steps);
  const violations = checkSamples({
    deliveries,
    engineRuns,
    steps,
    maxVersionsBehind: EXAMPLE_MAX_VERSIONS_BEHIND,
  });
  const summary: StepSummary = {
    steps: steps.length,
    samples: deliveries.length,
    publications: runs.reduce((sum, run) => sum + run.publishedVersion, 0),
    mixed: deliveries.filter(({ sample }) => sample.segments.length > 1).length,
    staleMost: Math.max(...deliveries.map(countVersionsBehind)),
    stepMsMost: Math.round(Math.max(...runs.flatMap((run) => run.stepDurationsMs))),
  };
  return { violations, summary };
}

/** How many versions a sample's oldest token is behind the version that was newest then. */
function countVersionsBehind({ sample, newestVersionAtRequest }: Delivery): number {
  return newestVersionAtRequest - Math.min(...sample.segments.map((segment) => segment.version));
}
