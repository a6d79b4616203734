/** One run of trainers against faults, with every sample checker over what they got. */
import { RandomSource } from '@hibiscushill/base';

import { Cluster, pause } from './cluster';
import { EXAMPLE_STALENESS_VERSIONS, EXAMPLE_TRAINERS, createExamplePlan } from './example';
import { FaultInjector, type FaultKind, planFaults } from './faults';
import type { FaultRecord } from './history';
import type { Violation } from './request-checkers';
import { readBackends } from './backends';
import { type Delivery, type EngineRun, type ExpectedStep, checkSamples } from './sample-checkers';
import { TrainerClient } from './trainer-client';

const GROUPS = 4;
const GROUP_SAMPLES = 4;
const SAMPLE_TOKENS = 40;
const PUBLISH_MS = 2000;
const SETTLE_MS = 500;
const ENGINE = { tokenMs: 8, failSwaps: 0.05, unansweredSwaps: 0.05, stragglers: 0.03 };

/** How a run is made. */
export interface StepProofOptions {
  readonly seed: number;
  readonly steps?: number;
  readonly faults?: number;
  readonly spanMs?: number;
  readonly kinds?: readonly FaultKind[];
}

/** What came of a run. */
export interface StepProofResult {
  readonly violations: readonly Violation[];
  readonly faults: readonly FaultRecord[];
  readonly summary: StepSummary;
}

/** A run in numbers. */
export interface StepSummary {
  readonly steps: number;
  readonly samples: number;
  readonly publications: number;
  readonly mixed: number;
  readonly staleMost: number;
  readonly stepMsMost: number;
}

/** One trainer's run. */
class TrainerRun {
  readonly deliveries: Delivery[] = [];

  readonly steps: ExpectedStep[] = [];

  readonly stepMs: number[] = [];

  published = 0;

  readonly #client: TrainerClient;

  readonly #trainer: string;

  constructor(cluster: Cluster, named: { trainer: string; team: string }) {
    this.#client = new TrainerClient(cluster, named);
    this.#trainer = named.trainer;
  }

  async publish(until: AbortSignal): Promise<void> {
    while (!until.aborted) {
      await this.#client.publish(this.published + 1);
      this.published += 1;
      await pause(PUBLISH_MS);
    }
  }

  async runSteps(count: number): Promise<void> {
    for (let index = 1; index <= count; index += 1) {
      const startedAt = performance.now();
      await this.#runStep(`step-${index}`);
      this.stepMs.push(performance.now() - startedAt);
    }
  }

  async #runStep(step: string): Promise<void> {
    const groups = Array.from({ length: GROUPS }, (_, group) => ({
      id: `g${group}`,
      prompt: `${this.#trainer} ${step} ${group}`,
      count: GROUP_SAMPLES,
      maxTokens: SAMPLE_TOKENS,
    }));
    const samples = GROUPS * GROUP_SAMPLES;
    this.steps.push({ trainer: this.#trainer, step, samples });
    await this.#client.createStep(step, groups);
    for (let after = 0, got = 0; got < samples;) {
      const newestBefore = this.published;
      const page = await this.#client.page(step, after);
      page.samples.forEach((sample) =>
        this.deliveries.push({ trainer: this.#trainer, step, sample, newestBefore }),
      );
      got += page.samples.length;
      after = page.next ?? after;
      if (page.done && got < samples) return;
      // The cursor's passing the last sample ends the step.
      if (got >= samples) await this.#client.page(step, after, 0);
    }
  }
}

/**
 * Runs trainers and faults at once and checks what the trainers got.
 *
 * @param options - seed, steps and faults
 * @returns what was broken, and the run in numbers
 */
export async function proveSteps(options: StepProofOptions): Promise<StepProofResult> {
  const { seed, steps = 6, faults = 4, spanMs = 10_000 } = options;
  const cluster = await Cluster.start(
    createExamplePlan({ seed, engines: 4, plains: 1, engineSettings: ENGINE }),
  );
  const seen: FaultRecord[] = [];
  try {
    const schedule = planFaults(new RandomSource(seed), {
      count: faults,
      spanMs,
      ...(options.kinds && { kinds: options.kinds }),
    });
    const injector = new FaultInjector(cluster, (fault) => seen.push(fault));
    const runs = EXAMPLE_TRAINERS.map((named) => new TrainerRun(cluster, named));
    await Promise.all([runTrainers(runs, steps), injector.run(schedule)]);
    await pause(SETTLE_MS);
    const events = await readBackends(cluster);
    const engineRuns = events.filter((event) => event.op === 'generate') as unknown as EngineRun[];
    return { faults: seen, ...judge(runs, engineRuns) };
  } finally {
    await cluster.stop();
  }
}

async function runTrainers(runs: readonly TrainerRun[], steps: number): Promise<void> {
  const done = new AbortController();
  const publishing = Promise.all(runs.map((run) => run.publish(done.signal)));
  await Promise.all(runs.map((run) => run.runSteps(steps)));
  done.abort();
  await publishing;
}

function judge(runs: readonly TrainerRun[], engineRuns: readonly EngineRun[]) {
  const deliveries = runs.flatMap((run) => run.deliveries);
  const steps = runs.flatMap((run) => run.steps);
  const violations = checkSamples({
    deliveries,
    engineRuns,
    steps,
    versionBound: EXAMPLE_STALENESS_VERSIONS,
  });
  const summary: StepSummary = {
    steps: steps.length,
    samples: deliveries.length,
    publications: runs.reduce((sum, run) => sum + run.published, 0),
    mixed: deliveries.filter(({ sample }) => sample.segments.length > 1).length,
    staleMost: Math.max(...deliveries.map(measureAge)),
    stepMsMost: Math.round(Math.max(...runs.flatMap((run) => run.stepMs))),
  };
  return { violations, summary };
}

function measureAge({ sample, newestBefore }: Delivery): number {
  return newestBefore - Math.min(...sample.segments.map((part) => part.version));
}
