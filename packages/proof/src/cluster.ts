/** A small deployment on this machine: stand-ins, entries and agents as processes of their own. */
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

const POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;
const HTTP_OK = 200;

/** One target of a deployment. */
export interface TargetPlan {
  readonly target: string;
  readonly service: string;
  readonly zone: string;
  readonly role: 'engine' | 'plain';
  readonly slots: number;
  readonly settings?: object;
}

/** One entry of a deployment. */
export interface EntryPlan {
  readonly instance: string;
  readonly zone: string;
}

/** What is started. */
export interface ClusterPlan {
  readonly entries: readonly EntryPlan[];
  readonly targets: readonly TargetPlan[];
  readonly declarations: (keys: ReadonlyMap<string, CreatedKey>) => unknown;
  readonly teams: readonly string[];
  readonly seed: number;
  readonly platformSettings?: object;
  readonly entryArgs?: readonly string[];
  readonly agentArgs?: readonly string[];
}

/** A target with its stand-in and its agent. */
export interface RunningTarget {
  readonly plan: TargetPlan;
  readonly backend: Child;
  readonly agent: Child;
  /** What entries connect through, so that connections can be cut or made silent. */
  readonly cutter: Child;
}

/** A running deployment. */
export class Cluster {
  readonly plan: ClusterPlan;

  readonly platform: Child;

  readonly keys: ReadonlyMap<string, CreatedKey>;

  readonly entries = new Map<string, Child>();

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
      await cluster.#declare();
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
    return `http://${this.platform.ready.listening ?? ''}`;
  }

  /** The base URLs of the entries that run. */
  get entryUrls(): string[] {
    return [...this.entries.values()]
      .filter((entry) => !entry.hasEnded)
      .map((entry) => `http://${entry.ready.listening ?? ''}`);
  }

  /** The value of `Authorization` for a team's key. */
  authorization(team: string): string {
    return `Bearer ${this.keys.get(team)?.token ?? ''}`;
  }

  /** Starts a target's stand-in with its agent. */
  async startTarget(plan: TargetPlan): Promise<void> {
    const backend = await this.#startBackend(plan);
    const agent = await this.#startAgent(plan, backend, '127.0.0.1:0');
    const cutter = await Child.start(`cutter-${plan.target}`, 'hibiscus-fakes', [
      'cutter',
      '--target',
      agent.ready.inner ?? '',
    ]);
    this.targets.set(plan.target, { plan, backend, agent, cutter });
    await this.register({
      id: `agent-${plan.target}`,
      role: 'agent',
      zone: plan.zone,
      address: cutter.ready.listening ?? '',
      service: plan.service,
      target: plan.target,
    });
  }

  /** Starts the agent of a target again, at the address that it had. */
  async restartAgent(target: RunningTarget): Promise<void> {
    const agent = await this.#startAgent(
      target.plan,
      target.backend,
      target.agent.ready.inner ?? '127.0.0.1:0',
    );
    this.targets.set(target.plan.target, { ...target, agent });
  }

  async #startBackend(plan: TargetPlan): Promise<Child> {
    return Child.start(plan.target, 'hibiscus-fakes', [
      plan.role,
      '--seed',
      String(this.plan.seed),
      ...(plan.settings ? ['--settings', JSON.stringify(plan.settings)] : []),
    ]);
  }

  async #startAgent(plan: TargetPlan, backend: Child, innerListen: string): Promise<Child> {
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
      `http://${backend.ready.listening ?? ''}`,
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
    await this.register({
      id: plan.instance,
      role: 'entry',
      zone: plan.zone,
      address: entry.ready.inner ?? '',
    });
    return entry;
  }

  /** Tells the instance list of an instance. */
  async register(instance: object): Promise<void> {
    await postJson(`${this.platformUrl}/admin/instances`, instance);
  }

  /** Waits until every running entry has a link to every target. */
  async waitUntilReady(): Promise<void> {
    await waitFor('every entry to be ready', async () => {
      const states = await Promise.all(this.entryUrls.map((url) => getJson(`${url}/status`)));
      return states.every((state) => this.#isReady(state as EntryState));
    });
  }

  /** Stops everything; what is gone already is left alone. */
  async stop(): Promise<void> {
    await Promise.all([...this.entries.values()].map((entry) => entry.stop('SIGKILL')));
    const targets = [...this.targets.values()];
    await Promise.all(
      targets.flatMap(({ agent, backend, cutter }) =>
        [agent, backend, cutter].map((child) => child.stop('SIGKILL')),
      ),
    );
    await this.platform.stop('SIGKILL');
  }

  async #declare(): Promise<void> {
    const declarations = this.plan.declarations(this.keys) as Declarations;
    const payload = { base: NO_VERSION, declarations };
    await postJson(`${this.platformUrl}/v1/streams/config/records`, {
      records: [{ id: randomUUID(), kind: CHANGE_KIND, payload }],
    });
  }

  #isReady(state: EntryState): boolean {
    const up = state.targets.filter((target) => target.up && target.slots > 0);
    return state.ready && up.filter((target) => target.ready).length >= this.targets.size;
  }
}

interface EntryState {
  readonly ready: boolean;
  readonly targets: readonly {
    readonly up: boolean;
    readonly ready: boolean;
    readonly slots: number;
  }[];
}

/**
 * Waits until a condition holds.
 *
 * @param what - the condition in words, for the error
 * @param holds - checks it; a rejection counts as false
 * @param timeoutMs - how long to wait, in milliseconds
 */
export async function waitFor(
  what: string,
  holds: () => Promise<boolean> | boolean,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    const held = await Promise.resolve()
      .then(holds)
      .catch(() => false);
    if (held) return;
    await pause(POLL_MS);
  }
  throw new Error(`Timed out waiting for ${what}.`);
}

/** Waits for a time in milliseconds. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Posts JSON and reads the answer's JSON; fails on any status but 200. */
export async function postJson(url: string, body: object): Promise<unknown> {
  const res = await request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await res.body.text();
  if (res.statusCode !== HTTP_OK) throw new Error(`${url}: ${res.statusCode} ${text}`);
  return text === '' ? undefined : JSON.parse(text);
}

/** Reads JSON. */
export async function getJson(url: string): Promise<unknown> {
  const res = await request(url);
  return res.body.json();
}
