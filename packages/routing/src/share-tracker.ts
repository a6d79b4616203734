/** The share of each team's bounds that one entry may use. The bounds hold over all entries. */
import type { Clock, InstanceId, Millis, MonoTime, TeamId } from '@hibiscushill/base';

import { RateMeter } from './rate-meter';
import {
  type ShareByEntry,
  adaptToEntries,
  interpolateToEven,
  splitByDemand,
  splitEvenly,
} from './share-split';

/** The identity of the entry and the parameters by which {@link ShareTracker} splits bounds. */
export interface ShareTrackerOptions {
  readonly clock: Clock;
  /** The entry whose shares are tracked. */
  readonly entry: InstanceId;
  /** The number of entries assumed until {@link ShareTracker.setEntries} is called. */
  readonly initialEntryCount?: number;
  /** The interval at which shares and published demand are recomputed, in milliseconds. */
  readonly updatePeriodMs?: Millis;
  /** The number of further updates that must allow a higher share before it is used. */
  readonly increaseDelayPeriods?: number;
  /** The time without a demand report after which a peer is unreachable, in milliseconds. */
  readonly peerTimeoutMs?: Millis;
  /** The time in which the split becomes even while a peer is unreachable, in milliseconds. */
  readonly evenSplitAfterMs?: Millis;
  /** The fraction of each bound that is always split evenly, from 0 to 1. */
  readonly evenFraction?: number;
  /** The time constant of the moving average of demand, in milliseconds. */
  readonly demandTimeConstantMs?: Millis;
}

interface TeamShare {
  readonly demandMeter: RateMeter;
  /** This entry's demand as of the last update, which is published to peers. */
  publishedDemand: number;
  /** The split of the last update at which every peer was reachable. */
  lastFullSplit: ShareByEntry;
  /** This entry's shares as of the last updates, newest last. */
  recentShares: readonly number[];
}

interface PeerDemand {
  readonly demandByTeam: ReadonlyMap<TeamId, number>;
  readonly receivedAt: MonoTime;
}

const DEFAULT_INITIAL_ENTRY_COUNT = 4;
const DEFAULT_UPDATE_PERIOD_MS = 500;
const DEFAULT_INCREASE_DELAY_PERIODS = 1;
const DEFAULT_PEER_TIMEOUT_MS = 3000;
const DEFAULT_EVEN_SPLIT_AFTER_MS = 10_000;
const DEFAULT_EVEN_FRACTION = 0.1;
const DEFAULT_DEMAND_TIME_CONSTANT_MS = 1000;

/**
 * Splits each team's bounds among the entries by demand. Every entry computes the split from the
 * same published demands, so the shares sum to one. An unreachable peer keeps its share of the
 * last split that all entries computed, which then drifts towards an even split; the entries that
 * reach one another divide the rest by demand.
 */
export class ShareTracker {
  readonly #options: Required<Omit<ShareTrackerOptions, 'clock'>>;

  readonly #clock: Clock;

  readonly #teams = new Map<TeamId, TeamShare>();

  readonly #peers = new Map<InstanceId, PeerDemand>();

  #entries: readonly InstanceId[];

  #updatedAt: MonoTime;

  /** The first update of the current network partition; undefined while every peer is reachable. */
  #partitionedSince: MonoTime | undefined;

  /** @param options - the clock, the entry, and the parameters of the split */
  constructor(options: ShareTrackerOptions) {
    this.#clock = options.clock;
    this.#options = {
      entry: options.entry,
      initialEntryCount: options.initialEntryCount ?? DEFAULT_INITIAL_ENTRY_COUNT,
      updatePeriodMs: options.updatePeriodMs ?? DEFAULT_UPDATE_PERIOD_MS,
      increaseDelayPeriods: options.increaseDelayPeriods ?? DEFAULT_INCREASE_DELAY_PERIODS,
      peerTimeoutMs: options.peerTimeoutMs ?? DEFAULT_PEER_TIMEOUT_MS,
      evenSplitAfterMs: options.evenSplitAfterMs ?? DEFAULT_EVEN_SPLIT_AFTER_MS,
      evenFraction: options.evenFraction ?? DEFAULT_EVEN_FRACTION,
      demandTimeConstantMs: options.demandTimeConstantMs ?? DEFAULT_DEMAND_TIME_CONSTANT_MS,
    };
    this.#entries = createPlaceholderEntries(options.entry, this.#options.initialEntryCount);
    this.#updatedAt = options.clock.mono();
  }

  /**
   * Replaces the set of known entries, and adds this entry if the list lacks it.
   *
   * @param entries - the entries on the instance list that have not left
   */
  setEntries(entries: readonly InstanceId[]): void {
    this.#entries = [...new Set([...entries, this.#options.entry])].sort();
    [...this.#peers.keys()]
      .filter((peer) => !this.#entries.includes(peer))
      .forEach((peer) => this.#peers.delete(peer));
  }

  /**
   * Counts a received request towards the team's demand, whether it is admitted or not.
   *
   * @param team - the team
   * @param boundSeconds - the request's cost as a fraction of what the team's bounds allow in one
   *   second
   */
  recordDemand(team: TeamId, boundSeconds: number): void {
    this.#findOrCreateTeam(team).demandMeter.add(boundSeconds);
  }

  /**
   * Returns this entry's demand for one team, as it is published to peers.
   *
   * @param team - the team
   * @returns the demand as a multiple of the team's bounds; 1 equals the bounds
   */
  localDemand(team: TeamId): number {
    this.#updateIfDue();
    return this.#findOrCreateTeam(team).publishedDemand;
  }

  /**
   * Returns this entry's demand by team, as it is published to peers.
   *
   * @returns the demands as multiples of the teams' bounds
   */
  localDemands(): ReadonlyMap<TeamId, number> {
    this.#updateIfDue();
    return new Map([...this.#teams].map(([team, state]) => [team, state.publishedDemand] as const));
  }

  /**
   * Stores the demand that a peer published.
   *
   * @param entry - the peer
   * @param demandByTeam - its demands as multiples of the teams' bounds; a missing team has none
   * @param receivedAt - when this entry received them
   */
  recordPeerDemand(
    entry: InstanceId,
    demandByTeam: ReadonlyMap<TeamId, number>,
    receivedAt: MonoTime,
  ): void {
    if (entry !== this.#options.entry) this.#peers.set(entry, { demandByTeam, receivedAt });
  }

  /**
   * Returns this entry's share of a team's bounds.
   *
   * @param team - the team
   * @returns a fraction, greater than 0 and at most 1
   */
  share(team: TeamId): number {
    this.#updateIfDue();
    return Math.min(...this.#findOrCreateTeam(team).recentShares);
  }

  #findOrCreateTeam(team: TeamId): TeamShare {
    const found = this.#teams.get(team);
    if (found) return found;
    const state: TeamShare = {
      demandMeter: new RateMeter(this.#clock, this.#options.demandTimeConstantMs),
      publishedDemand: 0,
      lastFullSplit: splitEvenly(this.#entries),
      recentShares: [],
    };
    this.#teams.set(team, state);
    this.#updateTeam(team, state);
    return state;
  }

  #updateIfDue(): void {
    const now = this.#clock.mono();
    if (now - this.#updatedAt < this.#options.updatePeriodMs) return;
    this.#updatedAt = now;
    this.#partitionedSince = this.#hasUnreachablePeer()
      ? (this.#partitionedSince ?? now)
      : undefined;
    this.#teams.forEach((state, team) => this.#updateTeam(team, state));
  }

  #updateTeam(team: TeamId, state: TeamShare): void {
    const reachable = this.#entries.filter((entry) => this.#isReachable(entry));
    const expected = this.#expectedSplit(state);
    const budget = sum(reachable.map((entry) => expected.get(entry) as number));
    const demand = new Map(reachable.map((entry) => [entry, this.#demandOf(entry, team, state)]));
    const split = splitByDemand(budget, demand, this.#options.evenFraction);
    Object.assign(state, {
      publishedDemand: state.demandMeter.rate,
      lastFullSplit: reachable.length === this.#entries.length ? split : state.lastFullSplit,
      recentShares: [...state.recentShares, split.get(this.#options.entry) as number].slice(
        -1 - this.#options.increaseDelayPeriods,
      ),
    });
  }

  /** Estimates the split that unreachable entries use. */
  #expectedSplit(state: TeamShare): ShareByEntry {
    const adapted = adaptToEntries(state.lastFullSplit, this.#entries);
    const partitionedMs =
      this.#partitionedSince === undefined ? 0 : this.#clock.mono() - this.#partitionedSince;
    return interpolateToEven(adapted, Math.min(1, partitionedMs / this.#options.evenSplitAfterMs));
  }

  #demandOf(entry: InstanceId, team: TeamId, state: TeamShare): number {
    // Peers know only the published demand. A newer value here would make the splits differ.
    if (entry === this.#options.entry) return state.publishedDemand;
    return this.#peers.get(entry)?.demandByTeam.get(team) ?? 0;
  }

  #hasUnreachablePeer(): boolean {
    return this.#entries.some((entry) => !this.#isReachable(entry));
  }

  #isReachable(entry: InstanceId): boolean {
    if (entry === this.#options.entry) return true;
    const peer = this.#peers.get(entry);
    return peer !== undefined && this.#clock.mono() - peer.receivedAt < this.#options.peerTimeoutMs;
  }
}

function createPlaceholderEntries(entry: InstanceId, count: number): InstanceId[] {
  const others = Array.from({ length: count - 1 }, (_, index) => `unknown-${index}` as InstanceId);
  return [entry, ...others];
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
