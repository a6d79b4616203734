/** The clients of the agents in the platform's instance list. */
import type { Clock, InstanceId, Millis, MonoTime, ServiceId, TargetId } from '@hibiscushill/base';
import type { InstanceList, ListedInstance } from '@hibiscushill/log';
import { type OutlierEjector, type TargetView, chooseTargetSubset } from '@hibiscushill/routing';

import type { AgentClient } from './agent-client';

const LIST_POLL_INTERVAL_MS: Millis = 500;

/** How long the newest agent of each target is cached. */
const NEWEST_CACHE_MS: Millis = 25;

/** The instance list, and how clients and ejectors are created. */
export interface AgentPoolOptions {
  readonly clock: Clock;
  readonly entry: InstanceId;
  readonly list: InstanceList;
  /** The maximum number of targets of a service that one entry keeps links to. */
  readonly subsetSize: number;
  readonly createClient: (address: string) => AgentClient;
  readonly createEjector: () => OutlierEjector;
  /** Called with the listed entries after each read of the list. */
  readonly onEntries: (entries: readonly ListedInstance[]) => void;
  /** Called after the link to an agent that is no longer listed was closed. */
  readonly onClosed: (client: AgentClient) => void;
}

/** The newest client of each target of a service, and when it was determined. */
interface CachedClients {
  readonly at: MonoTime;
  readonly byTarget: ReadonlyMap<TargetId, AgentClient>;
}

function isLeaving(instance: ListedInstance): boolean {
  return instance.state === 'leaving';
}

/** Opens and closes links to agents as the instance list changes. */
export class AgentPool {
  readonly #options: AgentPoolOptions;

  // By address.
  readonly #clients = new Map<string, AgentClient>();

  readonly #newestByService = new Map<ServiceId, CachedClients>();

  readonly #ejectors = new Map<ServiceId, OutlierEjector>();

  /** @param options - the instance list, and how clients are created */
  constructor(options: AgentPoolOptions) {
    this.#options = options;
  }

  /** The client of every agent that this entry keeps a link to. */
  get clients(): readonly AgentClient[] {
    return [...this.#clients.values()];
  }

  /**
   * Reads the instance list periodically and applies it. When it can't be read, the links stay.
   *
   * @param signal - stops the task
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, list } = this.#options;
    while (!signal.aborted) {
      const instances = await list.read();
      if (instances.isOk()) this.#applyInstances(instances.value);
      await clock.sleep(LIST_POLL_INTERVAL_MS, signal);
    }
  }

  /** Closes every link. */
  close(): void {
    this.#clients.forEach((client) => client.close());
    this.#clients.clear();
  }

  /**
   * Lists a service's targets.
   *
   * @param service - the service
   * @returns a view of each target; if a target has two agents, of the one that started last
   */
  listTargets(service: ServiceId): TargetView[] {
    const ejector = this.ejectorOf(service);
    const clients = this.#newestClients(service);
    return [...clients].flatMap(
      ([target, client]) => client.createTargetView(ejector.isEjected(target)) ?? [],
    );
  }

  /**
   * Finds the client of a target's agent.
   *
   * @param service - the service
   * @param target - the target
   * @returns the client of the agent that started last, or undefined
   */
  findClient(service: ServiceId, target: TargetId): AgentClient | undefined {
    return this.#newestClients(service).get(target);
  }

  /**
   * Checks whether any agent of a service is expected to become available again soon.
   *
   * @param service - the service
   * @returns true when a link is down or an agent not ready, though its target is not leaving
   */
  isReconnecting(service: ServiceId): boolean {
    return this.clients.some(
      (client) =>
        client.service === service &&
        !client.isLeaving &&
        !(client.isConnected && client.load.ready),
    );
  }

  /** Returns the outlier ejector of a service's targets, and creates it on first use. */
  ejectorOf(service: ServiceId): OutlierEjector {
    const known = this.#ejectors.get(service);
    if (known !== undefined) return known;
    const created = this.#options.createEjector();
    this.#ejectors.set(service, created);
    return created;
  }

  // Cached because every request needs it, and only the list and hellos change it.
  #newestClients(service: ServiceId): ReadonlyMap<TargetId, AgentClient> {
    const now = this.#options.clock.mono();
    const cached = this.#newestByService.get(service);
    if (cached !== undefined && now - cached.at < NEWEST_CACHE_MS) return cached.byTarget;
    const byTarget = this.#findNewestClients(service);
    this.#newestByService.set(service, { at: now, byTarget });
    this.ejectorOf(service).setTargets([...byTarget.keys()]);
    return byTarget;
  }

  #findNewestClients(service: ServiceId): Map<TargetId, AgentClient> {
    const newest = new Map<TargetId, AgentClient>();
    this.#clients.forEach((client) => {
      if (client.hello === undefined || client.service !== service) return;
      const target = client.hello.target as TargetId;
      const knownStartMs = newest.get(target)?.hello?.startedMs ?? -1;
      if (client.hello.startedMs > knownStartMs) newest.set(target, client);
    });
    return newest;
  }

  #applyInstances(instances: readonly ListedInstance[]): void {
    const agents = instances.filter((instance) => instance.role === 'agent');
    const entries = instances.filter((instance) => instance.role === 'entry');
    const addresses = new Set(this.#chooseAddresses(agents, entries));
    addresses.forEach((address) => this.#open(address));
    const leaving = new Set(agents.filter(isLeaving).map((agent) => agent.address));
    this.#clients.forEach((client) => client.setListedLeaving(leaving.has(client.address)));
    this.#clients.forEach((client) => {
      // The link of an agent that is no longer listed stays open until its attempts have ended.
      if (!addresses.has(client.address) && client.openAttemptCount === 0) this.#close(client);
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
      const serviceAgents = agents.filter((agent) => agent.service === service);
      const targets = [...new Set(serviceAgents.flatMap((agent) => agent.target ?? []))];
      const chosen = new Set(chooseTargetSubset(entry, targets, subsetSize, { entries: entryIds }));
      return serviceAgents
        .filter((agent) => agent.target !== undefined && chosen.has(agent.target))
        .map((agent) => agent.address);
    });
  }

  #open(address: string): void {
    if (this.#clients.has(address)) return;
    const client = this.#options.createClient(address);
    this.#clients.set(address, client);
    void client.run();
  }

  #close(client: AgentClient): void {
    client.close();
    this.#clients.delete(client.address);
    this.#options.onClosed(client);
  }
}
