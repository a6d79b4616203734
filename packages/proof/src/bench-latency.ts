/** Compares requests through entry and agent, through a plain proxy, and to the target itself. */
import { type Report, formatReport, runScenario, Scenario } from '@hibiscushill/load';

import { createBenchPlan } from './bench-plan';
import { Child } from './child';
import { Cluster } from './cluster';

/** A server that requests are sent to: the target, or one that forwards to it. */
interface MeasuredServer {
  readonly label: string;
  readonly baseUrl: string;
  readonly pathPrefix: string;
  /** The processes whose processor time is measured. */
  readonly pids: readonly number[];
}

const SEED = 1;
const TEAM = 'valley';
const LIGHT_REQUESTS_PER_SECOND = 100;
const LIGHT_DURATION_MS = 5_000;
const BURST_REQUESTS = 5_000;
// The number of connections; each has one request at a time.
const IN_FLIGHT_REQUESTS = 64;
const ROUNDS = 2;
const WARM_UP_ROUNDS = 1;

/** Measures each server under light load and with 64 requests in flight, and prints the reports. */
export async function benchLatency(): Promise<void> {
  const plan = createBenchPlan({ seed: SEED, engines: 0, plainTargets: 1, entries: 1 });
  const cluster = await Cluster.start(plan);
  const [target] = cluster.targets.values();
  const targetUrl = `http://${target?.fakeTarget.readyLine.listening ?? ''}`;
  const proxy = await Child.start('proxy', 'hibiscus-load', ['proxy', '--target-url', targetUrl]);
  try {
    const [entry] = cluster.entries.values();
    const servers: MeasuredServer[] = [
      { label: 'target', baseUrl: targetUrl, pathPrefix: '', pids: [] },
      {
        label: 'proxy',
        baseUrl: `http://${proxy.readyLine.listening ?? ''}`,
        pathPrefix: '',
        pids: [proxy.pid],
      },
      {
        label: 'entry',
        baseUrl: cluster.entryUrls[0] ?? '',
        pathPrefix: '/s/sales-desk',
        pids: [entry?.pid ?? 0, target?.agent.pid ?? 0],
      },
    ];
    const key = cluster.createAuthorization(TEAM).replace('Bearer ', '');
    for (let round = 0; round < ROUNDS + WARM_UP_ROUNDS; round += 1) {
      for (const server of servers) await measureServer(server, key, round);
    }
  } finally {
    await proxy.stop('SIGKILL');
    await cluster.stop();
  }
}

async function measureServer(server: MeasuredServer, key: string, round: number): Promise<void> {
  const { baseUrl, pids } = server;
  const light = await runScenario(createLightScenario(server, key), { baseUrl, watchPids: pids });
  const saturated = await runScenario(createSaturatedScenario(server, key), {
    baseUrl,
    watchPids: pids,
  });
  print(round < WARM_UP_ROUNDS ? 'Warm-up:' : `Round ${round}:`);
  print(`${server.label}, ${LIGHT_REQUESTS_PER_SECOND} requests/s\n${formatReport(light)}`);
  const perSecond = Math.round((saturated.total.answered / saturated.elapsedMs) * 1000);
  print(
    `${server.label}, ${IN_FLIGHT_REQUESTS} in flight: ${perSecond} responses/s ${formatProcessorUse(saturated)}\n`,
  );
}

function createLightScenario(server: MeasuredServer, key: string): Scenario {
  return createScenario(server, key, {
    durationMs: LIGHT_DURATION_MS,
    arrival: { kind: 'poisson', perSecond: LIGHT_REQUESTS_PER_SECOND },
  });
}

/** Makes all requests due at once, so that every connection stays busy until the last request. */
function createSaturatedScenario(server: MeasuredServer, key: string): Scenario {
  const durationMs = 1000;
  const arrival = { kind: 'bursts', size: BURST_REQUESTS, everyMs: durationMs };
  return createScenario(server, key, { durationMs, arrival });
}

function createScenario(
  { pathPrefix }: MeasuredServer,
  key: string,
  traffic: { durationMs: number; arrival: object },
): Scenario {
  const routes = [{ path: `${pathPrefix}/lots/{id}`, deadlineMs: 60_000 }];
  return Scenario.parse({
    seed: SEED,
    durationMs: traffic.durationMs,
    maxConnections: IN_FLIGHT_REQUESTS,
    teams: [{ name: TEAM, key, arrival: traffic.arrival, routes }],
  });
}

function formatProcessorUse({ processes, total }: Report): string {
  const cores = processes.map(
    ({ pid, processorSeconds, answersPerCore }) =>
      `pid ${pid} ${processorSeconds} s, ${answersPerCore} responses/s per core`,
  );
  return [JSON.stringify(total.verdicts), ...cores].join('; ');
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
