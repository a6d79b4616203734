/** The `hibiscus-load` program: sends load to loopback addresses and compares policies. */
import type { Failure } from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';
import sade from 'sade';

import { type CompareFlags, type ProxyFlags, type RunFlags } from './commands';
import { compareCommand, proxyCommand, runCommand } from './commands';
import { runPolicies } from './policies';

const PIDS = '--watch-pid';
const PIDS_DOC = 'Process ids whose processor time is measured, separated by commas';

const cli = sade('hibiscus-load');

cli
  .command('run <scenario>', 'Sends the requests of a scenario file.')
  .option('--base-url', 'Where to, such as http://127.0.0.1:8080')
  .option('--seed', "Replaces the scenario's seed")
  .option(PIDS, PIDS_DOC)
  .option('--json', 'File for the report as JSON')
  .option('--html', 'File for the report as an HTML page')
  .option('--history', 'File for one JSON line a request')
  .action((scenario: string, flags: RunFlags) => print(runCommand(scenario, flags)));

cli
  .command('compare <a> <b>', 'Compares two JSON reports, or with --scenario two base URLs.')
  .option('--scenario', 'Scenario file that is run against both at the same time')
  .option(PIDS, PIDS_DOC)
  .action((a: string, b: string, flags: CompareFlags) => print(compareCommand(a, b, flags)));

cli
  .command('proxy', 'Starts a bare proxy, the baseline of measurements.')
  .option('--listen', 'Address to listen on', '127.0.0.1:0')
  .option('--target-url', 'Where requests go')
  .action((flags: ProxyFlags) => print(proxyCommand(flags)));

cli
  .command('policies', 'Simulates the policies next to their baselines.')
  .option('--seed', 'Seed of the arrivals', 1)
  .action((flags: { seed: number }) => {
    process.stdout.write(`${runPolicies(Number(flags.seed))}\n`);
  });

cli.parse(process.argv, { string: ['watch-pid', 'base-url', 'listen', 'target-url'] } as never);

async function print(text: ResultAsync<string, Failure>): Promise<void> {
  const result = await text;
  if (result.isOk()) {
    process.stdout.write(`${result.value}\n`);
  } else {
    process.stderr.write(`hibiscus-load: ${result.error.code}: ${result.error.detail}\n`);
    process.exitCode = 1;
  }
}
