/** The program `hibiscus-proof`: demo, proofs and benchmarks on deployments that it starts. */
import sade from 'sade';

import { benchCapacity } from './bench-capacity';
import { benchFlood } from './bench-flood';
import { benchLatency } from './bench-latency';
import { runDemo } from './demo';
import {
  type RequestFlags,
  type StepFlags,
  runKeyProofs,
  runRequestProofs,
  runStepProofs,
} from './runs';

const program = sade('hibiscus-proof');

program
  .command('demo')
  .describe(
    'Runs callers and a trainer on a deployment with fakes of the platform and the targets.',
  )
  .option('--serve', 'Keep the deployment running until interrupted')
  .action(async (flags: { serve?: boolean }) => {
    const hasSucceeded = await runDemo({ serve: flags.serve === true });
    process.exit(hasSucceeded ? 0 : 1);
  });

program
  .command('run')
  .describe('Runs every proof: requests, steps and keys.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs, each with the next seed', 1)
  .action(async ({ seed, runs }: { seed: number; runs: number }) => {
    const baseFlags = { seed, runs, faults: 6, span: 10_000 };
    const requestViolations = await runRequestProofs({ ...baseFlags, rate: 150, out: 'out' });
    const stepViolations = await runStepProofs({ ...baseFlags, steps: 6 });
    await exitWithResult(
      runKeyProofs({ seed }).then(
        (keyViolations) => requestViolations + stepViolations + keyViolations,
      ),
    );
  });

program
  .command('requests')
  .describe('Runs callers while faults are injected and checks the history.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs, each with the next seed', 1)
  .option('--faults', 'Number of faults in a run', 6)
  .option('--kinds', 'Kinds of faults, separated by commas; all when left out')
  .option('--span', 'Time over which calls are sent and faults begin, in milliseconds', 8000)
  .option('--rate', 'Calls per second', 150)
  .option('--out', 'Folder that the histories are written to', 'out')
  .action((flags: RequestFlags) => exitWithResult(runRequestProofs(flags)));

program
  .command('steps')
  .describe('Runs trainers while faults are injected and checks their samples.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs, each with the next seed', 1)
  .option('--faults', 'Number of faults in a run', 4)
  .option('--kinds', 'Kinds of faults, separated by commas; all when left out')
  .option('--span', 'Time over which faults begin, in milliseconds', 10000)
  .option('--steps', 'Steps of each trainer', 6)
  .action((flags: StepFlags) => exitWithResult(runStepProofs(flags)));

program
  .command('keys')
  .describe('Withdraws a key while it is in use and measures how long it can still be used.')
  .option('--seed', 'Seed', 1)
  .action((flags: { seed: number }) => exitWithResult(runKeyProofs(flags)));

program
  .command('bench latency')
  .describe(
    'Measures requests through entry and agent, through a plain proxy, and to the target itself.',
  )
  .action(benchLatency);

program
  .command('bench flood')
  .describe('Measures small teams while a large team sends ten times its bound.')
  .action(benchFlood);

program
  .command('bench capacity')
  .describe('Measures how the cost of each process grows with the size of the deployment.')
  .option(
    '--only',
    'Series to measure: agents, entries, keys, trainers or changes; all when left out',
  )
  .action((flags: { only?: string }) => benchCapacity(flags.only));

program.parse(process.argv);

/** Exits with code 0 without violations, and with 1 otherwise. */
async function exitWithResult(violationCount: Promise<number>): Promise<void> {
  process.exit((await violationCount) === 0 ? 0 : 1);
}
