/** The agents that this entry keeps links to, found in the platform's instance list. */
import type { Clock, InstanceId, Millis, MonoTime, ServiceId, TargetId } from '@hibiscushill/base';
import type { InstanceList, ListedInstance } from '@hibiscushill/log';
import { type Ejector, type TargetView, chooseSubset } from '@hibiscushill/routing';

import type { AgentPeer } from './agent-peer';

const POLL_MS: Millis = 500;

/** For how long the newest agent of each target is remembered, in milliseconds. */
const PEERS_MS: Millis = 25;

/** What a pool needs. */
export interface AgentPoolOptions {
  readonly clock: Clock;
  readonly entry: InstanceId;
  readonly list: InstanceList;
  /** The most targets of a service that one entry keeps links to. */
  readonly subsetSize: number;
  readonly createPeer: (address: string) => AgentPeer;
  readonly createEjector: () => Ejector;
  readonly onEntries: (entries: readonly ListedInstance[]) => void;
  readonly onClosed: (peer: AgentPeer) => void;
}

interface CachedPeers {
  readonly at: MonoTime;
  readonly peers: ReadonlyMap<TargetId, AgentPeer>;
}

function isLeaving(instance: ListedInstance): boolean {
  return instance.state === 'leaving';
}

/** Links to agents, opened and closed as the list changes. */
export class AgentPool {
  readonly #options: AgentPoolOptions;

  readonly #peers = new Map<string, AgentPeer>();

  readonly #newest = new Map<ServiceId, CachedPeers>();

  readonly #ejectors = new Map<ServiceId, Ejector>();

  /** @param options - the list and how peers are made */
  constructor(options: AgentPoolOptions) {
    this.#options = options;
  }

  /** Every peer. */
  get peers(): readonly AgentPeer[] {
    return [...this.#peers.values()];
  }

  /**
   * Follows the list. While it can't be read, the links stay as they are.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, list } = this.#options;
    while (!signal.aborted) {
      const instances = await list.read();
      if (instances.isOk()) this.#take(instances.value);
      await clock.sleep(POLL_MS, signal);
    }
  }

  /** Closes every link. */
  close(): void {
    this.#peers.forEach((peer) => peer.close());
    this.#peers.clear();
  }

  /**
   * Describes a service's targets.
   *
   * @param service - the service
   * @returns a view of each target; of two agents of one target, the newer
   */
  targets(service: ServiceId): TargetView[] {
    const ejector = this.ejector(service);
    const peers = this.#newestPeers(service);
    return [...peers].flatMap(([target, peer]) => peer.view(ejector.isEjected(target)) ?? []);
  }

  /**
   * Finds the agent of a target.
   *
   * @param service - the service
   * @param target - the target
   * @returns the newest agent, or undefined
   */
  find(service: ServiceId, target: TargetId): AgentPeer | undefined {
    return this.#newestPeers(service).get(target);
  }

  /**
   * Tells whether links to a service's targets are being opened again.
   *
   * @param service - the service
   * @returns true when a link is down or an agent not ready, for a reason that may pass at once
   */
  isReconnecting(service: ServiceId): boolean {
    return this.peers.some(
      (peer) => peer.service === service && !peer.load.leaving && !(peer.isUp && peer.load.ready),
    );
  }

  /** The ejector of a service's targets. */
  ejector(service: ServiceId): Ejector {
    const known = this.#ejectors.get(service);
    if (known !== undefined) return known;
    const created = this.#options.createEjector();
    this.#ejectors.set(service, created);
    return created;
  }

  // The choice of a target asks for it at every request; it changes with the list and with hellos.
  #newestPeers(service: ServiceId): ReadonlyMap<TargetId, AgentPeer> {
    const now = this.#options.clock.mono();
    const cached = this.#newest.get(service);
    if (cached !== undefined && now - cached.at < PEERS_MS) return cached.peers;
    const peers = this.#findNewestPeers(service);
    this.#newest.set(service, { at: now, peers });
    this.ejector(service).setTargets([...peers.keys()]);
    return peers;
  }

  #findNewestPeers(service: ServiceId): Map<TargetId, AgentPeer> {
    const newest = new Map<TargetId, AgentPeer>();
    this.#peers.forEach((peer) => {
      if (peer.hello === undefined || peer.service !== service) return;
      const target = peer.hello.target as TargetId;
      const other = newest.get(target)?.hello?.startedMs ?? -1;
      if (peer.hello.startedMs > other) newest.set(target, peer);
    });
    return newest;
  }

  #take(instances: readonly ListedInstance[]): void {
    const agents = instances.filter((instance) => instance.role === 'agent');
    const entries = instances.filter((instance) => instance.role === 'entry');
    const wanted = new Set(this.#chooseAddresses(agents, entries));
    wanted.forEach((address) => this.#open(address));
    const leaving = new Set(agents.filter(isLeaving).map((agent) => agent.address));
    this.#peers.forEach((peer) => peer.setListedLeaving(leaving.has(peer.address)));
    this.#peers.forEach((peer) => {
      // What runs at an agent that left the list is finished before its link closes.
      if (!wanted.has(peer.address) && peer.openAttempts === 0) this.#close(peer);
    });
    this.#options.onEntries(entries);
  }

  #chooseAddresses(
    agents: readonly ListedInstance[],
    entries: readonly ListedInstance[],
  ): string[] {
    const { entry, subsetSize } = this.#options;
    const entryIds = entries.map((instance) => instance.id);
    const services = new Set(agents.map((agent) => agent.service));
    return [...services].flatMap((service) => {
      const own = agents.filter((agent) => agent.service === service);
      const targets = [...new Set(own.flatMap((agent) => agent.target ?? []))];
      const chosen = new Set(chooseSubset(entry, targets, subsetSize, { entries: entryIds }));
      return own
        .filter((agent) => agent.target !== undefined && chosen.has(agent.target))
        .map((agent) => agent.address);
    });
  }

  #open(address: string): void {
    if (this.#peers.has(address)) return;
    const peer = this.#options.createPeer(address);
    this.#peers.set(address, peer);
    void peer.run();
  }

  #close(peer: AgentPeer): void {
    peer.close();
    this.#peers.delete(peer.address);
    this.#options.onClosed(peer);
  }
}
