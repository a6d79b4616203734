/** An entry's share of each team's bounds, which hold over all entries together. */
import type { Clock, InstanceId, Millis, MonoTime, TeamId } from '@hibiscushill/base';

import { DemandMeter } from './demand-meter';
import { type Split, carrySplit, evenOut, splitByDemand, splitEvenly } from './share-split';

/** How {@link ShareTracker} splits bounds. */
export interface ShareOptions {
  readonly clock: Clock;
  /** This entry. */
  readonly entry: InstanceId;
  /** The entries that are assumed until {@link ShareTracker.setEntries} is called. */
  readonly initialEntries?: number;
  /** How often shares and published demand are renewed, in milliseconds. */
  readonly periodMs?: Millis;
  /** For how many periods a share must have been due before it rises. */
  readonly settlePeriods?: number;
  /** When a peer counts as silent, in milliseconds since its last summary. */
  readonly silentMs?: Millis;
  /** How long a split takes to become even while a peer is silent, in milliseconds. */
  readonly decayMs?: Millis;
  /** The part of each bound that is always split evenly. */
  readonly floor?: number;
  /** The time constant of the demand, in milliseconds. */
  readonly windowMs?: Millis;
}

interface TeamShare {
  readonly meter: DemandMeter;
  published: number;
  agreed: Split;
  /** The last computed shares, newest last. */
  recent: readonly number[];
}

interface PeerSummary {
  readonly demand: ReadonlyMap<TeamId, number>;
  readonly atMono: MonoTime;
}

const DEFAULT_INITIAL_ENTRIES = 4;
const DEFAULT_PERIOD_MS = 500;
const DEFAULT_SETTLE_PERIODS = 1;
const DEFAULT_SILENT_MS = 3000;
const DEFAULT_DECAY_MS = 10_000;
const DEFAULT_FLOOR = 0.1;
const DEFAULT_WINDOW_MS = 1000;

/**
 * Splits each team's bound by demand. Every entry computes the split from the same published
 * demands, so that the shares sum to one. What silent peers held in the last agreed split stays
 * theirs, and evens out over the known entries; the entries that hear one another split the rest.
 */
export class ShareTracker {
  readonly #options: Required<Omit<ShareOptions, 'clock'>>;

  readonly #clock: Clock;

  readonly #teams = new Map<TeamId, TeamShare>();

  readonly #peers = new Map<InstanceId, PeerSummary>();

  #entries: readonly InstanceId[];

  #renewedAt: MonoTime;

  #cutSince: MonoTime | undefined;

  /** @param options - the clock, this entry, and how to split */
  constructor(options: ShareOptions) {
    this.#clock = options.clock;
    this.#options = {
      entry: options.entry,
      initialEntries: options.initialEntries ?? DEFAULT_INITIAL_ENTRIES,
      periodMs: options.periodMs ?? DEFAULT_PERIOD_MS,
      settlePeriods: options.settlePeriods ?? DEFAULT_SETTLE_PERIODS,
      silentMs: options.silentMs ?? DEFAULT_SILENT_MS,
      decayMs: options.decayMs ?? DEFAULT_DECAY_MS,
      floor: options.floor ?? DEFAULT_FLOOR,
      windowMs: options.windowMs ?? DEFAULT_WINDOW_MS,
    };
    this.#entries = createPlaceholders(options.entry, this.#options.initialEntries);
    this.#renewedAt = options.clock.mono();
  }

  /**
   * Replaces the set of known entries. Without this entry in the list, it is added.
   *
   * @param entries - the entries of the instance list that have not left
   */
  setEntries(entries: readonly InstanceId[]): void {
    this.#entries = [...new Set([...entries, this.#options.entry])].sort();
    [...this.#peers.keys()]
      .filter((peer) => !this.#entries.includes(peer))
      .forEach((peer) => this.#peers.delete(peer));
  }

  /**
   * Counts a request that was offered, whether admitted or not.
   *
   * @param team - the team
   * @param boundSeconds - the request's part of what the team's bounds allow in one second
   */
  recordDemand(team: TeamId, boundSeconds: number): void {
    this.#find(team).meter.add(boundSeconds);
  }

  /**
   * Reads this entry's demand as it is published to peers.
   *
   * @param team - the team
   * @returns the demand as a part of the team's bound; 1 is all of it
   */
  localDemand(team: TeamId): number {
    this.#renewIfDue();
    return this.#find(team).published;
  }

  /**
   * Lists this entry's demand by team, to be sent to every peer.
   *
   * @returns the published demands
   */
  localDemands(): ReadonlyMap<TeamId, number> {
    this.#renewIfDue();
    return new Map([...this.#teams].map(([team, state]) => [team, state.published] as const));
  }

  /**
   * Takes a peer's demand.
   *
   * @param entry - the peer
   * @param demandByTeam - its published demands; a team that isn't in it has none
   * @param atMono - when this entry received it
   */
  takePeerSummary(
    entry: InstanceId,
    demandByTeam: ReadonlyMap<TeamId, number>,
    atMono: MonoTime,
  ): void {
    if (entry !== this.#options.entry) this.#peers.set(entry, { demand: demandByTeam, atMono });
  }

  /**
   * Reads this entry's share of a team's bounds.
   *
   * @param team - the team
   * @returns a fraction, more than 0 and at most 1
   */
  share(team: TeamId): number {
    this.#renewIfDue();
    return Math.min(...this.#find(team).recent);
  }

  #find(team: TeamId): TeamShare {
    const found = this.#teams.get(team);
    if (found) return found;
    const state: TeamShare = {
      meter: new DemandMeter(this.#clock, this.#options.windowMs),
      published: 0,
      agreed: splitEvenly(this.#entries),
      recent: [],
    };
    this.#teams.set(team, state);
    this.#renewTeam(team, state);
    return state;
  }

  #renewIfDue(): void {
    const now = this.#clock.mono();
    if (now - this.#renewedAt < this.#options.periodMs) return;
    this.#renewedAt = now;
    this.#cutSince = this.#hasSilentPeer() ? (this.#cutSince ?? now) : undefined;
    this.#teams.forEach((state, team) => this.#renewTeam(team, state));
  }

  #renewTeam(team: TeamId, state: TeamShare): void {
    const heard = this.#entries.filter((entry) => this.#isHeard(entry));
    const reserved = this.#reserve(state);
    const budget = sum(heard.map((entry) => reserved.get(entry) as number));
    const demand = new Map(heard.map((entry) => [entry, this.#demandOf(entry, team, state)]));
    const split = splitByDemand(budget, demand, this.#options.floor);
    Object.assign(state, {
      published: state.meter.rate,
      agreed: heard.length === this.#entries.length ? split : state.agreed,
      recent: [...state.recent, split.get(this.#options.entry) as number].slice(
        -1 - this.#options.settlePeriods,
      ),
    });
  }

  #reserve(state: TeamShare): Split {
    const carried = carrySplit(state.agreed, this.#entries);
    const cutMs = this.#cutSince === undefined ? 0 : this.#clock.mono() - this.#cutSince;
    return evenOut(carried, Math.min(1, cutMs / this.#options.decayMs));
  }

  #demandOf(entry: InstanceId, team: TeamId, state: TeamShare): number {
    // Peers know the demand that was published, so the split goes by that and not by a newer one.
    if (entry === this.#options.entry) return state.published;
    return this.#peers.get(entry)?.demand.get(team) ?? 0;
  }

  #hasSilentPeer(): boolean {
    return this.#entries.some((entry) => !this.#isHeard(entry));
  }

  #isHeard(entry: InstanceId): boolean {
    if (entry === this.#options.entry) return true;
    const peer = this.#peers.get(entry);
    return peer !== undefined && this.#clock.mono() - peer.atMono < this.#options.silentMs;
  }
}

function createPlaceholders(entry: InstanceId, count: number): InstanceId[] {
  const others = Array.from({ length: count - 1 }, (_, index) => `unknown-${index}` as InstanceId);
  return [entry, ...others];
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
