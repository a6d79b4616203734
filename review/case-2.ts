/** What the scripts share: the record, child processes, settings, the configuration and calls. */
import { type ChildProcess, spawn } from 'node:child_process';
import { appendFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync, openSync } from 'node:fs';
import http from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { Store } from './store-2';

/** The host of all routes. */
export const HOST = 'ficu95.example';

/** The API key of the only tenant. */
export const KEY = 'i9n73hh2b9wu3fexd9dn';

/** The bounds of the settings that the checks use, in milliseconds. */
export const LEASE_MS = 3_000;
export const CONTACT_MS = 3_000;

// The program and its arguments as in the deploy file.
const PROGRAM_ARGS = [
  '--max-old-space-size=200',
  '--max-semi-space-size=1',
  '--optimize-for-size',
  'target/hibiscus-node.mjs',
  '--metrics-port',
];

/** Whether the disruption is played. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The folder of the case, which the script is started with. */
export const caseDir = process.argv[2] ?? '.';

const startedAt = Date.now();
const recordPath = join(caseDir, 'record.txt');
const temporaryDir = mkdtempSync(join(tmpdir(), 'review-2-'));
const children = new Set<ChildProcess>();

/** The time since the start of the script, in milliseconds. */
export function now(): number {
  return Date.now() - startedAt;
}

/** Writes a line to the record. */
export function record(text: string): void {
  appendFileSync(recordPath, `${(now() / 1_000).toFixed(3).padStart(8)} s  ${text}\n`);
}

/** Begins the record. */
export function beginRecord(title: string): void {
  mkdirSync(caseDir, { recursive: true });
  writeFileSync(recordPath, `${title}\nTROUBLE=${hasTrouble ? '1' : '0'}\n`);
}

/** Ends all child processes and the script. */
export function finish(exitCode: 0 | 1 | 2, verdict: string): never {
  record(verdict);
  children.forEach((child) => {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  });
  rmSync(temporaryDir, { recursive: true, force: true });
  process.stdout.write(`${verdict}\n`);
  process.exit(exitCode);
}

process.on('SIGTERM', () => finish(2, 'The case could not run: it was stopped.'));
process.on('uncaughtException', (error) => {
  finish(2, `The case could not run: ${error.message}`);
});

/** Finds a free port of a loopback address. */
export function findPort(ip = '127.0.0.1'): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, ip, () => {
      const address = server.address();
      const port = typeof address === 'object' && address ? address.port : 0;
      server.close(() => resolve(port));
    });
  });
}

/** Starts a program of the case; it ends with the script. */
export function startChild(
  args: readonly string[],
  env: Record<string, string>,
  name: string,
): ChildProcess {
  const log = openSync(join(temporaryDir, `${name}.log`), 'a');
  const child = spawn(process.execPath, [...args], {
    stdio: ['ignore', log, log],
    env: { PATH: process.env.PATH, ...env },
  });
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

/** One of the system's processes, which the platform starts again when it has ended. */
export class SystemNode {
  readonly name: string;

  #front = '';

  #ready = '';

  #settingsPath = '';

  #metricsPort = 0;

  #child: ChildProcess | undefined;

  readonly #suffix: string;

  /** @param suffix - tells nodes of the same name apart, which run one after the other */
  constructor(name: string, suffix = '') {
    this.name = name;
    this.#suffix = suffix;
  }

  /** Where consumers connect, `IP:port`. */
  get front(): string {
    return this.#front;
  }

  /** Writes the settings file. */
  async configure(store: string, cloud: string): Promise<void> {
    const [front, ready, relay, metrics] = await Promise.all([
      findPort(),
      findPort(),
      findPort(),
      findPort(),
    ]);
    this.#front = `127.0.0.1:${front}`;
    this.#ready = `127.0.0.1:${ready}`;
    this.#metricsPort = metrics;
    this.#settingsPath = join(temporaryDir, `${this.name}.${this.#suffix}.conf`);
    const lines = [
      `node=${this.name}`,
      'role=node',
      'machineClass=edge',
      'serves=edge',
      'ip=127.0.0.1',
      'zone=ba',
      'region=viti-levu',
      'zones.ba=viti-levu',
      `listen.front=${this.#front}`,
      `listen.ready=${this.#ready}`,
      `internalPorts=${relay},${relay}`,
      'firstStart=true',
      'heartbeatMs=1200',
      `bounds.contactMs=${CONTACT_MS}`,
      'bounds.ackMs=4000',
      'bounds.drainMs=2000',
      'bounds.graceS=8',
      'bounds.lossSlackMs=200',
      'bounds.configApplyMs=2000',
      'bounds.strictRevoke=true',
      'bounds.revokeMs=5000',
      'bounds.requireFence=false',
      `bounds.leaseMs=${LEASE_MS}`,
      'bounds.thawMs=300',
      'bounds.usageWindowS=5',
      'bounds.usageOff=0.05',
      'bounds.usageLateS=10',
      'bounds.recoveryS=12',
      'bounds.finishS=10',
      'bounds.statusS=120',
      'bounds.cancelMs=3000',
      'bounds.settleMs=1000',
      `platform.address=${store}`,
      'platform.form=log',
      'platform.writesPerS=800',
      'platform.readsPerS=2000',
      'platform.recordBytes=262144',
      'platform.callBytes=2097152',
      'platform.retentionS=300',
      `cloud.address=${cloud}`,
      'cloud.duties=metering,autoscale',
    ];
    writeFileSync(this.#settingsPath, lines.join('\n'));
  }

  start(): void {
    this.#child = startChild(
      [...PROGRAM_ARGS, `${this.#metricsPort}`],
      { ROARR_LOG: 'true', HIBISCUSHILL_NODE_FILE: this.#settingsPath },
      this.name,
    );
    record(`${this.name} is started`);
  }

  /** Kills the process; the platform starts it again after a short delay. */
  async killAndRestart(delayMs: number): Promise<void> {
    const child = this.#child;
    const exited = new Promise((resolve) => {
      child?.once('exit', resolve);
    });
    child?.kill('SIGKILL');
    record(`${this.name} is killed`);
    await exited;
    await pause(delayMs);
    this.start();
  }

  /** Stops the process with SIGTERM; the platform starts it again after a short delay. */
  async stopAndRestart(delayMs: number): Promise<void> {
    const child = this.#child;
    const exited = new Promise((resolve) => {
      child?.once('exit', resolve);
    });
    child?.kill('SIGTERM');
    record(`${this.name} gets SIGTERM`);
    await exited;
    record(`${this.name} has ended`);
    await pause(delayMs);
    if (this.#child === child) this.start();
  }

  /** Kills the process for good. */
  kill(): void {
    this.#child?.kill('SIGKILL');
    this.#child = undefined;
  }

  /** Whether the process says that it is ready. */
  async isReady(): Promise<boolean> {
    const answer = await send(this.#ready, { method: 'GET', path: '/-/ready' });
    return answer.status === 200;
  }
}

/** A call to one of the system's processes or to a stand-in. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** An answer; status 0 if the channel ended before the whole answer. */
export interface CallAnswer {
  readonly status: number;
  readonly body: string;
}

/** What was received of an answer; status 0 if no head came. */
export interface Received {
  readonly status: number;
  readonly body: string;
  /** Whether the answer ended, rather than its channel. */
  readonly isComplete: boolean;
}

/** Sends a call on a new channel, and resolves with what was received of its answer. */
export function receive(address: string, call: Call, maxMs = 15_000): Promise<Received> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const req = http.request({
      host,
      port,
      method: call.method,
      path: call.path,
      headers: { Host: HOST, Authorization: `Bearer ${KEY}`, ...call.headers },
      agent: false,
    });
    const timer = setTimeout(() => req.destroy(), maxMs);
    const end = (received: Received): void => {
      clearTimeout(timer);
      resolve(received);
    };
    req.on('error', () => end({ status: 0, body: '', isComplete: false }));
    req.on('response', (res) => {
      let body = '';
      res.setEncoding('utf8');
      res.on('data', (part: string) => {
        body += part;
      });
      res.on('error', () => undefined);
      res.on('close', () => end({ status: res.statusCode ?? 0, body, isComplete: res.complete }));
    });
    req.end(call.body);
  });
}

/** Sends a call on a new channel; the answer counts only if it is complete. */
export async function send(address: string, call: Call, maxMs = 5_000): Promise<CallAnswer> {
  const { status, body, isComplete } = await receive(address, call, maxMs);
  return { status: isComplete ? status : 0, body };
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Waits until a check holds; ends the script with 2 if it doesn't in time. */
export async function waitFor(
  what: string,
  check: () => boolean | Promise<boolean>,
  maxMs = 20_000,
): Promise<void> {
  const endsAt = now() + maxMs;
  while (!(await check())) {
    if (now() > endsAt) finish(2, `The case could not run: ${what} did not happen in time.`);
    await pause(10);
  }
}

/** A version of the configuration. */
export interface ConfigVersion {
  readonly version: number;
  /** Whether it has a further route for submissions, which is public. */
  readonly hasPublicRoute: boolean;
}

/** Writes the configuration: a route for plain requests, one for streams, one for submissions. */
export function writeConfig(
  store: Store,
  { version, hasPublicRoute }: ConfigVersion = { version: 1, hasPublicRoute: false },
): void {
  const route = { host: HOST, priority: 1, timeoutMs: 10_000, goalMs: 400 };
  const draft = {
    ...route,
    kind: 'rollout',
    service: 'models',
    maxAttempts: 3,
    resultTargetMs: 7_500,
    retentionS: 40,
  };
  store.putKeyed('keyed.op', 'config', {
    version,
    routes: [
      {
        ...route,
        name: 'lookup',
        pathPrefix: '/lohu930/',
        kind: 'idempotent',
        service: 'desk',
        maxAttempts: 2,
        timeoutMs: 2_000,
      },
      { ...draft, name: 'draft', pathPrefix: '/pule252/' },
      ...(hasPublicRoute
        ? [{ ...draft, name: 'draft-2', pathPrefix: '/hima77/', public: true }]
        : []),
      {
        ...route,
        name: 'text',
        pathPrefix: '/sire11/',
        kind: 'stream',
        service: 'models',
        maxAttempts: 1,
      },
    ],
    services: [
      { name: 'desk', maxConns: 96, healthPath: '/healthz' },
      {
        name: 'models',
        maxConns: 130,
        healthPath: '/healthz',
        engine: { slots: 8, models: [{ name: 'daka510000' }] },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 33_554_432,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'kaje80', apiKeys: [KEY], priority: 1 }],
  });
}

/** Registers a replica in the store now and with each ping, until the returned function is called. */
export function registerReplica(
  store: Store,
  id: string,
  { service, address, isEngine }: { service: string; address: string; isEngine: boolean },
): () => void {
  const born = Date.now();
  let seq = 0;
  const ping = (): void => {
    seq += 1;
    store.putKeyed('keyed.servers', id, {
      service,
      address,
      zone: 'ba',
      version: '1.4.0',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      seq,
      born,
      ...(isEngine && {
        stage: 'both',
        models: [{ name: 'daka510000', version: 1, adapters: [] }],
      }),
    });
  };
  ping();
  const timer = setInterval(ping, 1_200);
  return () => clearInterval(timer);
}
