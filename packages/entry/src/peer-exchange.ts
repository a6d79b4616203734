/** Periodic anti-entropy between entries: exchanges configuration versions and demand. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Millis,
  MonoTime,
  TeamId,
} from '@hibiscushill/base';
import type { ConfigStore } from '@hibiscushill/config';
import type { DemandAggregator, EntryDemand } from '@hibiscushill/control';
import type { ListedInstance } from '@hibiscushill/log';
import { PeerClient, type PeerMessage } from '@hibiscushill/protocol';
import type { ShareTracker } from '@hibiscushill/routing';
import { isSome } from 'fp-ts/Option';
import { z } from 'zod';

import type { EntryDemandMeter } from './demand-meter';

const EXCHANGE_INTERVAL_MS: Millis = 500;

const PeerSummary = z.object({
  demands: z.array(z.object({ team: z.string(), part: z.number() })),
});

/** What entries exchange, and the addresses of the first peers. */
export interface PeerExchangeOptions {
  readonly clock: Clock;
  readonly entry: InstanceId;
  readonly incarnation: IncarnationId;
  readonly config: ConfigStore;
  readonly shares: ShareTracker;
  readonly addresses: readonly string[];
  readonly demand: DemandAggregator;
  readonly demandMeter: EntryDemandMeter;
}

/** Another entry. */
interface KnownPeer {
  readonly client: PeerClient;
  /** The configuration version that the peer reported; undefined before its first reply. */
  readonly version: number | undefined;
}

/** Exchanges messages with every other entry. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;

  readonly #peers = new Map<string, KnownPeer>();

  #ownAddress = '';

  // Every entry exchanges with every other, so each one sends only its own demand.
  #ownDemand: EntryDemand | undefined;

  /** @param options - what is exchanged, and the addresses of the first peers */
  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    options.addresses.forEach((address) => this.#add(address));
  }

  /** The number of known peers. */
  get size(): number {
    return this.#peers.size;
  }

  /** Sets the address of this entry, which is not a peer of itself. */
  setOwnAddress(address: string): void {
    this.#ownAddress = address;
    this.#peers.delete(address);
  }

  /** Applies the entries of the instance list: the live ones are the peers. */
  setEntries(entries: readonly ListedInstance[]): void {
    const live = entries.filter((entry) => entry.state === 'live');
    const addresses = new Set([...this.#options.addresses, ...live.map((entry) => entry.address)]);
    addresses.delete(this.#ownAddress);
    addresses.forEach((address) => this.#add(address));
    [...this.#peers.keys()]
      .filter((address) => !addresses.has(address))
      .forEach((address) => this.#remove(address));
    this.#options.shares.setEntries(live.map((entry) => entry.id));
  }

  /**
   * Exchanges with every peer at each interval.
   *
   * @param signal - stops the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#updateOwnDemand();
      await Promise.all([...this.#peers.values()].map((peer) => this.#exchange(peer)));
      await this.#options.clock.sleep(EXCHANGE_INTERVAL_MS, signal);
    }
  }

  /**
   * Handles a peer's message.
   *
   * @param message - the peer's message, which is applied
   * @returns this entry's message
   */
  handleMessage(message: PeerMessage): PeerMessage {
    this.#applyMessage(message);
    return this.#createMessage(message.configVersion);
  }

  #updateOwnDemand(): void {
    const { demand, demandMeter, clock } = this.#options;
    this.#ownDemand = demandMeter.takeDemand();
    demand.merge(this.#ownDemand, clock.mono());
  }

  async #exchange(peer: KnownPeer): Promise<void> {
    const askedAt = this.#options.clock.mono();
    const reply = await peer.client.exchange(this.#createMessage(peer.version));
    if (reply.isErr()) return;
    Object.assign(peer, { version: reply.value.configVersion });
    this.#applyMessage(reply.value, askedAt);
  }

  #applyMessage(message: PeerMessage, askedAt?: MonoTime): void {
    const { config, shares, clock } = this.#options;
    if (message.config !== undefined) config.applyOffer(message.config.update);
    if (askedAt !== undefined) config.confirm(message.configVersion, askedAt);
    const demands = parseDemands(message.summary);
    this.#options.demand.mergeEncoded(message.demand, clock.mono());
    shares.recordPeerDemand(message.entry as InstanceId, demands, clock.mono());
  }

  #createMessage(peerVersion: number | undefined): PeerMessage {
    const { config, entry, incarnation, shares } = this.#options;
    const offer = peerVersion === undefined ? undefined : config.createOffer(peerVersion);
    const update = offer !== undefined && isSome(offer) ? Buffer.from(offer.value) : undefined;
    const demands = [...shares.localDemands()].map(([team, part]) => ({ team, part }));
    return {
      entry,
      incarnation,
      configVersion: config.version,
      config: update && { version: config.version, update },
      summary: Buffer.from(JSON.stringify({ demands })),
      demand: Buffer.from(JSON.stringify(this.#ownDemand === undefined ? [] : [this.#ownDemand])),
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
  const parsed = PeerSummary.safeParse(JSON.parse(summary.toString('utf8')));
  const demands = parsed.success ? parsed.data.demands : [];
  return new Map(demands.map(({ team, part }) => [team as TeamId, part]));
}
