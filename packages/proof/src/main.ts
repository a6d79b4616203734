/** The program `hibiscus-proof`: the demo and the proofs, on processes that it starts. */
import sade from 'sade';

import { benchFlood } from './bench-flood';
import { benchLatency } from './bench-latency';
import { runDemo } from './demo';

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
  .command('bench latency')
  .describe('Measures the entry and agent next to a bare proxy and the target.')
  .action(benchLatency);

program
  .command('bench flood')
  .describe('Measures small teams under a flood by a large one.')
  .action(benchFlood);

program.parse(process.argv);
