/** Agents at the other end of real links, an instance list, and the parts of an entry. */
import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import {
  type InstanceId,
  Metrics,
  type Millis,
  type MonoTime,
  type RequestId,
  type SampleId,
  type ServiceId,
  type StepId,
  SystemClock,
  type TargetId,
  type TeamId,
  type TrainerId,
  type ZoneId,
  createRandomSource,
} from '@hibiscushill/base';
import { ConfigStore, ConfigSync } from '@hibiscushill/config';
import { InstanceList } from '@hibiscushill/log';
import {
  type EntryFramePayload,
  LinkServer,
  type LinkServerHandlers,
  type LinkSession,
  type Load,
  type Run,
  type WeightOrder,
} from '@hibiscushill/protocol';
import type { SampleSpec } from '@hibiscushill/rollout';
import { HedgePolicy, OutlierEjector } from '@hibiscushill/routing';
import { type Option, some } from 'fp-ts/Option';
import { expect, vi } from 'vitest';
import xxhash, { type XXHashAPI } from 'xxhash-wasm';

import { AgentClient } from '../src/agent-client';
import { AgentPool } from '../src/agent-pool';
import type { DispatchRequest } from '../src/dispatch';
import { RequestDispatcher } from '../src/dispatcher';
import { LeavingNotices } from '../src/leaving-notices';
import { LinkWeightOrderSender } from '../src/link-weight-order-sender';
import { createPolicies } from '../src/policies';
import { LinkSampleRunner } from '../src/sample-runner';
import type { EntrySettings } from '../src/settings';

export const SERVICE = 'desk' as ServiceId;
export const TRAINER = 'rinds' as TrainerId;

const HEX_RADIX = 16;
const ENTRY = 'e1' as InstanceId;
const BODY = Buffer.from(
  `${JSON.stringify({ i: 0, t: 'a', v: 0 })}\n${JSON.stringify({ done: true, tokens: 1 })}\n`,
);

/** What a fake agent reports of its target's load. */
export const SERVING: Load = {
  running: 0,
  queued: 0,
  queuedTokens: 0,
  slots: 8,
  leaving: false,
  served: 0,
  weights: [{ trainer: TRAINER, version: 0 }],
  ready: true,
};

/** What a fake agent does with a run; it answers at once by default. */
export type RunHandler = (session: LinkSession, run: Run) => void;

/** What identifies a fake agent. */
export interface FakeAgentOptions {
  readonly target: string;
  readonly incarnation: string;
  readonly startedMs?: number;
  /** The port to listen on; any free one by default. */
  readonly port?: number;
  /** The configuration that the agent offers to entries. */
  readonly config?: ConfigStore;
}

/** An agent in this process. Its load reports never say that it is leaving. */
export class FakeAgent implements LinkServerHandlers {
  leavingAgeMs: Millis | undefined;

  listedState: 'live' | 'leaving' = 'live';

  readonly runs: Run[] = [];

  readonly orders: WeightOrder[] = [];

  onRun: RunHandler = (session, run) => this.respond(session, run);

  readonly target: TargetId;

  readonly #options: FakeAgentOptions;

  readonly #sync: ConfigSync | undefined;

  readonly #server: LinkServer;

  readonly #hash: XXHashAPI;

  #port = 0;

  private constructor(options: FakeAgentOptions, hash: XXHashAPI) {
    const { config, target, incarnation, startedMs = 0 } = options;
    this.target = target as TargetId;
    this.#options = options;
    this.#hash = hash;
    this.#sync = config && new ConfigSync(config);
    const hello = { target, incarnation, startedMs, service: SERVICE, leaving: false };
    this.#server = new LinkServer({
      clock: new SystemClock(),
      handlers: this,
      hello: () => ({ ...hello, availabilityZone: 'ba', configVersion: config?.version ?? -1 }),
    });
  }

  static async start(options: FakeAgentOptions): Promise<FakeAgent> {
    const agent = new FakeAgent(options, await xxhash());
    agent.#port = await agent.#server.listen(`127.0.0.1:${options.port ?? 0}`);
    return agent;
  }

  get port(): number {
    return this.#port;
  }

  get incarnation(): string {
    return this.#options.incarnation;
  }

  get listed() {
    const { target, incarnation } = this.#options;
    const address = `127.0.0.1:${this.#port}`;
    const ids = { id: `${target}/${incarnation}`, target, service: SERVICE };
    return { ...ids, address, role: 'agent', zone: 'ba', state: this.listedState, startedAt: 0 };
  }

  /** Sends frames that say that the target is leaving; others around them don't. */
  say(send: () => void, ageMs: Millis = 7): void {
    this.leavingAgeMs = ageMs;
    send();
    this.leavingAgeMs = undefined;
  }

  respond(session: LinkSession, { attempt }: Run): void {
    const digest = this.#hash.create64().update(BODY).digest().toString(HEX_RADIX);
    const end = { attempt, count: 1, digest, tokens: 1, segments: [], code: 0, detail: '' };
    session.send({ $case: 'head', value: { attempt, status: 200, headers: [] } });
    session.send({ $case: 'chunk', value: { attempt, seq: 0, data: BODY } });
    session.send({ $case: 'end', value: end });
  }

  onOpen(session: LinkSession): void {
    session.send({ $case: 'load', value: SERVING });
  }

  onFrame(session: LinkSession, frame: EntryFramePayload): void {
    if (frame.$case === 'configPull') this.#sync?.sendOffer(session, frame.value.have);
    if (frame.$case === 'run') {
      this.runs.push(frame.value);
      this.onRun(session, frame.value);
    }
    if (frame.$case === 'weightOrder') {
      const { order, trainer, version, fencing: highestFencing } = frame.value;
      const value = { order, trainer, version, highestFencing, loading: false };
      this.orders.push(frame.value);
      session.send({ $case: 'weightReport', value: { ...value, code: 0, detail: '' } });
    }
  }

  onConfigVersion(): void {
    // The configuration of a fake agent doesn't change.
  }

  onClose(): void {
    // A fake agent keeps no state of an entry.
  }

  close(): void {
    this.#server.close();
  }
}

/** The platform's instance list, which can be cut off. */
export class ListServer {
  readonly #server: Server;

  agents: readonly FakeAgent[] = [];

  readCount = 0;

  constructor() {
    this.#server = createServer((_, res) => {
      this.readCount += 1;
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(JSON.stringify({ instances: this.agents.map((agent) => agent.listed) }));
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Answers no read any more. */
  async cut(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }
}

/** Hedges every request after a fixed time, without a budget. */
class FixedHedgePolicy extends HedgePolicy {
  readonly #delayMs: Millis;

  constructor(delayMs: Millis) {
    super();
    this.#delayMs = delayMs;
  }

  override delayFor(): Option<Millis> {
    return some(this.#delayMs);
  }

  override tryStart(): boolean {
    return true;
  }

  override recordLatency(): void {
    // The delay doesn't depend on it.
  }
}

/** The parts of an entry that send work to agents; it has no log. */
export class TestEntry {
  readonly clock = new SystemClock();

  readonly metrics = new Metrics({ prefix: 'test' });

  readonly list = new ListServer();

  readonly pool: AgentPool;

  readonly dispatcher: RequestDispatcher;

  readonly runner: LinkSampleRunner;

  readonly weightOrders: LinkWeightOrderSender;

  readonly #stop = new AbortController();

  private constructor(instancesUrl: string, hash: XXHashAPI, list: ListServer, hedgeMs?: Millis) {
    const { clock, metrics } = this;
    const random = createRandomSource();
    const cfg = { instance: ENTRY, admission: 'open', targetPolicy: 'random', hedging: 'none' };
    const policies = createPolicies(cfg as EntrySettings, clock, random);
    const sync = new ConfigSync(new ConfigStore({ clock }));
    const leaving = new LeavingNotices(metrics);
    const ignore = (): void => undefined;
    this.list = list;
    this.pool = new AgentPool({
      clock,
      entry: ENTRY,
      list: new InstanceList({ url: instancesUrl }),
      subsetSize: 64,
      createClient: (address) =>
        new AgentClient({
          ...{ address, clock, random, hash, sync, leaving },
          hello: () => ({ entry: ENTRY, incarnation: 'e1/1', configVersion: -1 }),
          onUsage: ignore,
          onWeightReport: (report) => this.weightOrders.handleReport(report),
          onLoad: ignore,
          onConnectionLost: ignore,
        }),
      createEjector: () => new OutlierEjector({ clock }),
      onEntries: ignore,
      onClosed: ignore,
    });
    this.dispatcher = new RequestDispatcher({
      ...{ clock, metrics, pool: this.pool, zone: 'ba' as ZoneId },
      targetPolicy: policies.target,
      retryPolicy: policies.retry,
      retryBudget: policies.retryBudget,
      hedgePolicy: hedgeMs === undefined ? policies.hedge : new FixedHedgePolicy(hedgeMs),
      configVersion: () => 0,
    });
    this.runner = new LinkSampleRunner({
      ...{ clock, dispatcher: this.dispatcher, pool: this.pool },
      service: () => SERVICE,
      onServed: ignore,
    });
    this.weightOrders = new LinkWeightOrderSender({
      ...{ clock, pool: this.pool },
      findService: () => SERVICE,
    });
    void this.pool.run(this.#stop.signal);
  }

  /** Starts an entry, which finds the agents in a list, and waits for its links. */
  static async start(agents: readonly FakeAgent[], hedgeMs?: Millis): Promise<TestEntry> {
    const list = new ListServer();
    list.agents = agents;
    const entry = new TestEntry(await list.listen(), await xxhash(), list, hedgeMs);
    await vi.waitFor(() =>
      agents.forEach((agent) => {
        const client = entry.pool.clients.find(
          ({ hello }) => hello?.incarnation === agent.incarnation,
        );
        expect(client?.load.ready).toBe(true);
      }),
    );
    return entry;
  }

  /** Dispatches a request, and drops the response once its head has arrived. */
  async send(changes: Partial<DispatchRequest> = {}) {
    const response = await this.dispatcher.dispatch({ ...this.createRequest(), ...changes });
    if (response.isOk()) response.value.attempt.acknowledge(false);
    return response;
  }

  /** Dispatches requests one after the other; each must be answered. */
  async sendMany(count: number): Promise<void> {
    for (let i = 0; i < count; i += 1) expect((await this.send()).isOk()).toBe(true);
  }

  close(): void {
    this.#stop.abort();
    this.pool.close();
  }

  createRequest(): DispatchRequest {
    return {
      request: 'r1' as RequestId,
      service: SERVICE,
      team: 'valley' as TeamId,
      key: '',
      isPublic: true,
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      isIdempotent: true,
      isModel: false,
      isBillable: false,
      isHedgeable: true,
      retain: false,
      idempotencyKey: '',
      deadline: (this.clock.mono() + 20_000) as MonoTime,
      costTokens: 1,
      priority: 1,
      signal: new AbortController().signal,
    };
  }
}

/** A sample of the trainer. */
export const SAMPLE: SampleSpec = {
  trainer: TRAINER,
  team: 'valley' as TeamId,
  service: SERVICE,
  step: 's1' as StepId,
  group: 'g1',
  index: 0,
  sample: 'rinds/s1/g1/0' as SampleId,
  prompt: 'p',
  maxTokens: 1,
  priority: 1,
};
