/** Measures small teams while a large one sends ten times its bound, with bounds and without. */
import { type Report, formatReport, runScenario, Scenario } from '@hibiscushill/load';

import { createBenchPlan } from './bench-plan';
import { Cluster } from './cluster';

/** A case to measure. */
interface FloodCase {
  readonly label: string;
  /** Whether the large team sends. */
  readonly withFlood: boolean;
  /** Arguments of the entry; `agentArgs` those of the agents. */
  readonly entryArgs: readonly string[];
  readonly agentArgs: readonly string[];
}

const SEED = 1;
const DURATION_MS = 30_000;
const ENGINES = 3;
const LARGE_TEAM = 'harbour';
const SMALL_TEAMS = ['orchard', 'valley'] as const;
const MAX_TOKENS = 20;
const REQUEST_COST_TOKENS = 28;
// The bounds add up to 3920 of the 4800 tokens per second that three engines of 8 slots generate.
const LARGE_TOKENS_PER_SECOND = 2800;
const SMALL_TOKENS_PER_SECOND = 560;
// Offered load as a multiple of the team's bound.
const SMALL_TEAM_LOAD = 0.7;
const LARGE_TEAM_LOAD = 10;
const DEADLINE_MS = 2000;

const FLOOD_CASES: readonly FloodCase[] = [
  { label: 'small teams alone', withFlood: false, entryArgs: [], agentArgs: [] },
  { label: 'flood, bounds and fair queue', withFlood: true, entryArgs: [], agentArgs: [] },
  {
    label: 'flood, no bounds and FIFO',
    withFlood: true,
    entryArgs: ['--admission', 'open'],
    agentArgs: ['--queue', 'fifo'],
  },
];

/** Runs every case on its own deployment and prints its report, then compares the small teams. */
export async function benchFlood(): Promise<void> {
  const reports: Report[] = [];
  for (const floodCase of FLOOD_CASES) {
    const report = await runCase(floodCase);
    reports.push(report);
    process.stdout.write(`${floodCase.label}\n${formatReport(report)}\n`);
    process.stdout.write(`${JSON.stringify(report.total.verdicts)}\n\n`);
  }
  const [baseline, ...floodReports] = reports;
  floodReports.forEach((report, index) => {
    const line = SMALL_TEAMS.map((team) => formatComparison(team, report, baseline)).join('; ');
    process.stdout.write(`${FLOOD_CASES[index + 1]?.label}: ${line}\n`);
  });
}

async function runCase({ withFlood, entryArgs, agentArgs }: FloodCase): Promise<Report> {
  const options = {
    seed: SEED,
    engines: ENGINES,
    plainTargets: 0,
    entries: 1,
    entryArgs,
    agentArgs,
  };
  const cluster = await Cluster.start(
    createBenchPlan(options, {
      [LARGE_TEAM]: createBounds(LARGE_TOKENS_PER_SECOND),
      ...Object.fromEntries(
        SMALL_TEAMS.map((team) => [team, createBounds(SMALL_TOKENS_PER_SECOND)]),
      ),
    }),
  );
  try {
    const teams = SMALL_TEAMS.map((team) =>
      createTeam(cluster, team, SMALL_TOKENS_PER_SECOND, SMALL_TEAM_LOAD),
    );
    if (withFlood) {
      teams.push(createTeam(cluster, LARGE_TEAM, LARGE_TOKENS_PER_SECOND, LARGE_TEAM_LOAD));
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
  const requestsPerSecond = tokensPerSecond / REQUEST_COST_TOKENS;
  return { requestsPerSecond, tokensPerSecond, inFlight: 500 };
}

/** Creates a team of a scenario; `load` is a multiple of the bound `tokensPerSecond`. */
function createTeam(cluster: Cluster, name: string, tokensPerSecond: number, load: number): object {
  const body = JSON.stringify({ prompt: 'Describe lot {id} once.', maxTokens: MAX_TOKENS });
  return {
    name,
    key: cluster.createAuthorization(name).replace('Bearer ', ''),
    arrival: { kind: 'poisson', perSecond: (tokensPerSecond / REQUEST_COST_TOKENS) * load },
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

function formatComparison(team: string, report: Report, baseline: Report | undefined): string {
  const [current, alone] = [report.teams[team], baseline?.teams[team]];
  const goodput = ((current?.goodput ?? 0) / (alone?.goodput ?? 1)).toFixed(3);
  const p99 = ((current?.latency.p99 ?? 0) / (alone?.latency.p99 ?? 1)).toFixed(2);
  return `${team} goodput ${goodput}, p99 ${p99}, relative to small teams alone`;
}
