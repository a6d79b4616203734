/** The program `hibiscus-proof`: the demo and the proofs, on processes that it starts. */
import sade from 'sade';

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

program.parse(process.argv);
