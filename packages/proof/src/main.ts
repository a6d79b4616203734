/** The program `hibiscus-proof`: the demo and the proofs, on processes that it starts. */
import sade from 'sade';

import { benchCapacity } from './bench-capacity';
import { benchFlood } from './bench-flood';
import { benchLatency } from './bench-latency';
import { runDemo } from './demo';
import type { FaultKind } from './faults';
import { writeHistory } from './history';
import { KEY_SITUATIONS, proveWithdrawal } from './key-proof';
import { proveRequests } from './request-proof';
import { proveSteps } from './step-proof';

const MOST_PRINTED = 10;

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
  .command('requests')
  .describe('Runs callers against faults and checks the history.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs, each with the next seed', 1)
  .option('--faults', 'Faults of a run', 6)
  .option('--kinds', 'Kinds of faults, separated by commas; all when left out')
  .option('--span', 'Length of a run, in milliseconds', 8000)
  .option('--rate', 'Calls a second', 150)
  .option('--out', 'Folder for the histories', 'out')
  .action(runRequests);

program
  .command('steps')
  .describe('Runs trainers against faults and checks their samples.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs, each with the next seed', 1)
  .option('--faults', 'Faults of a run', 4)
  .option('--kinds', 'Kinds of faults, separated by commas; all when left out')
  .option('--span', 'Time over which faults begin, in milliseconds', 10000)
  .option('--steps', 'Steps of each trainer', 6)
  .action(runSteps);

program
  .command('keys')
  .describe('Withdraws a key under traffic and measures when it stops.')
  .option('--seed', 'Seed', 1)
  .action(runKeys);

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

interface RequestFlags {
  seed: number;
  runs: number;
  faults: number;
  kinds?: string;
  span: number;
  rate: number;
  out: string;
}

async function runRequests(flags: RequestFlags): Promise<void> {
  let broken = 0;
  for (let { seed } = flags; seed < flags.seed + flags.runs; seed += 1) {
    const result = await proveRequests({
      seed,
      faults: flags.faults,
      spanMs: flags.span,
      callsPerSecond: flags.rate,
      ...(flags.kinds && { kinds: flags.kinds.split(',') as FaultKind[] }),
    });
    broken += result.violations.length;
    await writeHistory(`${flags.out}/requests-${seed}.jsonl`, result.history);
    const faults = result.history.faults.map(({ fault, on }) => `${fault} ${on}`).join(', ');
    process.stdout.write(`seed ${seed}: ${JSON.stringify(result.summary)}\n  faults: ${faults}\n`);
    result.violations.forEach((violation) =>
      process.stdout.write(`  BROKEN ${JSON.stringify(violation)}\n`),
    );
  }
  process.stdout.write(`${flags.runs} runs, ${broken} promises broken\n`);
  process.exit(broken === 0 ? 0 : 1);
}

interface StepFlags {
  seed: number;
  runs: number;
  faults: number;
  kinds?: string;
  span: number;
  steps: number;
}

async function runSteps(flags: StepFlags): Promise<void> {
  let broken = 0;
  for (let { seed } = flags; seed < flags.seed + flags.runs; seed += 1) {
    const result = await proveSteps({
      seed,
      faults: flags.faults,
      spanMs: flags.span,
      steps: flags.steps,
      ...(flags.kinds && { kinds: flags.kinds.split(',') as FaultKind[] }),
    });
    broken += result.violations.length;
    const faults = result.faults.map(({ fault, on }) => `${fault} ${on}`).join(', ');
    process.stdout.write(`seed ${seed}: ${JSON.stringify(result.summary)}\n  faults: ${faults}\n`);
    result.violations
      .slice(0, MOST_PRINTED)
      .forEach((violation) => process.stdout.write(`  BROKEN ${JSON.stringify(violation)}\n`));
  }
  process.stdout.write(`${flags.runs} runs, ${broken} promises broken\n`);
  process.exit(broken === 0 ? 0 : 1);
}

async function runKeys(flags: { seed: number }): Promise<void> {
  let broken = 0;
  for (const situation of KEY_SITUATIONS) {
    const result = await proveWithdrawal(situation, flags.seed);
    broken += result.violations.length;
    process.stdout.write(`${situation}: last use ${result.lastUseMs} ms after the withdrawal\n`);
  }
  process.stdout.write(`${KEY_SITUATIONS.length} situations, ${broken} promises broken\n`);
  process.exit(broken === 0 ? 0 : 1);
}
