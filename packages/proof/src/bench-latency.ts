/** The request path next to a bare proxy and the target itself, in one run. */
import { type Report, formatReport, runScenario, Scenario } from '@hibiscushill/load';

import { createBenchPlan } from './bench-plan';
import { Child } from './child';
import { Cluster } from './cluster';

/** One way to the target. */
interface Way {
  readonly label: string;
  readonly baseUrl: string;
  readonly path: string;
  readonly pids: readonly number[];
}

const SEED = 1;
const TEAM = 'valley';
const LIGHT_PER_SECOND = 100;
const LIGHT_MS = 5_000;
const BURST_SIZE = 5_000;
const IN_FLIGHT = 64;
const ROUNDS = 2;
const WARM_UP_ROUNDS = 1;

/** Measures light load and 64 requests in flight, round after round, and prints each report. */
export async function benchLatency(): Promise<void> {
  const plan = createBenchPlan({ seed: SEED, engines: 0, plains: 1, entries: 1 });
  const cluster = await Cluster.start(plan);
  const [target] = cluster.targets.values();
  const targetUrl = `http://${target?.backend.ready.listening ?? ''}`;
  const proxy = await Child.start('proxy', 'hibiscus-load', ['proxy', '--target-url', targetUrl]);
  try {
    const [entry] = cluster.entries.values();
    const ways: Way[] = [
      { label: 'target', baseUrl: targetUrl, path: '', pids: [] },
      {
        label: 'proxy',
        baseUrl: `http://${proxy.ready.listening ?? ''}`,
        path: '',
        pids: [proxy.pid],
      },
      {
        label: 'entry',
        baseUrl: cluster.entryUrls[0] ?? '',
        path: '/s/sales-desk',
        pids: [entry?.pid ?? 0, target?.agent.pid ?? 0],
      },
    ];
    const key = cluster.authorization(TEAM).replace('Bearer ', '');
    for (let round = 0; round < ROUNDS + WARM_UP_ROUNDS; round += 1) {
      for (const way of ways) await measure(way, key, round);
    }
  } finally {
    await proxy.stop('SIGKILL');
    await cluster.stop();
  }
}

async function measure(way: Way, key: string, round: number): Promise<void> {
  const { baseUrl, pids } = way;
  const light = await runScenario(createLight(way, key), { baseUrl, watchPids: pids });
  const full = await runScenario(createFull(way, key), { baseUrl, watchPids: pids });
  print(round < WARM_UP_ROUNDS ? 'Warm-up:' : `Round ${round}:`);
  print(`${way.label}, ${LIGHT_PER_SECOND} requests/s\n${formatReport(light)}`);
  const perSecond = Math.round((full.total.answered / full.elapsedMs) * 1000);
  print(`${way.label}, ${IN_FLIGHT} in flight: ${perSecond} answers/s ${describe(full)}\n`);
}

function createLight(way: Way, key: string): Scenario {
  return createScenario(way, key, {
    durationMs: LIGHT_MS,
    arrival: { kind: 'poisson', perSecond: LIGHT_PER_SECOND },
  });
}

/** All requests are due at once, so that the connections are busy until the last. */
function createFull(way: Way, key: string): Scenario {
  const durationMs = 1000;
  const arrival = { kind: 'bursts', size: BURST_SIZE, everyMs: durationMs };
  return createScenario(way, key, { durationMs, arrival });
}

function createScenario(
  { path }: Way,
  key: string,
  traffic: { durationMs: number; arrival: object },
): Scenario {
  const routes = [{ path: `${path}/lots/{id}`, deadlineMs: 60_000 }];
  return Scenario.parse({
    seed: SEED,
    durationMs: traffic.durationMs,
    maxConnections: IN_FLIGHT,
    teams: [{ name: TEAM, key, arrival: traffic.arrival, routes }],
  });
}

function describe({ processes, total }: Report): string {
  const cores = processes.map(
    ({ pid, processorSeconds, answersPerCore }) =>
      `pid ${pid} ${processorSeconds} s, ${answersPerCore} answers/s per core`,
  );
  return [JSON.stringify(total.verdicts), ...cores].join('; ');
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
