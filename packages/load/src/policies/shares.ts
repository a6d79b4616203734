/**
 * Simulates rules that split a team's global bound among entries, and measures how far the entries
 * together admit more or less than the bound.
 */
import {
  type InstanceId,
  ManualClock,
  type MonoTime,
  type ServiceId,
  type TeamId,
} from '@hibiscushill/base';
import { BoundedAdmission, ShareTracker } from '@hibiscushill/routing';

import { createSeededRandom } from '../arrivals';

/** A rule that tells one entry its share of a bound: a `ShareTracker` or a baseline. */
type ShareRule = Pick<
  ShareTracker,
  'recordDemand' | 'share' | 'localDemands' | 'recordPeerDemand' | 'setEntries'
>;

/** How the admitted requests compare with the bound, for one rule and case. */
export interface ShareResult {
  readonly rule: string;
  readonly case: string;
  /** Admitted above the bound in windows of one second, as a fraction of the bound. */
  readonly overAdmitted: number;
  /** Not admitted although bound and demand allowed it, as a fraction of what they allowed. */
  readonly underAdmitted: number;
  /** Admitted in the window of one second with the most requests, as a multiple of the bound. */
  readonly worstWindow: number;
}

/** How demand and the connections between entries develop over time. */
interface DemandCase {
  readonly name: string;
  /** The demand at an entry, as a fraction of the global bound. */
  readonly demandFraction: (entry: number, second: number) => number;
  /** Whether the entries can reach each other. */
  readonly isConnected: (second: number) => boolean;
}

const ENTRY_COUNT = 4;
const BOUND_PER_SECOND = 400;
const DURATION_SECONDS = 120;
// Left out of the results.
const WARM_UP_SECONDS = 10;
const TIME_STEP_MS = 5;
const GOSSIP_INTERVAL_MS = 500;
const SKEW_SHIFT_SECONDS = 15;
const TEAM = 'a' as TeamId;
const BOUNDS = { requestsPerSecond: BOUND_PER_SECOND, tokensPerSecond: 1e9, inFlight: 1e9 };

/** Demand above the bound at one entry, which is the next entry after each shift. */
function shiftingSkew(entry: number, second: number): number {
  return Math.floor(second / SKEW_SHIFT_SECONDS) % ENTRY_COUNT === entry ? 1.2 : 0.1;
}

const CASES: readonly DemandCase[] = [
  { name: 'even, twice the bound', demandFraction: () => 0.5, isConnected: () => true },
  {
    name: 'one entry has 90% of a demand within the bound',
    demandFraction: (entry) => (entry === 0 ? 0.72 : 0.03),
    isConnected: () => true,
  },
  { name: 'skew that shifts every 15 s', demandFraction: shiftingSkew, isConnected: () => true },
  {
    name: 'full network partition from second 40, shifting skew',
    demandFraction: shiftingSkew,
    isConnected: (second) => second < 40,
  },
  {
    name: 'full network partition from second 40, even',
    demandFraction: () => 0.5,
    isConnected: (second) => second < 40,
  },
];

const RULES: readonly [string, (clock: ManualClock, entry: InstanceId) => ShareRule][] = [
  ['ShareTracker', (clock, entry) => new ShareTracker({ clock, entry })],
  [
    'ShareTracker without delayed increase',
    (clock, entry) => new ShareTracker({ clock, entry, increaseDelayPeriods: 0 }),
  ],
  ['equal split', () => new EqualShareRule()],
  ['split over reachable peers', (clock, entry) => new ReachableShareRule(clock, entry)],
];

/**
 * Simulates every rule in every case.
 *
 * @param seed - the seed of the request arrivals
 * @returns one result per rule and case
 */
export function compareShares(seed: number): ShareResult[] {
  return CASES.flatMap((demandCase) =>
    RULES.map(([rule, createRule]) => simulateShares(seed, demandCase, rule, createRule)),
  );
}

function simulateShares(
  seed: number,
  demandCase: DemandCase,
  rule: string,
  createRule: (clock: ManualClock, entry: InstanceId) => ShareRule,
): ShareResult {
  const clock = new ManualClock();
  const random = createSeededRandom(seed);
  const ids = Array.from({ length: ENTRY_COUNT }, (_, index) => `entry-${index}` as InstanceId);
  const rules = ids.map((id) => createRule(clock, id));
  rules.forEach((each) => each.setEntries(ids));
  const policies = rules.map((each) => new BoundedAdmission({ clock, random, shares: each }));
  const windows = Array.from({ length: DURATION_SECONDS }, () => ({ offered: 0, admitted: 0 }));
  while (clock.mono() < DURATION_SECONDS * 1000 - TIME_STEP_MS) {
    clock.advance(TIME_STEP_MS);
    const second = Math.floor(clock.mono() / 1000);
    const window = windows[second] as { offered: number; admitted: number };
    policies.forEach((policy, entry) => {
      const requestsPerStep =
        (demandCase.demandFraction(entry, second) * BOUND_PER_SECOND * TIME_STEP_MS) / 1000;
      for (
        let arrival = random.exponential(1);
        arrival < requestsPerStep;
        arrival += random.exponential(1)
      ) {
        window.offered += 1;
        if (tryAdmit(policy)) window.admitted += 1;
      }
    });
    if (demandCase.isConnected(second) && clock.mono() % GOSSIP_INTERVAL_MS === 0)
      exchangeDemands(ids, rules, clock);
  }
  return { rule, case: demandCase.name, ...measureAdmission(windows.slice(WARM_UP_SECONDS)) };
}

function tryAdmit(policy: BoundedAdmission): boolean {
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

/** Delivers each entry's demands to every other entry. */
function exchangeDemands(
  ids: readonly InstanceId[],
  rules: readonly ShareRule[],
  clock: ManualClock,
): void {
  const summaries = rules.map((each) => each.localDemands());
  rules.forEach((each, to) =>
    summaries.forEach((summary, from) => {
      if (from !== to) each.recordPeerDemand(ids[from] as InstanceId, summary, clock.mono());
    }),
  );
}

/** Compares the admitted requests with the bound, window by window. */
function measureAdmission(windows: readonly { offered: number; admitted: number }[]) {
  const total = (read: (window: { offered: number; admitted: number }) => number) =>
    windows.reduce((sum, window) => sum + read(window), 0);
  const allowed = total(({ offered }) => Math.min(BOUND_PER_SECOND, offered));
  return {
    overAdmitted:
      total(({ admitted }) => Math.max(0, admitted - BOUND_PER_SECOND)) /
      (BOUND_PER_SECOND * windows.length),
    underAdmitted:
      total(({ offered, admitted }) =>
        Math.max(0, Math.min(BOUND_PER_SECOND, offered) - admitted),
      ) / allowed,
    worstWindow: Math.max(...windows.map(({ admitted }) => admitted)) / BOUND_PER_SECOND,
  };
}

/** Baseline: gives every entry the same share of the bound at all times. */
class EqualShareRule implements ShareRule {
  #entryCount = 1;

  setEntries(entries: readonly InstanceId[]): void {
    this.#entryCount = entries.length;
  }

  share(): number {
    return 1 / this.#entryCount;
  }

  localDemands(): ReadonlyMap<TeamId, number> {
    return new Map();
  }

  recordDemand(): void {
    // The split does not depend on demand.
  }

  recordPeerDemand(): void {
    // The split does not depend on demand.
  }
}

/**
 * Baseline: splits the bound by demand among the entries whose summaries arrived in the last
 * 3 s, as if the others were gone.
 */
class ReachableShareRule implements ShareRule {
  readonly #clock: ManualClock;

  readonly #entry: InstanceId;

  readonly #tracker: ShareTracker;

  readonly #lastReceivedAt = new Map<InstanceId, MonoTime>();

  constructor(clock: ManualClock, entry: InstanceId) {
    this.#clock = clock;
    this.#entry = entry;
    this.#tracker = new ShareTracker({ clock, entry, increaseDelayPeriods: 0 });
  }

  setEntries(entries: readonly InstanceId[]): void {
    entries.forEach((entry) => this.#lastReceivedAt.set(entry, this.#clock.mono()));
    this.#tracker.setEntries(entries);
  }

  share(team: TeamId): number {
    const minReceivedAt = this.#clock.mono() - 3000;
    const reachable = [...this.#lastReceivedAt]
      .filter(([, at]) => at >= minReceivedAt)
      .map(([entry]) => entry);
    this.#tracker.setEntries([...reachable, this.#entry]);
    return this.#tracker.share(team);
  }

  localDemands(): ReadonlyMap<TeamId, number> {
    return this.#tracker.localDemands();
  }

  recordDemand(team: TeamId, boundSeconds: number): void {
    this.#tracker.recordDemand(team, boundSeconds);
  }

  recordPeerDemand(entry: InstanceId, demand: ReadonlyMap<TeamId, number>, at: MonoTime): void {
    this.#lastReceivedAt.set(entry, at);
    this.#tracker.recordPeerDemand(entry, demand, at);
  }
}
