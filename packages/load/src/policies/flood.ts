/** A large team floods a target: the worst-served small team, with and without protection. */
import {
  type Millis,
  RandomSource,
  type ServiceId,
  type TargetId,
  type TeamId,
  type ZoneId,
} from '@hibiscushill/base';
import {
  type AdmissionPolicy,
  BoundedAdmission,
  FairQueue,
  FifoQueue,
  OpenAdmission,
  type QueuePolicy,
} from '@hibiscushill/routing';

import { createSeededSource } from '../arrivals';
import { type Figures, Recorder } from '../recorder';
import { EventLoop } from './event-loop';
import { type ModelJob, ModelTarget } from './model-target';

/** A simulated team. */
interface ModelTeam {
  readonly name: TeamId;
  readonly bounds: { requestsPerSecond: number; tokensPerSecond: number; inFlight: number };
  readonly offeredPerSecond: number;
  readonly meanTokens: number;
}

/** The policies of one simulated run. */
interface Protection {
  readonly createQueue: () => QueuePolicy<ModelJob>;
  readonly createAdmission: (loop: EventLoop) => AdmissionPolicy;
}

/** The small teams' figures in one run. */
export interface FloodResult {
  readonly label: string;
  /** The least goodput of a small team, as a part of its goodput without the flood. */
  readonly worstGoodput: number;
  /** The greatest p99 of a small team, as a multiple of its p99 without the flood. */
  readonly worstP99: number;
  /** The large team's goodput as a part of its bound. */
  readonly largeGoodput: number;
}

const DEFAULT_DURATION_MS = 60_000;
const DEADLINE_MS = 1000;
const SMALL_TEAMS = 7;
const MS_PER_SECOND = 1000;
const SLOTS = 8;
const MS_PER_TOKEN = 1;
const FLOOD_FACTOR = 10;
const QUEUE_BOUNDS = { maxItems: 1000, maxTokens: 200_000 };
const SERVICE = 'model' as ServiceId;
// The target serves 8000 tokens a second; the bounds sum to nine tenths of it.
const LARGE_TOKENS_PER_SECOND = 4400;
const SMALL_TOKENS_PER_SECOND = 400;
const MEAN_TOKENS = 40;
const LARGE_MEAN_TOKENS = 80;

const PROTECTED: Protection = {
  createQueue: () => new FairQueue<ModelJob>(QUEUE_BOUNDS),
  createAdmission: ({ clock }) =>
    new BoundedAdmission({
      clock,
      random: new RandomSource(1),
      shares: { share: () => 1, recordDemand: () => undefined },
    }),
};

const QUEUE_ONLY: Protection = { ...PROTECTED, createAdmission: () => new OpenAdmission() };

const ADMISSION_ONLY: Protection = {
  ...PROTECTED,
  createQueue: () => new FifoQueue<ModelJob>(QUEUE_BOUNDS),
};

const OPEN: Protection = {
  createQueue: ADMISSION_ONLY.createQueue,
  createAdmission: QUEUE_ONLY.createAdmission,
};

/**
 * Simulates the flood under each protection.
 *
 * @param seed - the seed of the arrivals
 * @param durationMs - how long requests arrive, in milliseconds
 * @returns one result a protection
 */
export function compareFlood(seed: number, durationMs = DEFAULT_DURATION_MS): FloodResult[] {
  const large: ModelTeam = createTeam(
    'large',
    LARGE_TOKENS_PER_SECOND,
    LARGE_MEAN_TOKENS,
    FLOOD_FACTOR,
  );
  const small = Array.from({ length: SMALL_TEAMS }, (_, index) =>
    createTeam(`small-${index}`, SMALL_TOKENS_PER_SECOND, MEAN_TOKENS, 0.6),
  );
  const alone = simulate(seed, durationMs, small, PROTECTED);
  const runs: [string, Protection][] = [
    ['FairQueue + BoundedAdmission', PROTECTED],
    ['FairQueue + OpenAdmission', QUEUE_ONLY],
    ['FifoQueue + BoundedAdmission', ADMISSION_ONLY],
    ['FifoQueue + OpenAdmission', OPEN],
  ];
  return runs.map(([label, protection]) => {
    const figures = simulate(seed, durationMs, [...small, large], protection);
    const ratios = small.map(({ name }) => compareFigures(figures.get(name), alone.get(name)));
    const goodput = figures.get(large.name)?.goodput ?? 0;
    return {
      label,
      worstGoodput: Math.min(...ratios.map((ratio) => ratio.goodput)),
      worstP99: Math.max(...ratios.map((ratio) => ratio.p99)),
      largeGoodput: goodput / large.bounds.requestsPerSecond,
    };
  });
}

function createTeam(
  name: string,
  tokensPerSecond: number,
  meanTokens: number,
  load: number,
): ModelTeam {
  const requestsPerSecond = tokensPerSecond / meanTokens;
  return {
    name: name as TeamId,
    bounds: { requestsPerSecond, tokensPerSecond, inFlight: 1000 },
    offeredPerSecond: requestsPerSecond * load,
    meanTokens,
  };
}

function compareFigures(one: Figures | undefined, other: Figures | undefined) {
  return {
    goodput: (one?.goodput ?? 0) / (other?.goodput ?? 1),
    p99: (one?.latency.p99 ?? 0) / (other?.latency.p99 ?? 1),
  };
}

function simulate(
  seed: number,
  durationMs: Millis,
  teams: readonly ModelTeam[],
  protection: Protection,
): Map<TeamId, Figures> {
  const run = new FloodRun(durationMs, protection);
  teams.forEach((team, index) => run.addTeam(team, createSeededSource(seed + index)));
  return run.finish();
}

/** One simulated run: teams, one admission and one target. */
class FloodRun {
  readonly #durationMs: Millis;

  readonly #loop = new EventLoop();

  readonly #admission: AdmissionPolicy;

  readonly #target: ModelTarget;

  readonly #recorders = new Map<TeamId, Recorder>();

  constructor(durationMs: Millis, protection: Protection) {
    this.#durationMs = durationMs;
    this.#admission = protection.createAdmission(this.#loop);
    this.#target = new ModelTarget({
      id: 'target' as TargetId,
      zone: 'ba' as ZoneId,
      loop: this.#loop,
      queue: protection.createQueue(),
      slots: SLOTS,
      msPerToken: MS_PER_TOKEN,
    });
  }

  addTeam(team: ModelTeam, random: RandomSource): void {
    this.#recorders.set(team.name, new Recorder());
    this.#planNext(team, random, 0);
  }

  finish(): Map<TeamId, Figures> {
    this.#loop.run(this.#durationMs + DEADLINE_MS);
    return new Map(
      [...this.#recorders].map(([name, recorder]) => [name, recorder.summarize(this.#durationMs)]),
    );
  }

  #planNext(team: ModelTeam, random: RandomSource, count: number): void {
    const dueMs = this.#loop.now + random.exponential(MS_PER_SECOND / team.offeredPerSecond);
    if (dueMs >= this.#durationMs) return;
    this.#loop.at(dueMs, () => {
      this.#offer(team, `${team.name}/${count}`, random.int(1, 2 * team.meanTokens - 1));
      this.#planNext(team, random, count + 1);
    });
  }

  #offer(team: ModelTeam, id: string, costTokens: number): void {
    const startMs = this.#loop.now;
    this.#recorders.get(team.name)?.offer();
    const req = {
      team,
      service: SERVICE,
      costTokens,
      remainingMs: DEADLINE_MS,
      estimatedWaitMs: 0,
    };
    const admitted = this.#admission.admit(req);
    if (admitted.isErr()) {
      this.#record(team, false, startMs);
      return;
    }
    this.#target.take({
      id,
      team: team.name,
      weight: 1,
      costTokens,
      deadlineMs: startMs + DEADLINE_MS,
      onEnd: (answered) => {
        admitted.value.release();
        this.#record(team, answered, startMs);
      },
    });
  }

  #record(team: ModelTeam, answered: boolean, startMs: Millis): void {
    this.#recorders.get(team.name)?.record({
      team: team.name,
      verdict: answered ? 'answered' : 'refused.queue_full',
      latencyMs: this.#loop.now - startMs,
      deadlineMs: DEADLINE_MS,
    });
  }
}
