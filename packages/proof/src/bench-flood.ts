/** A large team at ten times its bound: small teams with and without protection. */
import { type Report, formatReport, runScenario, Scenario } from '@hibiscushill/load';

import { createBenchPlan } from './bench-plan';
import { Cluster } from './cluster';

interface Case {
  readonly label: string;
  readonly withFlood: boolean;
  readonly entryArgs: readonly string[];
  readonly agentArgs: readonly string[];
}

const SEED = 1;
const DURATION_MS = 30_000;
const ENGINES = 3;
const LARGE = 'harbour';
const SMALL = ['orchard', 'valley'] as const;
const MAX_TOKENS = 20;
const COST_TOKENS = 28;
// Three engines of 8 slots make 4800 tokens a second.
const LARGE_TOKENS_PER_SECOND = 2800;
const SMALL_TOKENS_PER_SECOND = 560;
const SMALL_LOAD = 0.7;
const FLOOD_FACTOR = 10;
const DEADLINE_MS = 2000;

const CASES: readonly Case[] = [
  { label: 'small teams alone', withFlood: false, entryArgs: [], agentArgs: [] },
  { label: 'flood, bounds and fair queue', withFlood: true, entryArgs: [], agentArgs: [] },
  {
    label: 'flood, no bounds and FIFO',
    withFlood: true,
    entryArgs: ['--admission', 'open'],
    agentArgs: ['--queue', 'fifo'],
  },
];

/** Runs every case on a deployment of its own and prints its report. */
export async function benchFlood(): Promise<void> {
  const reports: Report[] = [];
  for (const one of CASES) {
    const report = await runCase(one);
    reports.push(report);
    process.stdout.write(`${one.label}\n${formatReport(report)}\n`);
    process.stdout.write(`${JSON.stringify(report.total.verdicts)}\n\n`);
  }
  const [alone, ...floods] = reports;
  floods.forEach((report, index) => {
    const line = SMALL.map((team) => describe(team, report, alone)).join('; ');
    process.stdout.write(`${CASES[index + 1]?.label}: ${line}\n`);
  });
}

async function runCase({ withFlood, entryArgs, agentArgs }: Case): Promise<Report> {
  const options = { seed: SEED, engines: ENGINES, plains: 0, entries: 1, entryArgs, agentArgs };
  const cluster = await Cluster.start(
    createBenchPlan(options, {
      [LARGE]: createBounds(LARGE_TOKENS_PER_SECOND),
      ...Object.fromEntries(SMALL.map((team) => [team, createBounds(SMALL_TOKENS_PER_SECOND)])),
    }),
  );
  try {
    const teams = SMALL.map((team) =>
      createTeam(cluster, team, SMALL_TOKENS_PER_SECOND, SMALL_LOAD),
    );
    if (withFlood) {
      teams.push(createTeam(cluster, LARGE, LARGE_TOKENS_PER_SECOND, FLOOD_FACTOR));
    }
    const scenario = Scenario.parse({
      seed: SEED,
      durationMs: DURATION_MS,
      maxConnections: 1024,
      teams,
    });
    const watchPids = [...cluster.entries.values()].map(({ pid }) => pid);
    return await runScenario(scenario, { baseUrl: cluster.entryUrls[0] ?? '', watchPids });
  } finally {
    await cluster.stop();
  }
}

function createBounds(tokensPerSecond: number) {
  const requestsPerSecond = tokensPerSecond / COST_TOKENS;
  return { requestsPerSecond, tokensPerSecond, inFlight: 500 };
}

function createTeam(cluster: Cluster, name: string, tokensPerSecond: number, load: number): object {
  const body = JSON.stringify({ prompt: 'Describe lot {id} once.', maxTokens: MAX_TOKENS });
  return {
    name,
    key: cluster.authorization(name).replace('Bearer ', ''),
    arrival: { kind: 'poisson', perSecond: (tokensPerSecond / COST_TOKENS) * load },
    routes: [
      {
        method: 'POST',
        path: '/s/tasting-models/generate',
        body,
        expect: 'tokens',
        deadlineMs: DEADLINE_MS,
      },
    ],
  };
}

function describe(team: string, report: Report, alone: Report | undefined): string {
  const [now, before] = [report.teams[team], alone?.teams[team]];
  const goodput = ((now?.goodput ?? 0) / (before?.goodput ?? 1)).toFixed(3);
  const p99 = ((now?.latency.p99 ?? 0) / (before?.latency.p99 ?? 1)).toFixed(2);
  return `${team} goodput ${goodput} of alone, p99 ${p99} times alone`;
}
