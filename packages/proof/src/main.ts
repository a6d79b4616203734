/** The program `hibiscus-proof`: the demo and the proofs, on processes that it starts. */
import sade from 'sade';

import { benchCapacity } from './bench-capacity';
import { benchFlood } from './bench-flood';
import { benchLatency } from './bench-latency';
import { runDemo } from './demo';
import { type RequestFlags, type StepFlags, runKeys, runRequests, runSteps } from './runs';

const program = sade('hibiscus-proof');

program
  .command('demo')
  .describe('Runs the main job on embedded stand-ins.')
  .option('--serve', 'Stay up until interrupted')
  .action(async (flags: { serve?: boolean }) => {
    const isGood = await runDemo({ serve: flags.serve === true });
    process.exit(isGood ? 0 : 1);
  });

program
  .command('run')
  .describe('Runs every proof: callers, trainers and keys.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs, each with the next seed', 1)
  .action(async ({ seed, runs }: { seed: number; runs: number }) => {
    const base = { seed, runs, faults: 6, span: 10_000 };
    const requests = await runRequests({ ...base, rate: 150, out: 'out' });
    const steps = await runSteps({ ...base, steps: 6 });
    await exitWith(runKeys({ seed }).then((keys) => requests + steps + keys));
  });

program
  .command('requests')
  .describe('Runs callers against faults and checks the history.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs, each with the next seed', 1)
  .option('--faults', 'Faults of a run', 6)
  .option('--kinds', 'Kinds of faults, separated by commas; all when left out')
  .option('--span', 'Length of a run, in milliseconds', 8000)
  .option('--rate', 'Calls a second', 150)
  .option('--out', 'Folder for the histories', 'out')
  .action((flags: RequestFlags) => exitWith(runRequests(flags)));

program
  .command('steps')
  .describe('Runs trainers against faults and checks their samples.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs, each with the next seed', 1)
  .option('--faults', 'Faults of a run', 4)
  .option('--kinds', 'Kinds of faults, separated by commas; all when left out')
  .option('--span', 'Time over which faults begin, in milliseconds', 10000)
  .option('--steps', 'Steps of each trainer', 6)
  .action((flags: StepFlags) => exitWith(runSteps(flags)));

program
  .command('keys')
  .describe('Withdraws a key under traffic and measures when it stops.')
  .option('--seed', 'Seed', 1)
  .action((flags: { seed: number }) => exitWith(runKeys(flags)));

program
  .command('bench latency')
  .describe('Measures the entry and agent next to a bare proxy and the target.')
  .action(benchLatency);

program
  .command('bench flood')
  .describe('Measures small teams under a flood by a large one.')
  .action(benchFlood);

program
  .command('bench capacity')
  .describe("Measures how each process's cost grows with a deployment's size.")
  .option('--only', 'One series: agents, entries, keys, trainers or changes')
  .action((flags: { only?: string }) => benchCapacity(flags.only));

program.parse(process.argv);

async function exitWith(broken: Promise<number>): Promise<void> {
  process.exit((await broken) === 0 ? 0 : 1);
}
