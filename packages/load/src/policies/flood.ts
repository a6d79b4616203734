/**
 * Simulates a target that a large team floods with requests, and measures how much small teams
 * suffer with and without a fair queue and bounded admission.
 */
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
  UnboundedAdmission,
  type QueuePolicy,
} from '@hibiscushill/routing';

import { createSeededRandom } from '../arrivals';
import { type RequestStats, Recorder } from '../recorder';
import { EventLoop } from './event-loop';
import { type SimulatedJob, SimulatedTarget } from './simulated-target';

/** A team's bounds and the load that it offers. */
interface SimulatedTeam {
  readonly name: TeamId;
  readonly bounds: { requestsPerSecond: number; tokensPerSecond: number; inFlight: number };
  /** Requests per second. */
  readonly offeredPerSecond: number;
  /** The mean cost of a request, in tokens. */
  readonly meanTokens: number;
}

/** The queue and admission policies of one simulation. */
interface ProtectionPolicies {
  readonly createQueue: () => QueuePolicy<SimulatedJob>;
  readonly createAdmission: (loop: EventLoop) => AdmissionPolicy;
}

/** The teams' goodput and latency in one simulation. */
export interface FloodResult {
  readonly label: string;
  /** The lowest goodput of a small team, as a fraction of its goodput without the flood. */
  readonly worstGoodputRatio: number;
  /** The highest p99 latency of a small team, as a multiple of its p99 without the flood. */
  readonly worstP99Ratio: number;
  /** The large team's goodput as a fraction of its bound. */
  readonly largeGoodputRatio: number;
}

const DEFAULT_DURATION_MS = 60_000;
const DEADLINE_MS = 1000;
const SMALL_TEAM_COUNT = 7;
const MS_PER_SECOND = 1000;
const SLOTS = 8;
const MS_PER_TOKEN = 1;
const FLOOD_FACTOR = 10;
const QUEUE_BOUNDS = { maxItems: 1000, maxTokens: 200_000 };
const SERVICE = 'model' as ServiceId;
// The target serves 8000 tokens per second, and the bounds of all teams sum to 90% of that.
const LARGE_TOKENS_PER_SECOND = 4400;
const SMALL_TOKENS_PER_SECOND = 400;
const SMALL_MEAN_TOKENS = 40;
const LARGE_MEAN_TOKENS = 80;

const QUEUE_AND_ADMISSION: ProtectionPolicies = {
  createQueue: () => new FairQueue<SimulatedJob>(QUEUE_BOUNDS),
  createAdmission: ({ clock }) =>
    new BoundedAdmission({
      clock,
      random: new RandomSource(1),
      shares: { share: () => 1, recordDemand: () => undefined },
    }),
};

const QUEUE_ONLY: ProtectionPolicies = {
  ...QUEUE_AND_ADMISSION,
  createAdmission: () => new UnboundedAdmission(),
};

const ADMISSION_ONLY: ProtectionPolicies = {
  ...QUEUE_AND_ADMISSION,
  createQueue: () => new FifoQueue<SimulatedJob>(QUEUE_BOUNDS),
};

const UNPROTECTED: ProtectionPolicies = {
  createQueue: ADMISSION_ONLY.createQueue,
  createAdmission: QUEUE_ONLY.createAdmission,
};

/**
 * Simulates the flood under each combination of queue and admission policy.
 *
 * @param seed - the seed of the request arrivals
 * @param durationMs - how long requests arrive, in simulated milliseconds
 * @returns one result per combination, compared with a simulation of the small teams alone
 */
export function compareFlood(seed: number, durationMs = DEFAULT_DURATION_MS): FloodResult[] {
  const large: SimulatedTeam = createTeam(
    'large',
    LARGE_TOKENS_PER_SECOND,
    LARGE_MEAN_TOKENS,
    FLOOD_FACTOR,
  );
  const small = Array.from({ length: SMALL_TEAM_COUNT }, (_, index) =>
    createTeam(`small-${index}`, SMALL_TOKENS_PER_SECOND, SMALL_MEAN_TOKENS, 0.6),
  );
  const alone = simulateFlood(seed, durationMs, small, QUEUE_AND_ADMISSION);
  const combinations: [string, ProtectionPolicies][] = [
    ['FairQueue + BoundedAdmission', QUEUE_AND_ADMISSION],
    ['FairQueue + UnboundedAdmission', QUEUE_ONLY],
    ['FifoQueue + BoundedAdmission', ADMISSION_ONLY],
    ['FifoQueue + UnboundedAdmission', UNPROTECTED],
  ];
  return combinations.map(([label, protection]) => {
    const statsByTeam = simulateFlood(seed, durationMs, [...small, large], protection);
    const ratios = small.map(({ name }) => computeRatios(statsByTeam.get(name), alone.get(name)));
    const goodput = statsByTeam.get(large.name)?.goodput ?? 0;
    return {
      label,
      worstGoodputRatio: Math.min(...ratios.map((ratio) => ratio.goodput)),
      worstP99Ratio: Math.max(...ratios.map((ratio) => ratio.p99)),
      largeGoodputRatio: goodput / large.bounds.requestsPerSecond,
    };
  });
}

/** Creates a team that offers its bound times a ratio. */
function createTeam(
  name: string,
  tokensPerSecond: number,
  meanTokens: number,
  offeredRatio: number,
): SimulatedTeam {
  const requestsPerSecond = tokensPerSecond / meanTokens;
  return {
    name: name as TeamId,
    bounds: { requestsPerSecond, tokensPerSecond, inFlight: 1000 },
    offeredPerSecond: requestsPerSecond * offeredRatio,
    meanTokens,
  };
}

function computeRatios(stats: RequestStats | undefined, baseline: RequestStats | undefined) {
  return {
    goodput: (stats?.goodput ?? 0) / (baseline?.goodput ?? 1),
    p99: (stats?.latency.p99 ?? 0) / (baseline?.latency.p99 ?? 1),
  };
}

function simulateFlood(
  seed: number,
  durationMs: Millis,
  teams: readonly SimulatedTeam[],
  protection: ProtectionPolicies,
): Map<TeamId, RequestStats> {
  const simulation = new FloodSimulation(durationMs, protection);
  teams.forEach((team, index) => simulation.addTeam(team, createSeededRandom(seed + index)));
  return simulation.run();
}

/** One simulation of several teams, one admission policy and one target. */
class FloodSimulation {
  readonly #durationMs: Millis;

  readonly #loop = new EventLoop();

  readonly #admission: AdmissionPolicy;

  readonly #target: SimulatedTarget;

  readonly #recorders = new Map<TeamId, Recorder>();

  constructor(durationMs: Millis, protection: ProtectionPolicies) {
    this.#durationMs = durationMs;
    this.#admission = protection.createAdmission(this.#loop);
    this.#target = new SimulatedTarget({
      id: 'target' as TargetId,
      zone: 'ba' as ZoneId,
      loop: this.#loop,
      queue: protection.createQueue(),
      slots: SLOTS,
      msPerToken: MS_PER_TOKEN,
    });
  }

  addTeam(team: SimulatedTeam, random: RandomSource): void {
    this.#recorders.set(team.name, new Recorder());
    this.#scheduleNext(team, random, 0);
  }

  /** Runs to the end, and returns the request statistics by team. */
  run(): Map<TeamId, RequestStats> {
    this.#loop.runUntil(this.#durationMs + DEADLINE_MS);
    return new Map(
      [...this.#recorders].map(([name, recorder]) => [name, recorder.summarize(this.#durationMs)]),
    );
  }

  #scheduleNext(team: SimulatedTeam, random: RandomSource, count: number): void {
    const dueMs = this.#loop.nowMs + random.exponential(MS_PER_SECOND / team.offeredPerSecond);
    if (dueMs >= this.#durationMs) return;
    this.#loop.schedule(dueMs, () => {
      this.#submit(team, `${team.name}/${count}`, random.int(1, 2 * team.meanTokens - 1));
      this.#scheduleNext(team, random, count + 1);
    });
  }

  #submit(team: SimulatedTeam, id: string, costTokens: number): void {
    const startMs = this.#loop.nowMs;
    this.#recorders.get(team.name)?.recordOffered();
    const req = {
      team,
      service: SERVICE,
      costTokens,
      remainingMs: DEADLINE_MS,
      estimatedWaitMs: 0,
    };
    const admitted = this.#admission.admit(req);
    if (admitted.isErr()) {
      this.#recordFinished(team, false, startMs);
      return;
    }
    this.#target.submit({
      id,
      team: team.name,
      weight: 1,
      costTokens,
      deadlineMs: startMs + DEADLINE_MS,
      onEnd: (isAnswered) => {
        admitted.value.release();
        this.#recordFinished(team, isAnswered, startMs);
      },
    });
  }

  #recordFinished(team: SimulatedTeam, isAnswered: boolean, startMs: Millis): void {
    this.#recorders.get(team.name)?.recordFinished({
      team: team.name,
      verdict: isAnswered ? 'answered' : 'refused.queue_full',
      latencyMs: this.#loop.nowMs - startMs,
      deadlineMs: DEADLINE_MS,
    });
  }
}
