/** A small deployment on this machine: fakes, entries and agents, each as its own process. */
import { randomUUID } from 'node:crypto';

import {
  type CreatedKey,
  type Declarations,
  CHANGE_KIND,
  NO_VERSION,
  createKey,
} from '@hibiscushill/config';
import { request } from 'undici';

import { Child } from './child';

const POLL_INTERVAL_MS = 50;
const READY_TIMEOUT_MS = 30_000;
const HTTP_OK = 200;

/** One target of a deployment. */
export interface TargetPlan {
  readonly target: string;
  readonly service: string;
  readonly zone: string;
  readonly role: 'engine' | 'plain';
  /** How many requests the agent runs at the target at once. */
  readonly slots: number;
  /** Settings of the fake target. */
  readonly settings?: object;
}

/** One entry of a deployment. */
export interface EntryPlan {
  readonly instance: string;
  readonly zone: string;
}

/** What a deployment consists of. */
export interface ClusterPlan {
  readonly entries: readonly EntryPlan[];
  readonly targets: readonly TargetPlan[];
  /** Creates the configuration from the keys, by team. */
  readonly declarations: (keys: ReadonlyMap<string, CreatedKey>) => unknown;
  /** The teams; a key is created for each. */
  readonly teams: readonly string[];
  /** The seed of the fakes. */
  readonly seed: number;
  /** Settings of the fake platform. */
  readonly platformSettings?: object;
  /** Further arguments of every entry; `agentArgs` those of every agent. */
  readonly entryArgs?: readonly string[];
  readonly agentArgs?: readonly string[];
}

/** The processes of a target. */
export interface RunningTarget {
  readonly plan: TargetPlan;
  readonly fakeTarget: Child;
  readonly agent: Child;
  /** The TCP proxy from the entries to the agent; it can reset, silence or block connections. */
  readonly faultProxy: Child;
}

/** A running deployment: a fake platform, entries, and targets with their agents. */
export class Cluster {
  readonly plan: ClusterPlan;

  /** The fakes of the platform's services, in one process. */
  readonly platform: Child;

  /** The key of each team. */
  readonly keys: ReadonlyMap<string, CreatedKey>;

  /** The entries by instance, also those that have ended. */
  readonly entries = new Map<string, Child>();

  /** The targets by id. */
  readonly targets = new Map<string, RunningTarget>();

  private constructor(plan: ClusterPlan, platform: Child) {
    this.plan = plan;
    this.platform = platform;
    this.keys = new Map(plan.teams.map((team) => [team, createKey()]));
  }

  /**
   * Starts a deployment and waits until every entry can serve every target.
   *
   * @param plan - what to start
   * @returns the deployment
   */
  static async start(plan: ClusterPlan): Promise<Cluster> {
    const platform = await Child.start('platform', 'hibiscus-fakes', [
      'platform',
      '--seed',
      String(plan.seed),
      ...(plan.platformSettings ? ['--settings', JSON.stringify(plan.platformSettings)] : []),
    ]);
    const cluster = new Cluster(plan, platform);
    try {
      await cluster.#appendDeclarations();
      await Promise.all(plan.targets.map((target) => cluster.startTarget(target)));
      await Promise.all(plan.entries.map((entry) => cluster.startEntry(entry)));
      await cluster.waitUntilReady();
      return cluster;
    } catch (error) {
      await cluster.stop();
      throw error;
    }
  }

  /** The platform's base URL. */
  get platformUrl(): string {
    return `http://${this.platform.readyLine.listening ?? ''}`;
  }

  /** The base URLs of the entries whose processes have not ended. */
  get entryUrls(): string[] {
    return [...this.entries.values()]
      .filter((entry) => !entry.hasEnded)
      .map((entry) => `http://${entry.readyLine.listening ?? ''}`);
  }

  /** Creates the value of the header `Authorization` from a team's key. */
  createAuthorization(team: string): string {
    return `Bearer ${this.keys.get(team)?.token ?? ''}`;
  }

  /** Starts a fake target, its agent and its proxy; registers the agent at the proxy's address. */
  async startTarget(plan: TargetPlan): Promise<void> {
    const fakeTarget = await this.#startFakeTarget(plan);
    const agent = await this.#startAgent(plan, fakeTarget, '127.0.0.1:0');
    const faultProxy = await Child.start(`proxy-${plan.target}`, 'hibiscus-fakes', [
      'cutter',
      '--target',
      agent.readyLine.inner ?? '',
    ]);
    this.targets.set(plan.target, { plan, fakeTarget, agent, faultProxy });
    await this.registerInstance({
      id: `agent-${plan.target}`,
      role: 'agent',
      zone: plan.zone,
      address: faultProxy.readyLine.listening ?? '',
      service: plan.service,
      target: plan.target,
    });
  }

  /** Starts the agent of a target again, at the same address. */
  async restartAgent(target: RunningTarget): Promise<void> {
    const agent = await this.#startAgent(
      target.plan,
      target.fakeTarget,
      target.agent.readyLine.inner ?? '127.0.0.1:0',
    );
    this.targets.set(target.plan.target, { ...target, agent });
  }

  async #startFakeTarget(plan: TargetPlan): Promise<Child> {
    return Child.start(plan.target, 'hibiscus-fakes', [
      plan.role,
      '--seed',
      String(this.plan.seed),
      ...(plan.settings ? ['--settings', JSON.stringify(plan.settings)] : []),
    ]);
  }

  async #startAgent(plan: TargetPlan, fakeTarget: Child, innerListen: string): Promise<Child> {
    return Child.start(`agent-${plan.target}`, 'hibiscus-agent', [
      '--instance',
      `agent-${plan.target}`,
      '--zone',
      plan.zone,
      '--target',
      plan.target,
      '--service',
      plan.service,
      '--target-url',
      `http://${fakeTarget.readyLine.listening ?? ''}`,
      '--slots',
      String(plan.slots),
      '--instances-url',
      this.platformUrl,
      '--log-url',
      this.platformUrl,
      '--weights-url',
      this.platformUrl,
      '--inner-listen',
      innerListen,
      ...(this.plan.agentArgs ?? []),
    ]);
  }

  /** Starts an entry and registers it. */
  async startEntry(plan: EntryPlan): Promise<Child> {
    const urls = ['log', 'orders', 'usage', 'instances'].flatMap((name) => [
      `--${name}-url`,
      this.platformUrl,
    ]);
    const entry = await Child.start(plan.instance, 'hibiscus-entry', [
      '--instance',
      plan.instance,
      '--zone',
      plan.zone,
      ...urls,
      ...(this.plan.entryArgs ?? []),
    ]);
    this.entries.set(plan.instance, entry);
    await this.registerInstance({
      id: plan.instance,
      role: 'entry',
      zone: plan.zone,
      address: entry.readyLine.inner ?? '',
    });
    return entry;
  }

  /** Adds an instance to the platform's instance list. */
  async registerInstance(instance: object): Promise<void> {
    await postJson(`${this.platformUrl}/admin/instances`, instance);
  }

  /** Waits until every running entry is ready and has links to all targets, which are ready too. */
  async waitUntilReady(): Promise<void> {
    await waitFor('every entry to be ready', async () => {
      const statuses = await Promise.all(this.entryUrls.map((url) => getJson(`${url}/status`)));
      return statuses.every((status) => this.#isReady(status as EntryStatus));
    });
  }

  /** Kills every process that is still running. */
  async stop(): Promise<void> {
    await Promise.all([...this.entries.values()].map((entry) => entry.stop('SIGKILL')));
    const targets = [...this.targets.values()];
    await Promise.all(
      targets.flatMap(({ agent, fakeTarget, faultProxy }) =>
        [agent, fakeTarget, faultProxy].map((child) => child.stop('SIGKILL')),
      ),
    );
    await this.platform.stop('SIGKILL');
  }

  async #appendDeclarations(): Promise<void> {
    const declarations = this.plan.declarations(this.keys) as Declarations;
    const payload = { base: NO_VERSION, declarations };
    await postJson(`${this.platformUrl}/v1/streams/config/records`, {
      records: [{ id: randomUUID(), kind: CHANGE_KIND, payload }],
    });
  }

  #isReady(status: EntryStatus): boolean {
    const linked = status.targets.filter((target) => target.up && target.slots > 0);
    return status.ready && linked.filter((target) => target.ready).length >= this.targets.size;
  }
}

/** The fields of an entry's `/status` that show whether it is ready. */
interface EntryStatus {
  readonly ready: boolean;
  readonly targets: readonly {
    /** Whether the entry has a link to the target's agent. */
    readonly up: boolean;
    readonly ready: boolean;
    readonly slots: number;
  }[];
}

/**
 * Polls a condition until it is met.
 *
 * @param description - the condition in words, for the error
 * @param isMet - checks the condition; a rejection counts as false
 * @param timeoutMs - how long to wait, in milliseconds
 * @throws Error when the condition is not met in that time
 */
export async function waitFor(
  description: string,
  isMet: () => Promise<boolean> | boolean,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    const wasMet = await Promise.resolve()
      .then(isMet)
      .catch(() => false);
    if (wasMet) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`Timed out waiting for ${description}.`);
}

/** Resolves after a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Posts JSON and returns the response's JSON; throws on any status but 200. */
export async function postJson(url: string, body: object): Promise<unknown> {
  const res = await request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await res.body.text();
  if (res.statusCode !== HTTP_OK) throw new Error(`POST ${url}: status ${res.statusCode}: ${text}`);
  return text === '' ? undefined : JSON.parse(text);
}

/** Gets a URL and returns the response's JSON, whatever its status. */
export async function getJson(url: string): Promise<unknown> {
  const res = await request(url);
  return res.body.json();
}
