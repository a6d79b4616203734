/** A small deployment: the project's program as separate processes between stand-ins. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http, { type IncomingHttpHeaders } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { Replica, type ReplicaOptions } from './replica-3';
import { Store, type StoreLimits, listen, readBody } from './store-3';

export const HOST = 'ficu95.example';
export const KEY = '3fexd9dnn2ctnfzs989a';
export const MODEL = 'daka510000';
export const MODEL_SERVICE = 'tasting-models';
export const PLAIN_SERVICE = 'sales-desk';

const TENANT = 'hule930';
/** The path prefixes of the two routes of batch submissions. */
export const FIRST_LOTS = '/pule252/';
export const SECOND_LOTS = '/vuto388/';

const STORE_LIMITS: StoreLimits = {
  retentionS: 300,
  partMb: 200,
  recordBytes: 262_144,
  callBytes: 2_097_152,
};
const BOUNDS = {
  contactMs: 3_000,
  ackMs: 4_000,
  drainMs: 2_000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  revokeMs: 5_000,
  strictRevoke: true,
  leaseMs: 3_000,
  usageWindowS: 5,
  usageLateS: 10,
  recoveryS: 12,
  statusS: 120,
  cancelMs: 3_000,
  settleMs: 1_000,
};
const HEARTBEAT_MS = 1_200;
const FIRST_PORT = 10_000;
const PORTS_PER_DRIVER = 16;
const DRIVERS = 1_300;
let nextPort = FIRST_PORT + (process.pid % DRIVERS) * PORTS_PER_DRIVER;
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/** Collects the lines of record.txt, each with the time since the start in seconds. */
export class Recorder {
  readonly #startedAt = Date.now();

  readonly #lines: string[] = [];

  readonly record = (line: string): void => {
    const seconds = ((Date.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} ${line}`);
  };

  save(path: string): void {
    writeFileSync(path, `${this.#lines.join('\n')}\n`);
  }
}

/** A request of a client. */
export interface Call {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
}

/** An answer; status 0 without one. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether it ended as its framing says. */
  readonly isWhole: boolean;
}

/** Sends one request on a channel of its own, with the key of the tenant. */
export function call(address: string, request: Call): Promise<Answer> {
  const [host, port] = address.split(':');
  const { method = 'GET', path, headers = {}, body, timeoutMs = 10_000 } = request;
  return new Promise((resolve) => {
    const req = http.request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: { Host: HOST, Authorization: `Bearer ${KEY}`, ...headers },
    });
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    const end = (answer: Answer): void => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on('error', () => end({ status: 0, headers: {}, body: '', isWhole: false }));
    req.on('response', (res) => {
      const parts: Buffer[] = [];
      res.on('data', (part: Buffer) => parts.push(part));
      res.on('error', () => undefined);
      res.on('close', () => {
        const text = Buffer.concat(parts).toString();
        const { statusCode: status = 0, headers: received, complete: isWhole } = res;
        end({ status, headers: received, body: text, isWhole });
      });
    });
    req.end(body);
  });
}

/** A result of a batch submission. */
export interface ItemResult {
  readonly id: string;
  readonly state: string;
  readonly output: string;
}

/** Submits a batch of items, four of which share a group. */
export function submit(
  address: string,
  id: string,
  count: number,
  prefix = FIRST_LOTS,
): Promise<Answer> {
  const items = Array.from({ length: count }, (_, index) => ({
    id: `${id}-${index}`,
    path: `${prefix}3/91c4`,
    headers: { Model: MODEL, 'Token-Counts': '540,400' },
    body: Buffer.from(`prompt ${index}`).toString('base64'),
    tokens: 940,
    group: `g${Math.floor(index / 4)}`,
  }));
  return call(address, {
    method: 'POST',
    path: `${prefix}7c41e0`,
    headers: { 'Attempt-Id': id, 'Content-Type': 'application/json' },
    body: JSON.stringify({ step: 0, model: MODEL, minVersion: 1, desired: count / 4, items }),
  });
}

/** Reads a page of results; the results are undefined unless it is a 200. */
export async function readResults(
  address: string,
  id: string,
  after: number,
): Promise<{ readonly status: number; readonly results: readonly ItemResult[] | undefined }> {
  const { status, body } = await call(address, { path: `/-/lots/${id}?after=${after}` });
  const page = status === 200 ? (JSON.parse(body) as { results: ItemResult[] }) : undefined;
  return { status, results: page?.results };
}

/** Reads all results from the first position on. */
export async function readAllResults(address: string, id: string): Promise<ItemResult[]> {
  const all: ItemResult[] = [];
  for (;;) {
    const { results = [] } = await readResults(address, id, all.length);
    if (results.length === 0) return all;
    all.push(...results);
  }
}

/** Where a program runs, and what stands around it. */
interface ProgramOptions {
  readonly name: string;
  readonly zone: string;
  readonly store: Store;
  readonly cloud: string;
  readonly bounds: Readonly<Record<string, unknown>>;
  readonly record: (line: string) => void;
}

/** One process of the project's program. */
export class Program {
  readonly name: string;

  front = '';

  readonly #options: ProgramOptions;

  #ready = '';

  #metricsPort = 0;

  #directory = '';

  #child: ChildProcess | undefined;

  #exited: Promise<unknown> = Promise.resolve();

  constructor(options: ProgramOptions) {
    this.#options = options;
    this.name = options.name;
  }

  get #settingsPath(): string {
    return join(this.#directory, 'local.conf');
  }

  /** Writes the settings file, as the platform does. */
  async prepare(): Promise<void> {
    const { name, zone, store, cloud, bounds } = this.#options;
    const [front, ready, relay, metrics] = [
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
    ];
    this.front = `127.0.0.1:${front}`;
    this.#ready = `127.0.0.1:${ready}`;
    this.#metricsPort = metrics;
    this.#directory = mkdtempSync(join(tmpdir(), 'review-3-'));
    const lines = [
      `node=${name}`,
      'role=node',
      'machineClass=edge',
      'serves=edge',
      'ip=127.0.0.1',
      `zone=${zone}`,
      'region=viti-levu',
      ...['ba', 'nadi', 'suva'].map((one) => `zones.${one}=viti-levu`),
      `listen.front=${this.front}`,
      `listen.ready=${this.#ready}`,
      `internalPorts=${relay},${relay}`,
      'limits.memoryMb=380',
      'limits.maxFds=8200',
      ...Object.entries({ ...BOUNDS, ...bounds }).map(([key, value]) => `bounds.${key}=${value}`),
      `platform.address=${store.address}`,
      ...Object.entries(store.limits).map(([key, value]) => `platform.${key}=${value}`),
      `cloud.address=${cloud}`,
      'cloud.duties=metering',
    ];
    writeFileSync(this.#settingsPath, lines.join('\n'));
  }

  async start(): Promise<void> {
    const [command = '', ...args] = readCommand(this.#metricsPort);
    const { PATH, HOME } = process.env;
    const env = { PATH, HOME, ROARR_LOG: 'true', HIBISCUSHILL_NODE_FILE: this.#settingsPath };
    const child = spawn(command, args, { env, stdio: 'ignore' });
    this.#child = child;
    this.#exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    this.#options.record(`${this.name} starts`);
    const isReady = await waitUntil(async () => {
      const { status } = await call(this.#ready, { path: '/-/ready', timeoutMs: 1_000 });
      return status === 200;
    }, READY_TIMEOUT_MS);
    if (!isReady) throw new Error(`${this.name} did not become ready`);
    this.#options.record(`${this.name} is ready`);
  }

  /** Kills the process and waits until it has ended. */
  async kill(): Promise<void> {
    const child = this.#child;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    this.#options.record(`${this.name} is killed`);
    child.kill('SIGKILL');
    await this.#exited;
  }

  remove(): void {
    if (this.#directory) rmSync(this.#directory, { recursive: true, force: true });
  }
}

/** The registration of a replica in the store. */
export class Registration {
  readonly #write: (registration: unknown) => void;

  readonly #fields: Readonly<Record<string, unknown>>;

  readonly #born = Date.now();

  #beat = 0;

  #isDraining = false;

  readonly #timer: NodeJS.Timeout;

  constructor(write: (registration: unknown) => void, fields: Record<string, unknown>) {
    this.#write = write;
    this.#fields = fields;
    this.#send();
    this.#timer = setInterval(() => this.#send(), HEARTBEAT_MS);
  }

  /** Reports that the replica is draining. */
  drain(): void {
    this.#isDraining = true;
    this.#send();
  }

  /** Sends no further heartbeat. */
  end(): void {
    clearInterval(this.#timer);
  }

  /** Removes the entry, as the platform does with that of a replica that has left. */
  remove(): void {
    this.end();
    this.#write(undefined);
  }

  #send(): void {
    this.#beat += 1;
    const state = this.#isDraining ? 'draining' : 'ready';
    this.#write({ ...this.#fields, state, coldLeftMs: 0, seq: this.#beat, born: this.#born });
  }
}

/** A replica that runs as a process. */
export interface ReplicaProcess {
  readonly id: string;
  readonly registration: Registration;
  readonly kill: () => void;
}

/** What differs from the deployment of the pages. */
export interface DeploymentOptions {
  readonly storeLimits?: Partial<StoreLimits>;
  readonly bounds?: Readonly<Record<string, unknown>>;
}

/** The store, the platform's interface, replicas and programs of one case. */
export class Deployment {
  readonly record: (line: string) => void;

  readonly store: Store;

  /** The machine that sent the newest usage report, which holds the duty. */
  holder: string | undefined;

  readonly #bounds: Readonly<Record<string, unknown>>;

  readonly #programs: Program[] = [];

  readonly #ends: (() => void)[] = [];

  #cloudAddress = '';

  readonly #cloud = http.createServer((req, res) => {
    this.holder = String(req.headers['duty-holder']);
    void readBody(req).then(
      () => res.writeHead(200).end(),
      () => undefined,
    );
  });

  constructor(record: (line: string) => void, options: DeploymentOptions) {
    this.record = record;
    this.store = new Store({ ...STORE_LIMITS, ...options.storeLimits });
    this.#bounds = options.bounds ?? {};
  }

  async start(): Promise<void> {
    await this.store.start();
    this.#cloudAddress = await listen(this.#cloud);
    this.writeConfig(1);
  }

  /** Starts a replica in this process and registers it. */
  async addReplica(service: string, options: ReplicaOptions): Promise<Replica> {
    const replica = new Replica(options);
    replica.record = this.record;
    await replica.start();
    const registration = this.#register(service, options, replica.address);
    this.#ends.push(() => {
      registration.end();
      replica.stop();
    });
    return replica;
  }

  /** Starts a replica in a process of its own and registers it. */
  async addReplicaProcess(service: string, options: ReplicaOptions): Promise<ReplicaProcess> {
    const path = new URL('./replica-process-3.mjs', import.meta.url).pathname;
    const child = spawn(process.execPath, [path, JSON.stringify(options)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const address = await new Promise<string>((resolve) => {
      child.stdout.once('data', (line: Buffer) => resolve(line.toString().trim()));
    });
    child.stdout.on('data', (lines: Buffer) => {
      lines.toString().trim().split('\n').forEach(this.record);
    });
    const registration = this.#register(service, options, address);
    const kill = (): void => {
      child.kill('SIGKILL');
    };
    this.#ends.push(() => {
      registration.end();
      kill();
    });
    return { id: options.id, registration, kill };
  }

  async addProgram(name: string, zone: string): Promise<Program> {
    const program = new Program({
      name,
      zone,
      store: this.store,
      cloud: this.#cloudAddress,
      bounds: this.#bounds,
      record: this.record,
    });
    this.#programs.push(program);
    await program.prepare();
    await program.start();
    return program;
  }

  /** Finds the program that holds the duty; waits for its first usage report. */
  async findHolder(): Promise<Program> {
    const isKnown = await waitUntil(() => this.holder !== undefined, READY_TIMEOUT_MS);
    const program = this.#programs.find(({ name }) => name === this.holder);
    if (!isKnown || !program) throw new Error('no program has reported usage');
    return program;
  }

  async stop(): Promise<void> {
    await Promise.all(this.#programs.map((program) => program.kill()));
    this.#programs.forEach((program) => program.remove());
    this.#ends.forEach((end) => end());
    this.store.stop();
    this.#cloud.close();
    this.#cloud.closeAllConnections();
  }

  #register(service: string, options: ReplicaOptions, address: string): Registration {
    const models = options.models.map((name) => ({ name, version: 1, adapters: [] }));
    return new Registration(
      (registration) => this.store.writeKey('keyed.servers', options.id, registration),
      { service, address, zone: 'ba', version: 'v1', slots: options.slots, stage: 'both', models },
    );
  }

  /** Writes a version of the configuration, as the operator does, without one of the routes. */
  writeConfig(version: number, removedPrefix?: string): void {
    const route = { host: HOST, priority: 0, maxAttempts: 3, public: false };
    const models = { ...route, service: MODEL_SERVICE, timeoutMs: 10_000, goalMs: 400 };
    const plain = { ...route, service: PLAIN_SERVICE, timeoutMs: 10_000, goalMs: 4_000 };
    const lots = {
      ...models,
      kind: 'rollout',
      sticky: true,
      resultTargetMs: 60_000,
      retentionS: 110,
    };
    this.store.writeKey('keyed.op', 'config', {
      version,
      routes: [
        { ...lots, name: 'r-lots-1', pathPrefix: FIRST_LOTS },
        { ...lots, name: 'r-lots-2', pathPrefix: SECOND_LOTS },
        { ...models, name: 'r-streams', pathPrefix: '/vedo811/', kind: 'stream', resumable: true },
        { ...plain, name: 'r-plain', pathPrefix: '/lohu930/', kind: 'idempotent' },
      ].filter(({ pathPrefix }) => pathPrefix !== removedPrefix),
      services: [
        {
          name: MODEL_SERVICE,
          healthPath: '/healthz',
          maxConns: 130,
          engine: { slots: 8, models: [{ name: MODEL }] },
        },
        { name: PLAIN_SERVICE, healthPath: '/healthz', maxConns: 96 },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 33_554_432,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1 }],
    });
  }
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const endsAt = Date.now() + timeoutMs;
  while (!(await check())) {
    if (Date.now() > endsAt) return false;
    await sleep(POLL_MS);
  }
  return true;
}

/** Plays a case; returns what broke the rule, a text each. */
export type Play = (deployment: Deployment, hasTrouble: boolean) => Promise<string[]>;

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
 * `TROUBLE=0` there is no disruption. The first argument is the path of record.txt.
 */
export async function runCase(options: DeploymentOptions, play: Play): Promise<void> {
  const recorder = new Recorder();
  const hasTrouble = process.env.TROUBLE !== '0';
  recorder.record(hasTrouble ? 'with the disruption' : 'without the disruption');
  const deployment = new Deployment(recorder.record, options);
  let exitCode = 2;
  let outcome = '';
  // A case that is stopped early, or fails unexpectedly, ends its processes as well.
  ['SIGINT', 'SIGTERM', 'uncaughtException', 'unhandledRejection'].forEach((event) =>
    process.once(event, () => {
      void deployment.stop().then(() => process.exit(2));
    }),
  );
  try {
    await deployment.start();
    const breaks = await play(deployment, hasTrouble);
    outcome = breaks.map((text) => `BROKEN: ${text}`).join('\n') || 'the rule held';
    exitCode = breaks.length > 0 ? 1 : 0;
  } catch (error) {
    outcome = `the case could not run: ${String(error)}`;
  }
  await deployment.stop();
  recorder.record(outcome);
  recorder.save(process.argv[2] ?? 'record.txt');
  process.stdout.write(`${outcome}\n`);
  process.exit(exitCode);
}

/**
 * Finds a free port below those of outgoing connections. Each driver has a block of its own, so that
 * drivers that run side by side don't take one another's ports before their programs listen.
 */
async function findFreePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort += 1;
    const server = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (isFree) {
      await new Promise((resolve) => {
        server.close(resolve);
      });
      return port;
    }
  }
}

/** Reads the command of the deploy file, with another port for the metrics. */
function readCommand(metricsPort: number): string[] {
  const run = /^run = "(.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1] ?? '';
  const words = run.split(' ');
  const flag = words.indexOf('--metrics-port');
  return words.map((word, index) => (index === flag + 1 ? `${metricsPort}` : word));
}
