/** Simulates policies for the choice of a target when load reports arrive with a delay. */
import type {
  InstanceId,
  Millis,
  RandomSource,
  ServiceId,
  TargetId,
  ZoneId,
} from '@hibiscushill/base';
import {
  AffinityTargetPolicy,
  FairQueue,
  RandomTargetPolicy,
  type ReportedLoad,
  type TargetPolicy,
  type TargetView,
} from '@hibiscushill/routing';
import { toNullable } from 'fp-ts/Option';

import { createSeededRandom } from '../arrivals';
import { Recorder } from '../recorder';
import { EventLoop } from './event-loop';
import { type SimulatedJob, SimulatedTarget } from './simulated-target';

/** The results of one policy at one load. */
export interface TargetChoiceResult {
  readonly label: string;
  /** Offered work as a fraction of what the targets can do without a cache. */
  readonly load: number;
  readonly p50Ms: Millis;
  readonly p99Ms: Millis;
  /** Requests answered after the deadline. */
  readonly lateCount: number;
  /** The fraction of requests whose prefix was cached at the target. */
  readonly cacheHitFraction: number;
  /** The fraction of requests sent to a target in another availability zone than the entry's. */
  readonly crossZoneFraction: number;
}

/** An entry's view of a target's load: the last report and its own requests since. */
interface TrackedLoad {
  reported: ReportedLoad;
  /** The entry's own requests that have not ended. */
  inFlight: number;
  sentSinceReport: number;
  endedSinceReport: number;
}

const ZONES = ['ba', 'nadi', 'suva'] as ZoneId[];
const TARGETS_PER_ZONE = 2;
const SLOTS = 8;
const MEAN_TOKENS = 40;
const REPORT_INTERVAL_MS = 100;
const DURATION_MS = 20_000;
const DEADLINE_MS = 500;
const PREFIX_COUNT = 60;
const MAX_CACHED_PREFIXES = 12;
const CACHE_SAVED_FRACTION = 0.5;
const QUEUE_BOUNDS = { maxItems: 1000, maxTokens: 1_000_000 };

type CreatePolicy = (random: RandomSource) => TargetPolicy;

// Label, policy, and whether requests carry an affinity key.
const POLICIES: readonly [string, CreatePolicy, boolean][] = [
  ['random', (random) => new RandomTargetPolicy({ random }), false],
  ['zone and two choices', (random) => new AffinityTargetPolicy({ random }), false],
  ['with affinity', (random) => new AffinityTargetPolicy({ random }), true],
  [
    'affinity without load bound',
    (random) => new AffinityTargetPolicy({ random, loadFactor: Infinity }),
    true,
  ],
];

/**
 * Simulates each policy at several loads.
 *
 * @param seed - the seed of the request arrivals
 * @param loads - offered work as fractions of what the targets can do without a cache
 * @returns one result per policy and load
 */
export function compareTargetChoice(seed: number, loads: readonly number[]): TargetChoiceResult[] {
  return loads.flatMap((load) =>
    POLICIES.map(([label, createPolicy, useAffinity]) =>
      new FleetSimulation(seed, createPolicy, useAffinity).simulate(label, load),
    ),
  );
}

/** A simulated fleet with one entry and several targets in each availability zone. */
class FleetSimulation {
  readonly #loop = new EventLoop();

  readonly #random: RandomSource;

  readonly #policy: TargetPolicy;

  readonly #useAffinity: boolean;

  readonly #targets: SimulatedTarget[];

  readonly #loadsByEntry: Map<InstanceId, Map<TargetId, TrackedLoad>>;

  readonly #recorder = new Recorder();

  #crossZoneCount = 0;

  #requestCount = 0;

  constructor(seed: number, createPolicy: CreatePolicy, useAffinity: boolean) {
    this.#random = createSeededRandom(seed);
    this.#policy = createPolicy(createSeededRandom(seed + 1));
    this.#useAffinity = useAffinity;
    this.#targets = ZONES.flatMap((zone) =>
      Array.from({ length: TARGETS_PER_ZONE }, (_, index) => this.#createTarget(zone, index)),
    );
    this.#loadsByEntry = new Map(
      ZONES.map((zone) => [zone as string as InstanceId, this.#createTrackedLoads()]),
    );
  }

  /** Runs to the end and returns the results. To be called once. */
  simulate(label: string, load: number): TargetChoiceResult {
    const perSecond = (load * this.#targets.length * SLOTS * 1000) / MEAN_TOKENS;
    // Half of all requests arrive at the first entry.
    [0.5, 0.25, 0.25].forEach((fraction, index) =>
      this.#scheduleNext(ZONES[index] as ZoneId, perSecond * fraction),
    );
    this.#reportPeriodically();
    this.#loop.runUntil(DURATION_MS + 10 * DEADLINE_MS);
    const { latency, late } = this.#recorder.summarize(DURATION_MS);
    const cacheHitFraction =
      this.#targets.reduce((sum, target) => sum + target.cacheHits, 0) / this.#requestCount;
    const crossZoneFraction = this.#crossZoneCount / this.#requestCount;
    return {
      label,
      load,
      p50Ms: latency.p50,
      p99Ms: latency.p99,
      lateCount: late,
      cacheHitFraction,
      crossZoneFraction,
    };
  }

  #createTarget(zone: ZoneId, index: number): SimulatedTarget {
    return new SimulatedTarget({
      id: `${zone}-${index}` as TargetId,
      zone,
      loop: this.#loop,
      queue: new FairQueue<SimulatedJob>(QUEUE_BOUNDS),
      slots: SLOTS,
      msPerToken: 1,
      maxCachedPrefixes: MAX_CACHED_PREFIXES,
      cacheSavedFraction: CACHE_SAVED_FRACTION,
    });
  }

  #createTrackedLoads(): Map<TargetId, TrackedLoad> {
    return new Map(
      this.#targets.map(({ options, load }) => [
        options.id,
        { reported: load, inFlight: 0, sentSinceReport: 0, endedSinceReport: 0 },
      ]),
    );
  }

  /** Sends every entry the loads of all targets, now and at each later interval. */
  #reportPeriodically(): void {
    this.#loadsByEntry.forEach((loads) =>
      this.#targets.forEach(({ options, load }) =>
        this.#recordReport(loads.get(options.id) as TrackedLoad, load),
      ),
    );
    if (this.#loop.nowMs < DURATION_MS) {
      this.#loop.schedule(this.#loop.nowMs + REPORT_INTERVAL_MS, () => this.#reportPeriodically());
    }
  }

  #recordReport(trackedLoad: TrackedLoad, load: ReportedLoad): void {
    const tracked = trackedLoad;
    tracked.reported = load;
    tracked.sentSinceReport = 0;
    tracked.endedSinceReport = 0;
  }

  #scheduleNext(zone: ZoneId, perSecond: number): void {
    const dueMs = this.#loop.nowMs + this.#random.exponential(1000 / perSecond);
    if (dueMs >= DURATION_MS) return;
    this.#loop.schedule(dueMs, () => {
      this.#routeRequest(zone);
      this.#scheduleNext(zone, perSecond);
    });
  }

  #routeRequest(zone: ZoneId): void {
    const prefix = `prefix-${this.#random.int(0, PREFIX_COUNT - 1)}`;
    const costTokens = this.#random.int(1, 2 * MEAN_TOKENS - 1);
    const loads = this.#loadsByEntry.get(zone as string as InstanceId) as Map<
      TargetId,
      TrackedLoad
    >;
    const req = {
      service: 'model' as ServiceId,
      zone,
      costTokens,
      exclude: new Set<TargetId>(),
      ...(this.#useAffinity && { affinityKey: prefix }),
    };
    const chosen = toNullable(this.#policy.choose(req, this.#createTargetViews(loads)));
    const target = this.#targets.find(
      ({ options }) => options.id === chosen?.id,
    ) as SimulatedTarget;
    this.#send(target, loads.get(target.options.id) as TrackedLoad, costTokens, prefix);
    this.#crossZoneCount += target.options.zone === zone ? 0 : 1;
  }

  #createTargetViews(loads: ReadonlyMap<TargetId, TrackedLoad>): TargetView[] {
    return this.#targets.map(({ options: { id, zone } }) => {
      const { reported, inFlight, sentSinceReport, endedSinceReport } = loads.get(
        id,
      ) as TrackedLoad;
      const state = { leaving: false, ejected: false, ready: true };
      return { id, zone, inFlight, reported, sentSinceReport, endedSinceReport, ...state };
    });
  }

  #send(
    target: SimulatedTarget,
    trackedLoad: TrackedLoad,
    costTokens: number,
    prefix: string,
  ): void {
    const startMs = this.#loop.nowMs;
    const tracked = trackedLoad;
    tracked.inFlight += 1;
    tracked.sentSinceReport += 1;
    this.#requestCount += 1;
    this.#recorder.recordOffered();
    target.submit({
      id: `${this.#requestCount}`,
      team: 'a',
      weight: 1,
      costTokens,
      deadlineMs: Infinity,
      prefix,
      onEnd: (isAnswered) => {
        tracked.inFlight -= 1;
        tracked.endedSinceReport += 1;
        this.#recorder.recordFinished({
          team: 'a',
          verdict: isAnswered ? 'answered' : 'refused.queue_full',
          latencyMs: this.#loop.nowMs - startMs,
          deadlineMs: DEADLINE_MS,
        });
      },
    });
  }
}
