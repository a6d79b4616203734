/** Anti-entropy between entries: configuration versions and demand, each second. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Millis,
  MonoTime,
  TeamId,
} from '@hibiscushill/base';
import type { ConfigStore } from '@hibiscushill/config';
import type { DemandSummary, EntryDemand } from '@hibiscushill/control';
import type { ListedInstance } from '@hibiscushill/log';
import { PeerClient, type PeerMessage } from '@hibiscushill/protocol';
import type { ShareTracker } from '@hibiscushill/routing';
import { isSome } from 'fp-ts/Option';
import { z } from 'zod';

import type { EntryDemandMeter } from './demand-meter';

const PERIOD_MS: Millis = 500;

const Summary = z.object({ demands: z.array(z.object({ team: z.string(), part: z.number() })) });

/** What the exchange needs. */
export interface PeerExchangeOptions {
  readonly clock: Clock;
  readonly entry: InstanceId;
  readonly incarnation: IncarnationId;
  readonly config: ConfigStore;
  readonly shares: ShareTracker;
  readonly addresses: readonly string[];
  readonly demand: DemandSummary;
  readonly meter: EntryDemandMeter;
}

interface KnownPeer {
  readonly client: PeerClient;
  /** The version that it said it has; undefined before the first answer. */
  readonly version: number | undefined;
}

/** Exchanges with every other entry. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;

  readonly #peers = new Map<string, KnownPeer>();

  #ownAddress = '';

  // Every entry hears every other, so each sends its own demand only.
  #own: EntryDemand | undefined;

  /** @param options - what is exchanged, and addresses to begin with */
  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    options.addresses.forEach((address) => this.#add(address));
  }

  /** How many peers are known. */
  get size(): number {
    return this.#peers.size;
  }

  /** Sets the address of this entry, which is no peer. */
  setOwnAddress(address: string): void {
    this.#ownAddress = address;
    this.#peers.delete(address);
  }

  /** Takes the entries of the instance list. */
  setEntries(entries: readonly ListedInstance[]): void {
    const live = entries.filter((entry) => entry.state === 'live');
    const wanted = new Set([...this.#options.addresses, ...live.map((entry) => entry.address)]);
    wanted.delete(this.#ownAddress);
    wanted.forEach((address) => this.#add(address));
    [...this.#peers.keys()]
      .filter((address) => !wanted.has(address))
      .forEach((address) => this.#remove(address));
    this.#options.shares.setEntries(live.map((entry) => entry.id));
  }

  /**
   * Exchanges with every peer, period after period.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#takeOwnDemand();
      await Promise.all([...this.#peers.values()].map((peer) => this.#exchange(peer)));
      await this.#options.clock.sleep(PERIOD_MS, signal);
    }
  }

  /**
   * Answers a peer's message.
   *
   * @param message - what it says
   * @returns what this entry says
   */
  answer(message: PeerMessage): PeerMessage {
    this.#take(message);
    return this.#createMessage(message.configVersion);
  }

  #takeOwnDemand(): void {
    const { demand, meter, clock } = this.#options;
    this.#own = meter.take();
    demand.merge(this.#own, clock.mono());
  }

  async #exchange(peer: KnownPeer): Promise<void> {
    const askedAt = this.#options.clock.mono();
    const answer = await peer.client.exchange(this.#createMessage(peer.version));
    if (answer.isErr()) return;
    Object.assign(peer, { version: answer.value.configVersion });
    this.#take(answer.value, askedAt);
  }

  #take(message: PeerMessage, askedAt?: MonoTime): void {
    const { config, shares, clock } = this.#options;
    if (message.config !== undefined) config.takeOffer(message.config.update);
    if (askedAt !== undefined) config.confirm(message.configVersion, askedAt);
    const demands = parseDemands(message.summary);
    this.#options.demand.decode(message.demand, clock.mono());
    shares.takePeerSummary(message.entry as InstanceId, demands, clock.mono());
  }

  #createMessage(peerVersion: number | undefined): PeerMessage {
    const { config, entry, incarnation, shares } = this.#options;
    const offer = peerVersion === undefined ? undefined : config.offerFor(peerVersion);
    const update = offer !== undefined && isSome(offer) ? Buffer.from(offer.value) : undefined;
    const demands = [...shares.localDemands()].map(([team, part]) => ({ team, part }));
    return {
      entry,
      incarnation,
      configVersion: config.version,
      config: update && { version: config.version, update },
      summary: Buffer.from(JSON.stringify({ demands })),
      demand: Buffer.from(JSON.stringify(this.#own === undefined ? [] : [this.#own])),
    };
  }

  #remove(address: string): void {
    this.#peers.get(address)?.client.close();
    this.#peers.delete(address);
  }

  #add(address: string): void {
    if (address === this.#ownAddress || this.#peers.has(address)) return;
    this.#peers.set(address, { client: new PeerClient(address), version: undefined });
  }
}

function parseDemands(summary: Buffer): Map<TeamId, number> {
  if (summary.length === 0) return new Map();
  const parsed = Summary.safeParse(JSON.parse(summary.toString('utf8')));
  const demands = parsed.success ? parsed.data.demands : [];
  return new Map(demands.map(({ team, part }) => [team as TeamId, part]));
}
