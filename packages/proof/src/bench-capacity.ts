/** Measures how each process's cost grows with the size of a deployment. */
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';

import { CHANGE_KIND, NO_VERSION, createKey } from '@hibiscushill/config';

import { Child } from './child';
import { getJson, pause, postJson, waitFor } from './cluster';

const TICKS_PER_SECOND = 100;
const SETTLE_MS = 5000;
const MEASURE_MS = 10_000;
const MS_PER_SECOND = 1000;
const KIB = 1024;
const MIB = KIB * KIB;
const SLOTS = '8';

/** The size of a deployment. */
interface Size {
  readonly entries: number;
  readonly agents: number;
  readonly keys: number;
  readonly trainers: number;
  readonly changesPerSecond: number;
}

/** What one kind of process costs, on the mean over its processes. */
interface Cost {
  readonly cpuPercent: number;
  readonly rssMib: number;
  readonly receivedAndSentKibPerSecond: number;
}

interface Point {
  readonly size: Size;
  readonly entry: Cost;
  readonly agent: Cost;
  readonly logAppendsPerSecond: number;
}

interface Reading {
  readonly cpuTicks: number;
  readonly rssMib: number;
  readonly bytes: number;
}

const BASE: Size = { entries: 1, agents: 4, keys: 8, trainers: 1, changesPerSecond: 0 };

const SERIES: Readonly<Record<string, readonly Partial<Size>[]>> = {
  agents: [8, 16, 32, 64].map((agents) => ({ agents })),
  entries: [1, 2, 4, 8].map((entries) => ({ entries })),
  keys: [100, 1000, 4000, 16_000].map((keys) => ({ keys })),
  trainers: [1, 2, 4, 8].map((trainers) => ({ trainers, entries: 2 })),
  changes: [0, 1, 2, 4].map((changesPerSecond) => ({ changesPerSecond, keys: 1000 })),
};

/**
 * Measures the series and prints a row a point, with the slope of each figure.
 *
 * @param only - the series to measure; all when left out
 */
export async function benchCapacity(only?: string): Promise<void> {
  for (const [name, sizes] of Object.entries(SERIES)) {
    if (only !== undefined && only !== name) continue;
    const points: Point[] = [];
    for (const size of sizes) {
      const point = await measure({ ...BASE, ...size });
      points.push(point);
      print(`${name} ${JSON.stringify(point)}`);
    }
    printSlopes(name, points);
  }
}

async function measure(size: Size): Promise<Point> {
  const bench = await Deployment.start(size);
  try {
    const changing = bench.change();
    await pause(SETTLE_MS);
    const before = await bench.read();
    const countBefore = await bench.countAppends();
    await pause(MEASURE_MS);
    const after = await bench.read();
    const countAfter = await bench.countAppends();
    changing.abort();
    return {
      size,
      entry: compare(before.entries, after.entries),
      agent: compare(before.agents, after.agents),
      logAppendsPerSecond: round(((countAfter - countBefore) * MS_PER_SECOND) / MEASURE_MS),
    };
  } finally {
    await bench.stop();
  }
}

class Deployment {
  readonly #size: Size;

  readonly #platform: Child;

  readonly #engine: Child;

  #agents: Child[] = [];

  #entries: Child[] = [];

  #base: number = NO_VERSION;

  private constructor(size: Size, platform: Child, engine: Child) {
    this.#size = size;
    this.#platform = platform;
    this.#engine = engine;
  }

  static async start(size: Size): Promise<Deployment> {
    const platform = await Child.start('platform', 'hibiscus-fakes', ['platform']);
    const engine = await Child.start('engine', 'hibiscus-fakes', ['engine']);
    const deployment = new Deployment(size, platform, engine);
    await deployment.#declare(0);
    await deployment.#startAll();
    return deployment;
  }

  get #url(): string {
    return `http://${this.#platform.ready.listening ?? ''}`;
  }

  change(): AbortController {
    const stopping = new AbortController();
    void this.#changeUntil(stopping.signal);
    return stopping;
  }

  async read(): Promise<{ entries: Reading[]; agents: Reading[] }> {
    return {
      entries: await Promise.all(this.#entries.map((child) => readProcess(child.pid))),
      agents: await Promise.all(this.#agents.map((child) => readProcess(child.pid))),
    };
  }

  async countAppends(): Promise<number> {
    const counts = (await getJson(`${this.#url}/admin/counts`)) as {
      byKind: Record<string, Record<string, number>>;
    };
    return Object.values(counts.byKind)
      .flatMap((kinds) => Object.values(kinds))
      .reduce((sum, count) => sum + count, 0);
  }

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
    await waitFor('every link', async () => {
      const states = await Promise.all(
        this.#entries.map((entry) => getJson(`http://${entry.ready.listening ?? ''}/status`)),
      );
      return states.every((state) => countReady(state) >= this.#size.agents);
    });
  }

  async #startAgent(index: number): Promise<Child> {
    const target = `target-${index}`;
    const agent = await Child.start(target, 'hibiscus-agent', [
      ...['--instance', `agent-${index}`, '--zone', 'ba', '--target', target, '--slots', SLOTS],
      ...['--service', 'models', '--target-url', `http://${this.#engine.ready.listening ?? ''}`],
      ...['--instances-url', this.#url, '--weights-url', this.#url, '--log-url', this.#url],
    ]);
    const address = agent.ready.inner ?? '';
    await this.#register({
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
      this.#url,
    ]);
    const entry = await Child.start(instance, 'hibiscus-entry', [
      ...['--instance', instance, '--zone', 'ba', ...urls],
    ]);
    await this.#register({ id: instance, role: 'entry', address: entry.ready.inner ?? '' });
    return entry;
  }

  async #register(instance: object): Promise<void> {
    await postJson(`${this.#url}/admin/instances`, { zone: 'ba', ...instance });
  }

  async #changeUntil(signal: AbortSignal): Promise<void> {
    const { changesPerSecond } = this.#size;
    for (let turn = 1; changesPerSecond > 0 && !signal.aborted; turn += 1) {
      await this.#declare(turn);
      await pause(MS_PER_SECOND / changesPerSecond);
    }
  }

  async #declare(turn: number): Promise<void> {
    const payload = { base: this.#base, declarations: createDeclarations(this.#size, turn) };
    const answer = (await postJson(`${this.#url}/v1/streams/config/records`, {
      records: [{ id: randomUUID(), kind: CHANGE_KIND, payload }],
    })) as { offset: number };
    this.#base = answer.offset;
  }
}

function createDeclarations(size: Size, turn: number): object {
  const { hash } = createKey();
  const bounds = { requestsPerSecond: 1000 + turn, tokensPerSecond: 1_000_000, inFlight: 1000 };
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

function countReady(state: unknown): number {
  const { targets } = state as { targets: readonly { ready: boolean; up: boolean }[] };
  return targets.filter((target) => target.ready && target.up).length;
}

async function readProcess(pid: number): Promise<Reading> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const io = await readFile(`/proc/${pid}/io`, 'utf8');
  return {
    cpuTicks: Number(fields[11]) + Number(fields[12]),
    rssMib: (Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KIB) / MIB,
    // Sockets are read and written by calls that these counters include.
    bytes: Number(/rchar: (\d+)/.exec(io)?.[1] ?? 0) + Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0),
  };
}

function compare(before: readonly Reading[], after: readonly Reading[]): Cost {
  const seconds = MEASURE_MS / MS_PER_SECOND;
  const mean = (pick: (reading: Reading) => number, readings: readonly Reading[]): number =>
    readings.reduce((sum, reading) => sum + pick(reading), 0) / Math.max(1, readings.length);
  const ticks = mean((reading) => reading.cpuTicks, after) - mean((r) => r.cpuTicks, before);
  const bytes = mean((reading) => reading.bytes, after) - mean((r) => r.bytes, before);
  return {
    cpuPercent: round((ticks / TICKS_PER_SECOND / seconds) * 100),
    rssMib: round(mean((reading) => reading.rssMib, after)),
    receivedAndSentKibPerSecond: round(bytes / KIB / seconds),
  };
}

function printSlopes(name: string, points: readonly Point[]): void {
  const key = name === 'changes' ? 'changesPerSecond' : (name as keyof Size);
  const xs = points.map((point) => point.size[key]);
  const figures: Record<string, (point: Point) => number> = {
    'entry CPU %': (point) => point.entry.cpuPercent,
    'entry MiB': (point) => point.entry.rssMib,
    'entry KiB/s': (point) => point.entry.receivedAndSentKibPerSecond,
    'agent CPU %': (point) => point.agent.cpuPercent,
    'agent MiB': (point) => point.agent.rssMib,
    'agent KiB/s': (point) => point.agent.receivedAndSentKibPerSecond,
    'appends/s': (point) => point.logAppendsPerSecond,
  };
  Object.entries(figures).forEach(([figure, pick]) => {
    const { slope, intercept } = fit(xs, points.map(pick));
    print(`${name}: ${figure} = ${intercept.toFixed(3)} + ${slope.toFixed(5)} x`);
  });
}

function fit(xs: readonly number[], ys: readonly number[]): { slope: number; intercept: number } {
  const meanX = xs.reduce((sum, x) => sum + x, 0) / xs.length;
  const meanY = ys.reduce((sum, y) => sum + y, 0) / ys.length;
  const covariance = xs.reduce((sum, x, at) => sum + (x - meanX) * ((ys[at] ?? 0) - meanY), 0);
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
