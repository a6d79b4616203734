/** Over- and under-admission of a global bound, by the rule that splits it among entries. */
import {
  type InstanceId,
  ManualClock,
  type MonoTime,
  type ServiceId,
  type TeamId,
} from '@hibiscushill/base';
import { BoundedAdmission, ShareTracker } from '@hibiscushill/routing';

import { createSeededSource } from '../arrivals';

/** What a rule has to offer to an entry's admission. */
type Shares = Pick<
  ShareTracker,
  'recordDemand' | 'share' | 'localDemands' | 'takePeerSummary' | 'setEntries'
>;

/** Admission against the bound. */
export interface ShareResult {
  readonly rule: string;
  readonly case: string;
  /** Admitted above the bound in windows of a second, as a part of the bound. */
  readonly over: number;
  /** Missed below what the bound and the offer allowed, as a part of it. */
  readonly under: number;
  /** Admitted in the worst window of a second, as a multiple of the bound. */
  readonly worst: number;
}

interface ShareCase {
  readonly name: string;
  /** Offered at an entry, as a part of the whole bound. */
  readonly demandAt: (entry: number, second: number) => number;
  readonly isLinked: (second: number) => boolean;
}

const ENTRIES = 4;
const BOUND = 400;
const SECONDS = 120;
const WARM_UP_SECONDS = 10;
const TICK_MS = 5;
const GOSSIP_EVERY_MS = 500;
const SHIFT_SECONDS = 15;
const TEAM = 'a' as TeamId;
const BOUNDS = { requestsPerSecond: BOUND, tokensPerSecond: 1e9, inFlight: 1e9 };

function skewed(entry: number, second: number): number {
  return Math.floor(second / SHIFT_SECONDS) % ENTRIES === entry ? 1.2 : 0.1;
}

const CASES: readonly ShareCase[] = [
  { name: 'even, twice the bound', demandAt: () => 0.5, isLinked: () => true },
  {
    name: 'one entry has 90% of a demand within the bound',
    demandAt: (entry) => (entry === 0 ? 0.72 : 0.03),
    isLinked: () => true,
  },
  { name: 'skew that shifts every 15 s', demandAt: skewed, isLinked: () => true },
  { name: 'full cut from second 40 on, skew', demandAt: skewed, isLinked: (at) => at < 40 },
  {
    name: 'full cut from second 40 on, even',
    demandAt: () => 0.5,
    isLinked: (at) => at < 40,
  },
];

const RULES: readonly [string, (clock: ManualClock, entry: InstanceId) => Shares][] = [
  ['ShareTracker', (clock, entry) => new ShareTracker({ clock, entry })],
  [
    'ShareTracker without delayed rise',
    (clock, entry) => new ShareTracker({ clock, entry, settlePeriods: 0 }),
  ],
  ['equal split', () => new EqualShares()],
  ['split over the peers that are heard', (clock, entry) => new HeardShares(clock, entry)],
];

/**
 * Simulates every rule in every case.
 *
 * @param seed - the seed of the arrivals
 * @returns one result a rule and case
 */
export function compareShares(seed: number): ShareResult[] {
  return CASES.flatMap((one) =>
    RULES.map(([rule, createShares]) => simulate(seed, one, rule, createShares)),
  );
}

function simulate(
  seed: number,
  one: ShareCase,
  rule: string,
  createShares: (clock: ManualClock, entry: InstanceId) => Shares,
): ShareResult {
  const clock = new ManualClock();
  const random = createSeededSource(seed);
  const ids = Array.from({ length: ENTRIES }, (_, index) => `entry-${index}` as InstanceId);
  const shares = ids.map((id) => createShares(clock, id));
  shares.forEach((each) => each.setEntries(ids));
  const policies = shares.map((each) => new BoundedAdmission({ clock, random, shares: each }));
  const windows = Array.from({ length: SECONDS }, () => ({ offered: 0, admitted: 0 }));
  while (clock.mono() < SECONDS * 1000 - TICK_MS) {
    clock.advance(TICK_MS);
    const second = Math.floor(clock.mono() / 1000);
    const window = windows[second] as { offered: number; admitted: number };
    policies.forEach((policy, entry) => {
      const perTick = (one.demandAt(entry, second) * BOUND * TICK_MS) / 1000;
      for (let left = random.exponential(1); left < perTick; left += random.exponential(1)) {
        window.offered += 1;
        if (admit(policy)) window.admitted += 1;
      }
    });
    if (one.isLinked(second) && clock.mono() % GOSSIP_EVERY_MS === 0) gossip(ids, shares, clock);
  }
  return { rule, case: one.name, ...measure(windows.slice(WARM_UP_SECONDS)) };
}

function admit(policy: BoundedAdmission): boolean {
  const admitted = policy.admit({
    team: { name: TEAM, bounds: BOUNDS },
    service: 'model' as ServiceId,
    costTokens: 1,
    remainingMs: 1000,
    estimatedWaitMs: 0,
  });
  admitted.map((admission) => admission.release());
  return admitted.isOk();
}

function gossip(ids: readonly InstanceId[], shares: readonly Shares[], clock: ManualClock): void {
  const summaries = shares.map((each) => each.localDemands());
  shares.forEach((each, to) =>
    summaries.forEach((summary, from) => {
      if (from !== to) each.takePeerSummary(ids[from] as InstanceId, summary, clock.mono());
    }),
  );
}

function measure(windows: readonly { offered: number; admitted: number }[]) {
  const total = (read: (window: { offered: number; admitted: number }) => number) =>
    windows.reduce((sum, window) => sum + read(window), 0);
  const allowed = total(({ offered }) => Math.min(BOUND, offered));
  return {
    over: total(({ admitted }) => Math.max(0, admitted - BOUND)) / (BOUND * windows.length),
    under:
      total(({ offered, admitted }) => Math.max(0, Math.min(BOUND, offered) - admitted)) / allowed,
    worst: Math.max(...windows.map(({ admitted }) => admitted)) / BOUND,
  };
}

/** Every entry has an even part of the bound at all times. */
class EqualShares implements Shares {
  #count = 1;

  setEntries(entries: readonly InstanceId[]): void {
    this.#count = entries.length;
  }

  share(): number {
    return 1 / this.#count;
  }

  localDemands(): ReadonlyMap<TeamId, number> {
    return new Map();
  }

  recordDemand(): void {
    // The split does not go by demand.
  }

  takePeerSummary(): void {
    // The split does not go by demand.
  }
}

/** Splits the bound by demand among the entries that are heard, as if the others were gone. */
class HeardShares implements Shares {
  readonly #clock: ManualClock;

  readonly #entry: InstanceId;

  readonly #tracker: ShareTracker;

  readonly #heardAt = new Map<InstanceId, MonoTime>();

  constructor(clock: ManualClock, entry: InstanceId) {
    this.#clock = clock;
    this.#entry = entry;
    this.#tracker = new ShareTracker({ clock, entry, settlePeriods: 0 });
  }

  setEntries(entries: readonly InstanceId[]): void {
    entries.forEach((entry) => this.#heardAt.set(entry, this.#clock.mono()));
    this.#tracker.setEntries(entries);
  }

  share(team: TeamId): number {
    const since = this.#clock.mono() - 3000;
    const heard = [...this.#heardAt].filter(([, at]) => at >= since).map(([entry]) => entry);
    this.#tracker.setEntries([...heard, this.#entry]);
    return this.#tracker.share(team);
  }

  localDemands(): ReadonlyMap<TeamId, number> {
    return this.#tracker.localDemands();
  }

  recordDemand(team: TeamId, boundSeconds: number): void {
    this.#tracker.recordDemand(team, boundSeconds);
  }

  takePeerSummary(entry: InstanceId, demand: ReadonlyMap<TeamId, number>, at: MonoTime): void {
    this.#heardAt.set(entry, at);
    this.#tracker.takePeerSummary(entry, demand, at);
  }
}
