/** Measures how each process's cost grows with the size of a deployment. */
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';

import { CHANGE_KIND, NO_VERSION, createKey } from '@hibiscushill/config';

import { Child } from './child';
import { getJson, postJson, sleep, waitFor } from './cluster';

// USER_HZ of Linux, the unit of CPU times in /proc.
const CPU_TICKS_PER_SECOND = 100;
const SETTLE_MS = 5000;
const MEASURE_MS = 10_000;
const MS_PER_SECOND = 1000;
const KIB = 1024;
const MIB = KIB * KIB;
const SLOTS = '8';

/** The size of a deployment. */
interface DeploymentSize {
  readonly entries: number;
  readonly agents: number;
  readonly keys: number;
  readonly trainers: number;
  readonly changesPerSecond: number;
}

/** The mean cost of the processes of one kind. */
interface ProcessCost {
  /** Percent of one core. */
  readonly cpuPercent: number;
  readonly rssMib: number;
  readonly receivedAndSentKibPerSecond: number;
}

/** The costs at one size. */
interface Measurement {
  readonly size: DeploymentSize;
  readonly entry: ProcessCost;
  readonly agent: ProcessCost;
  readonly logAppendsPerSecond: number;
}

/** The counters of a process at one time. */
interface ProcessReading {
  readonly cpuTicks: number;
  readonly rssMib: number;
  /** Bytes read and written since the start. */
  readonly bytes: number;
}

const BASE_SIZE: DeploymentSize = {
  entries: 1,
  agents: 4,
  keys: 8,
  trainers: 1,
  changesPerSecond: 0,
};

/** The sizes of each series, as differences from `BASE_SIZE`. */
const SIZE_SERIES: Readonly<Record<string, readonly Partial<DeploymentSize>[]>> = {
  agents: [8, 16, 32, 64].map((agents) => ({ agents })),
  entries: [1, 2, 4, 8].map((entries) => ({ entries })),
  keys: [100, 1000, 4000, 16_000].map((keys) => ({ keys })),
  trainers: [1, 2, 4, 8].map((trainers) => ({ trainers, entries: 2 })),
  changes: [0, 1, 2, 4].map((changesPerSecond) => ({ changesPerSecond, keys: 1000 })),
};

/**
 * Measures the series and prints each measurement, then a line fitted to each figure of a series.
 *
 * @param only - the series to measure; all when left out
 */
export async function benchCapacity(only?: string): Promise<void> {
  for (const [name, sizes] of Object.entries(SIZE_SERIES)) {
    if (only !== undefined && only !== name) continue;
    const measurements: Measurement[] = [];
    for (const size of sizes) {
      const measurement = await measureSize({ ...BASE_SIZE, ...size });
      measurements.push(measurement);
      print(`${name} ${JSON.stringify(measurement)}`);
    }
    printSlopes(name, measurements);
  }
}

async function measureSize(size: DeploymentSize): Promise<Measurement> {
  const deployment = await SizedDeployment.start(size);
  try {
    const configChanges = deployment.startConfigChanges();
    await sleep(SETTLE_MS);
    const before = await deployment.readProcesses();
    const appendsBefore = await deployment.countAppends();
    await sleep(MEASURE_MS);
    const after = await deployment.readProcesses();
    const appendsAfter = await deployment.countAppends();
    configChanges.abort();
    return {
      size,
      entry: computeMeanCost(before.entries, after.entries),
      agent: computeMeanCost(before.agents, after.agents),
      logAppendsPerSecond: round(((appendsAfter - appendsBefore) * MS_PER_SECOND) / MEASURE_MS),
    };
  } finally {
    await deployment.stop();
  }
}

/** A deployment of one zone, whose agents share one fake engine. */
class SizedDeployment {
  readonly #size: DeploymentSize;

  readonly #platform: Child;

  readonly #engine: Child;

  #agents: Child[] = [];

  #entries: Child[] = [];

  /** The offset of the newest configuration record, on which the next change is based. */
  #configOffset: number = NO_VERSION;

  private constructor(size: DeploymentSize, platform: Child, engine: Child) {
    this.#size = size;
    this.#platform = platform;
    this.#engine = engine;
  }

  static async start(size: DeploymentSize): Promise<SizedDeployment> {
    const platform = await Child.start('platform', 'hibiscus-fakes', ['platform']);
    const engine = await Child.start('engine', 'hibiscus-fakes', ['engine']);
    const deployment = new SizedDeployment(size, platform, engine);
    await deployment.#appendDeclarations(0);
    await deployment.#startAll();
    return deployment;
  }

  get #platformUrl(): string {
    return `http://${this.#platform.readyLine.listening ?? ''}`;
  }

  /** Changes the configuration at the size's rate until the controller that it returns aborts. */
  startConfigChanges(): AbortController {
    const controller = new AbortController();
    void this.#changeConfigUntil(controller.signal);
    return controller;
  }

  /** Reads the counters of every entry and agent. */
  async readProcesses(): Promise<{ entries: ProcessReading[]; agents: ProcessReading[] }> {
    return {
      entries: await Promise.all(this.#entries.map((child) => readProcess(child.pid))),
      agents: await Promise.all(this.#agents.map((child) => readProcess(child.pid))),
    };
  }

  /** Counts the records that were appended to the log since the start. */
  async countAppends(): Promise<number> {
    const counts = (await getJson(`${this.#platformUrl}/admin/counts`)) as {
      byKind: Record<string, Record<string, number>>;
    };
    return Object.values(counts.byKind)
      .flatMap((kinds) => Object.values(kinds))
      .reduce((sum, count) => sum + count, 0);
  }

  /** Kills every process. */
  async stop(): Promise<void> {
    const children = [...this.#entries, ...this.#agents, this.#engine, this.#platform];
    await Promise.all(children.map((child) => child.stop('SIGKILL')));
  }

  async #startAll(): Promise<void> {
    for (let index = 0; index < this.#size.agents; index += 1) {
      this.#agents.push(await this.#startAgent(index));
    }
    for (let index = 0; index < this.#size.entries; index += 1) {
      this.#entries.push(await this.#startEntry(index));
    }
    await waitFor('every entry to have a link to every agent', async () => {
      const statuses = await Promise.all(
        this.#entries.map((entry) => getJson(`http://${entry.readyLine.listening ?? ''}/status`)),
      );
      return statuses.every((status) => countReady(status) >= this.#size.agents);
    });
  }

  async #startAgent(index: number): Promise<Child> {
    const target = `target-${index}`;
    const agent = await Child.start(target, 'hibiscus-agent', [
      ...['--instance', `agent-${index}`, '--zone', 'ba', '--target', target, '--slots', SLOTS],
      ...[
        '--service',
        'models',
        '--target-url',
        `http://${this.#engine.readyLine.listening ?? ''}`,
      ],
      ...[
        '--instances-url',
        this.#platformUrl,
        '--weights-url',
        this.#platformUrl,
        '--log-url',
        this.#platformUrl,
      ],
    ]);
    const address = agent.readyLine.inner ?? '';
    await this.#registerInstance({
      id: `agent-${index}`,
      role: 'agent',
      address,
      service: 'models',
      target,
    });
    return agent;
  }

  async #startEntry(index: number): Promise<Child> {
    const instance = `entry-${index}`;
    const urls = ['log', 'orders', 'usage', 'instances'].flatMap((name) => [
      `--${name}-url`,
      this.#platformUrl,
    ]);
    const entry = await Child.start(instance, 'hibiscus-entry', [
      ...['--instance', instance, '--zone', 'ba', ...urls],
    ]);
    await this.#registerInstance({
      id: instance,
      role: 'entry',
      address: entry.readyLine.inner ?? '',
    });
    return entry;
  }

  async #registerInstance(instance: object): Promise<void> {
    await postJson(`${this.#platformUrl}/admin/instances`, { zone: 'ba', ...instance });
  }

  async #changeConfigUntil(signal: AbortSignal): Promise<void> {
    const { changesPerSecond } = this.#size;
    for (let revision = 1; changesPerSecond > 0 && !signal.aborted; revision += 1) {
      await this.#appendDeclarations(revision);
      await sleep(MS_PER_SECOND / changesPerSecond);
    }
  }

  async #appendDeclarations(revision: number): Promise<void> {
    const payload = {
      base: this.#configOffset,
      declarations: createDeclarations(this.#size, revision),
    };
    const res = (await postJson(`${this.#platformUrl}/v1/streams/config/records`, {
      records: [{ id: randomUUID(), kind: CHANGE_KIND, payload }],
    })) as { offset: number };
    this.#configOffset = res.offset;
  }
}

/** Creates a configuration. Its bounds contain the revision, so that revisions differ. */
function createDeclarations(size: DeploymentSize, revision: number): object {
  const { hash } = createKey();
  const bounds = { requestsPerSecond: 1000 + revision, tokensPerSecond: 1_000_000, inFlight: 1000 };
  return {
    teams: [{ name: 'valley', weight: 1, bounds }],
    keys: Array.from({ length: size.keys }, (_, index) => ({
      id: `k${index}`,
      team: 'valley',
      hash,
      state: 'active',
    })),
    services: [
      {
        name: 'models',
        kind: 'model',
        deadlineMs: 10_000,
        slots: 8,
        checksFencing: true,
        zones: [{ zone: 'ba', least: 0, most: 1000 }],
        routes: [{ method: 'POST', path: '/generate', public: false, idempotent: true }],
      },
    ],
    trainers: Array.from({ length: size.trainers }, (_, index) => ({
      name: `trainer-${index}`,
      team: 'valley',
      service: 'models',
      staleness: { versions: 2, ms: 600_000 },
      swapShare: 0.34,
    })),
  };
}

/** Counts the ready targets with a link in an entry's `/status`. */
function countReady(status: unknown): number {
  const { targets } = status as { targets: readonly { ready: boolean; up: boolean }[] };
  return targets.filter((target) => target.ready && target.up).length;
}

async function readProcess(pid: number): Promise<ProcessReading> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const io = await readFile(`/proc/${pid}/io`, 'utf8');
  return {
    cpuTicks: Number(fields[11]) + Number(fields[12]),
    rssMib: (Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KIB) / MIB,
    // rchar and wchar include what is read from and written to sockets.
    bytes: Number(/rchar: (\d+)/.exec(io)?.[1] ?? 0) + Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0),
  };
}

function computeMeanCost(
  before: readonly ProcessReading[],
  after: readonly ProcessReading[],
): ProcessCost {
  const seconds = MEASURE_MS / MS_PER_SECOND;
  const mean = (
    pick: (reading: ProcessReading) => number,
    readings: readonly ProcessReading[],
  ): number =>
    readings.reduce((sum, reading) => sum + pick(reading), 0) / Math.max(1, readings.length);
  const ticks =
    mean((reading) => reading.cpuTicks, after) - mean((reading) => reading.cpuTicks, before);
  const bytes = mean((reading) => reading.bytes, after) - mean((reading) => reading.bytes, before);
  return {
    cpuPercent: round((ticks / CPU_TICKS_PER_SECOND / seconds) * 100),
    rssMib: round(mean((reading) => reading.rssMib, after)),
    receivedAndSentKibPerSecond: round(bytes / KIB / seconds),
  };
}

/** Fits a line to each figure over the size that the series varies, and prints it. */
function printSlopes(name: string, measurements: readonly Measurement[]): void {
  const key = name === 'changes' ? 'changesPerSecond' : (name as keyof DeploymentSize);
  const xs = measurements.map((measurement) => measurement.size[key]);
  const figures: Record<string, (measurement: Measurement) => number> = {
    'entry CPU %': (measurement) => measurement.entry.cpuPercent,
    'entry MiB': (measurement) => measurement.entry.rssMib,
    'entry KiB/s': (measurement) => measurement.entry.receivedAndSentKibPerSecond,
    'agent CPU %': (measurement) => measurement.agent.cpuPercent,
    'agent MiB': (measurement) => measurement.agent.rssMib,
    'agent KiB/s': (measurement) => measurement.agent.receivedAndSentKibPerSecond,
    'appends/s': (measurement) => measurement.logAppendsPerSecond,
  };
  Object.entries(figures).forEach(([figure, pick]) => {
    const { slope, intercept } = fitLine(xs, measurements.map(pick));
    print(`${name}: ${figure} = ${intercept.toFixed(3)} + ${slope.toFixed(5)} x`);
  });
}

/** Fits a line by least squares. */
function fitLine(
  xs: readonly number[],
  ys: readonly number[],
): { slope: number; intercept: number } {
  const meanX = xs.reduce((sum, x) => sum + x, 0) / xs.length;
  const meanY = ys.reduce((sum, y) => sum + y, 0) / ys.length;
  const covariance = xs.reduce(
    (sum, x, index) => sum + (x - meanX) * ((ys[index] ?? 0) - meanY),
    0,
  );
  const variance = xs.reduce((sum, x) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
