/** Target choice on a simulated fleet with lagging load reports. */
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

import { createSeededSource } from '../arrivals';
import { Recorder } from '../recorder';
import { EventLoop } from './event-loop';
import { type ModelJob, ModelTarget } from './model-target';

/** The figures of one policy. */
export interface ChoiceResult {
  readonly label: string;
  readonly load: number;
  readonly p50: Millis;
  readonly p99: Millis;
  readonly late: number;
  /** The part of requests whose prefix was cached. */
  readonly hits: number;
  /** The part of requests that left the entry's availability zone. */
  readonly crossZone: number;
}

/** What an entry knows of a target. */
interface Knowledge {
  reported: ReportedLoad;
  inFlight: number;
  sentSinceReport: number;
  endedSinceReport: number;
}

const ZONES = ['ba', 'nadi', 'suva'] as ZoneId[];
const TARGETS_PER_ZONE = 2;
const SLOTS = 8;
const MEAN_TOKENS = 40;
const REPORT_EVERY_MS = 100;
const DURATION_MS = 20_000;
const DEADLINE_MS = 500;
const PREFIXES = 60;
const CACHED_PREFIXES = 12;
const CACHE_SAVING = 0.5;
const QUEUE_BOUNDS = { maxItems: 1000, maxTokens: 1_000_000 };

type CreatePolicy = (random: RandomSource) => TargetPolicy;

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
 * @param seed - the seed of the arrivals
 * @param loads - offered work as a part of what the slots do without a cache
 * @returns one result a policy and load
 */
export function compareTargetChoice(seed: number, loads: readonly number[]): ChoiceResult[] {
  return loads.flatMap((load) =>
    POLICIES.map(([label, createPolicy, useAffinity]) =>
      new Fleet(seed, createPolicy, useAffinity).simulate(label, load),
    ),
  );
}

/** One entry in each availability zone, and the targets. */
class Fleet {
  readonly #loop = new EventLoop();

  readonly #random: RandomSource;

  readonly #policy: TargetPolicy;

  readonly #useAffinity: boolean;

  readonly #targets: ModelTarget[];

  readonly #knowledge: Map<InstanceId, Map<TargetId, Knowledge>>;

  readonly #recorder = new Recorder();

  #crossZone = 0;

  #count = 0;

  constructor(seed: number, createPolicy: CreatePolicy, useAffinity: boolean) {
    this.#random = createSeededSource(seed);
    this.#policy = createPolicy(createSeededSource(seed + 1));
    this.#useAffinity = useAffinity;
    this.#targets = ZONES.flatMap((zone) =>
      Array.from({ length: TARGETS_PER_ZONE }, (_, index) => this.#createTarget(zone, index)),
    );
    this.#knowledge = new Map(
      ZONES.map((zone) => [zone as string as InstanceId, this.#createKnowledge()]),
    );
  }

  simulate(label: string, load: number): ChoiceResult {
    const perSecond = (load * this.#targets.length * SLOTS * 1000) / MEAN_TOKENS;
    // Half of all requests come in at one entry.
    [0.5, 0.25, 0.25].forEach((part, at) => this.#planNext(ZONES[at] as ZoneId, perSecond * part));
    this.#planReports();
    this.#loop.run(DURATION_MS + 10 * DEADLINE_MS);
    const { latency, late } = this.#recorder.summarize(DURATION_MS);
    const hits = this.#targets.reduce((sum, target) => sum + target.hits, 0) / this.#count;
    const crossZone = this.#crossZone / this.#count;
    return { label, load, p50: latency.p50, p99: latency.p99, late, hits, crossZone };
  }

  #createTarget(zone: ZoneId, index: number): ModelTarget {
    return new ModelTarget({
      id: `${zone}-${index}` as TargetId,
      zone,
      loop: this.#loop,
      queue: new FairQueue<ModelJob>(QUEUE_BOUNDS),
      slots: SLOTS,
      msPerToken: 1,
      cachedPrefixes: CACHED_PREFIXES,
      cacheSaving: CACHE_SAVING,
    });
  }

  #createKnowledge(): Map<TargetId, Knowledge> {
    return new Map(
      this.#targets.map(({ options, load }) => [
        options.id,
        { reported: load, inFlight: 0, sentSinceReport: 0, endedSinceReport: 0 },
      ]),
    );
  }

  #planReports(): void {
    this.#knowledge.forEach((known) =>
      this.#targets.forEach(({ options, load }) =>
        this.#report(known.get(options.id) as Knowledge, load),
      ),
    );
    if (this.#loop.now < DURATION_MS) {
      this.#loop.at(this.#loop.now + REPORT_EVERY_MS, () => this.#planReports());
    }
  }

  #report(knowledge: Knowledge, load: ReportedLoad): void {
    const known = knowledge;
    known.reported = load;
    known.sentSinceReport = 0;
    known.endedSinceReport = 0;
  }

  #planNext(zone: ZoneId, perSecond: number): void {
    const dueMs = this.#loop.now + this.#random.exponential(1000 / perSecond);
    if (dueMs >= DURATION_MS) return;
    this.#loop.at(dueMs, () => {
      this.#arrive(zone);
      this.#planNext(zone, perSecond);
    });
  }

  #arrive(zone: ZoneId): void {
    const prefix = `prefix-${this.#random.int(0, PREFIXES - 1)}`;
    const costTokens = this.#random.int(1, 2 * MEAN_TOKENS - 1);
    const known = this.#knowledge.get(zone as string as InstanceId) as Map<TargetId, Knowledge>;
    const req = {
      service: 'model' as ServiceId,
      zone,
      costTokens,
      exclude: new Set<TargetId>(),
      ...(this.#useAffinity && { affinityKey: prefix }),
    };
    const chosen = toNullable(this.#policy.choose(req, this.#viewTargets(known)));
    const target = this.#targets.find(({ options }) => options.id === chosen?.id) as ModelTarget;
    this.#send(target, known.get(target.options.id) as Knowledge, costTokens, prefix);
    this.#crossZone += target.options.zone === zone ? 0 : 1;
  }

  #viewTargets(known: ReadonlyMap<TargetId, Knowledge>): TargetView[] {
    return this.#targets.map(({ options: { id, zone } }) => {
      const { reported, inFlight, sentSinceReport, endedSinceReport } = known.get(id) as Knowledge;
      const state = { leaving: false, ejected: false, ready: true };
      return { id, zone, inFlight, reported, sentSinceReport, endedSinceReport, ...state };
    });
  }

  #send(target: ModelTarget, knowledge: Knowledge, costTokens: number, prefix: string): void {
    const startMs = this.#loop.now;
    const open = knowledge;
    open.inFlight += 1;
    open.sentSinceReport += 1;
    this.#count += 1;
    this.#recorder.offer();
    target.take({
      id: `${this.#count}`,
      team: 'a',
      weight: 1,
      costTokens,
      deadlineMs: Infinity,
      prefix,
      onEnd: (answered) => {
        open.inFlight -= 1;
        open.endedSinceReport += 1;
        this.#recorder.record({
          team: 'a',
          verdict: answered ? 'answered' : 'refused.queue_full',
          latencyMs: this.#loop.now - startMs,
          deadlineMs: DEADLINE_MS,
        });
      },
    });
  }
}
