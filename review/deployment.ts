/** A small deployment on loopback addresses: the program as processes, between stand-ins. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { type AddressInfo, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { send } from './client';
import { type CaseRecord, EXIT_CODES, type Verdict } from './record';
import type { Replica } from './replica';
import { LogStore } from './store';

/** The only tenant's key. */
export const API_KEY = 'n9i77hh2b9wu3fexd9dn';
export const TENANT = 'kaje80';
export const HOST = 'ficu95.example';

const HEARTBEAT_MS = 1_200;
// An entry is removed after three intervals of silence.
const EXPIRY_MS = 3 * HEARTBEAT_MS;
const READY_TIMEOUT_MS = 20_000;
// The longest a case may run is 120 s.
const CASE_TIMEOUT_MS = 110_000;

/** A configuration as the operator writes it, without its version. */
export interface OperatorConfig {
  readonly routes: readonly object[];
  readonly services: readonly object[];
}

/** One process of the program with settings of its own. */
export class ProgramProcess {
  readonly name: string;

  readonly front: string;

  readonly ready: string;

  /** The end of what it wrote. */
  output = '';

  readonly #settingsPath: string;

  readonly #record: CaseRecord;

  #child: ChildProcess | undefined;

  constructor(name: string, ip: string, settingsPath: string, record: CaseRecord) {
    this.name = name;
    this.front = `${ip}:8368`;
    this.ready = `${ip}:8369`;
    this.#settingsPath = settingsPath;
    this.#record = record;
  }

  get isRunning(): boolean {
    const child = this.#child;
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  /** Starts the command of the deploy file. */
  start(): void {
    const { command, args, env } = readDeployFile();
    this.#record.add(this.name, 'is started');
    const child = spawn(command, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, ...env, HIBISCUSHILL_NODE_FILE: this.#settingsPath },
    });
    this.#child = child;
    child.on('exit', (code, signal) => {
      this.#record.add(this.name, `has ended with ${signal ?? `code ${code}`}`);
    });
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (data: Buffer) => {
        this.output = (this.output + data.toString()).slice(-400_000);
      }),
    );
  }

  signal(signal: NodeJS.Signals): void {
    if (!this.isRunning) return;
    this.#record.add(this.name, `gets ${signal}`);
    this.#child?.kill(signal);
  }

  /** Ends it and waits for that. */
  async kill(): Promise<void> {
    const child = this.#child;
    if (!child || !this.isRunning) return;
    const exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await exited;
  }
}

/** The processes, the platform's stand-ins and the replicas of one case. */
export class SmallDeployment {
  readonly store = new LogStore();

  readonly processes: ProgramProcess[] = [];

  readonly replicas = new Map<Replica, { seq: number; silentSince: number | undefined }>();

  readonly record: CaseRecord;

  readonly #settingsDir = mkdtempSync(join(tmpdir(), 'hibiscushill-review-'));

  readonly #cloud = http.createServer((req, res) => {
    const parts: Buffer[] = [];
    req.on('data', (part: Buffer) => parts.push(part));
    req.on('end', () => {
      this.holder = this.processes.find(({ name }) => name === req.headers['duty-holder']);
      const who = `${String(req.headers['duty-holder'])} fence ${String(req.headers['fence-token'])}`;
      this.record.add('platform', `${req.url} by ${who}: ${Buffer.concat(parts).toString()}`);
      res.writeHead(200).end();
    });
  });

  /** The process that the platform heard last as the holder of the duty of usage reports. */
  holder: ProgramProcess | undefined;

  // A network of its own in 127.0.0.0/8, so that the ports of the deploy file are free there.
  readonly #network = `127.${randomByte()}.${randomByte()}`;

  #configVersion = 0;

  #heartbeats: NodeJS.Timeout | undefined;

  constructor(record: CaseRecord) {
    this.record = record;
  }

  async start(config: OperatorConfig, replicas: readonly Replica[], count: number): Promise<void> {
    await this.store.start();
    await new Promise<void>((resolve) => {
      this.#cloud.listen(0, '127.0.0.1', resolve);
    });
    this.writeConfig(config);
    await Promise.all(replicas.map((replica) => this.addReplica(replica)));
    this.#heartbeats = setInterval(() => this.#sendHeartbeats(), HEARTBEAT_MS);
    for (let index = 1; index <= count; index += 1) await this.#addProcess(index);
    this.processes.forEach((process) => process.start());
    await Promise.all(this.processes.map((process) => waitUntilReady(process)));
    this.record.add('case', 'all processes are ready');
  }

  /** Writes the next version of the configuration; the store's answer confirms it. */
  writeConfig(config: OperatorConfig): void {
    this.#configVersion += 3;
    this.store.writeKey('keyed.op', 'config', {
      version: this.#configVersion,
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 33_554_432,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: TENANT, apiKeys: [API_KEY], priority: 1 }],
      ...config,
    });
    this.record.add('operator', `configuration ${this.#configVersion} is confirmed`);
  }

  /** Names a version of a model's weights, as its trainer does. */
  nameVersion(model: string, version: number): void {
    this.store.writeKey('keyed.op', `version/${model}`, { model, version });
    this.record.add('trainer', `version ${version} of ${model} is named and confirmed`);
  }

  async addReplica(replica: Replica): Promise<void> {
    await replica.start();
    this.replicas.set(replica, { seq: 1, silentSince: undefined });
    this.#register(replica, 1);
  }

  /** Crashes a replica for good: its entry is removed once it has been silent for long enough. */
  loseReplica(replica: Replica): void {
    const state = this.replicas.get(replica);
    if (!state) return;
    state.silentSince = Date.now();
    replica.crash();
  }

  async stop(): Promise<void> {
    clearInterval(this.#heartbeats);
    await Promise.all(this.processes.map((process) => process.kill()));
    this.replicas.forEach((_, replica) => replica.crash());
    this.store.close();
    this.#cloud.close();
    this.#cloud.closeAllConnections();
    rmSync(this.#settingsDir, { recursive: true, force: true });
  }

  async #addProcess(index: number): Promise<void> {
    const ip = `${this.#network}.${index}`;
    const name = `edge-ba-${index}`;
    await assertFree(ip);
    const cloudPort = (this.#cloud.address() as AddressInfo).port;
    const path = join(this.#settingsDir, `${name}.conf`);
    writeFileSync(path, createSettings(name, ip, this.store.address, `127.0.0.1:${cloudPort}`));
    this.processes.push(new ProgramProcess(name, ip, path, this.record));
  }

  #register(replica: Replica, seq: number): void {
    this.store.writeKey('keyed.servers', replica.options.id, replica.createEntry(seq));
  }

  #sendHeartbeats(): void {
    this.replicas.forEach((state, replica) => {
      if (state.silentSince === undefined) {
        Object.assign(state, { seq: state.seq + 1 });
        this.#register(replica, state.seq);
      } else if (Date.now() - state.silentSince > EXPIRY_MS) {
        this.store.writeKey('keyed.servers', replica.options.id);
        this.record.add('platform', `the entry of ${replica.options.id} is removed`);
        this.replicas.delete(replica);
      }
    });
  }
}

/**
 * Runs a case and ends the process with the exit code of its verdict.
 *
 * @param record - takes what was sent, answered and run
 * @param run - the case; it gets whether to bring about the disruption
 */
export async function runCase(
  record: CaseRecord,
  run: (deployment: SmallDeployment, hasTrouble: boolean) => Promise<Verdict>,
): Promise<void> {
  const hasTrouble = process.env.TROUBLE !== '0';
  const deployment = new SmallDeployment(record);
  record.add('case', hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  const timeout = sleep(CASE_TIMEOUT_MS, undefined, { ref: false }).then((): Verdict => {
    record.add('case', 'took too long');
    return 'could-not-run';
  });
  const interrupted = new Promise<Verdict>((resolve) => {
    process.once('SIGTERM', () => resolve('could-not-run'));
    process.once('SIGINT', () => resolve('could-not-run'));
    process.on('uncaughtException', (error) => {
      record.add('case', `failed: ${String(error)}`);
      resolve('could-not-run');
    });
  });
  const verdict = await Promise.race([run(deployment, hasTrouble), timeout, interrupted]).catch(
    (error: unknown): Verdict => {
      record.add('case', `could not run: ${String(error)}`);
      return 'could-not-run';
    },
  );
  await deployment.stop();
  record.add('case', `verdict: ${verdict}`);
  record.write();
  process.stdout.write(`${verdict}\n`);
  process.exit(EXIT_CODES[verdict]);
}

/** Waits until a check returns true; throws after a time. */
export async function waitUntil(
  what: string,
  check: () => boolean | Promise<boolean>,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const endsAt = Date.now() + timeoutMs;
  while (!(await check())) {
    if (Date.now() > endsAt) throw new Error(`not in time: ${what}`);
    await sleep(10);
  }
}

function waitUntilReady({ name, ready }: ProgramProcess): Promise<void> {
  return waitUntil(`${name} is ready`, async () => {
    const { status } = await send(ready, { path: '/-/ready' });
    return status === 200;
  });
}

/** Reads the command that starts the program, its arguments and its environment. */
function readDeployFile(): { command: string; args: string[]; env: Record<string, string> } {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const words = (/^run = "(.*)"$/m.exec(text)?.[1] ?? '').split(' ');
  const env = /^env = \{(.*)\}$/m.exec(text)?.[1] ?? '';
  const pairs = [...env.matchAll(/(\w+) = "([^"]*)"/g)].map(([, name, value]) => [name, value]);
  const [command = '', ...args] = words;
  const program = command === 'node' ? process.execPath : command;
  return { command: program, args, env: Object.fromEntries(pairs) as Record<string, string> };
}

/** The settings of a machine of the small site, with the bounds of its sheet. */
function createSettings(name: string, ip: string, store: string, cloud: string): string {
  return `node=${name}
role=node
machineClass=edge
serves=edge
ip=${ip}
zone=ba
region=viti-levu
zones.ba=viti-levu
listen.front=${ip}:8368
listen.ready=${ip}:8369
listen.control=${ip}:8367
internalPorts=7780,7795
seeds=${ip}:8367
firstStart=true
countsAsLoss=false
limits.memoryMb=380
limits.maxFds=8200
discovery=platform
entry=vip
heartbeatMs=${HEARTBEAT_MS}
contracts=base,drain,config,cost,recover,samples,stream,engine,batch,tenants,leader,platform
tolerate.machines=1
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4.7
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.skewMaxMs=5000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.requireFence=false
bounds.leaseMs=3000
bounds.thawMs=300
bounds.usageWindowS=5
bounds.usageOff=0.05
bounds.usageLateS=10
bounds.recoveryS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.finishS=10
bounds.statusS=120
bounds.cancelMs=3000
bounds.settleMs=1000
bounds.quotaOverage=0.1
platform.address=${store}
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.parts=12
platform.appendMs=2.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.retentionS=300
platform.partMb=200
platform.ttlMinMs=1000
cloud.address=${cloud}
cloud.ratePerS=50.0
cloud.duties=metering
cloud.dutyPerS=50.0
`;
}

async function assertFree(ip: string): Promise<void> {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(8368, ip, () => server.close(() => resolve()));
  });
}

function randomByte(): number {
  return 1 + Math.floor(Math.random() * 250);
}
