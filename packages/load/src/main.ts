/** The `hibiscus-load` program: sends load to loopback addresses and simulates policies. */
import type { Failure } from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';
import sade from 'sade';

import { type CompareFlags, type ProxyFlags, type RunFlags } from './commands';
import { compareCommand, proxyCommand, runCommand } from './commands';
import { simulatePolicies } from './policies';

const PIDS_OPTION = '--watch-pid';
const PIDS_DESCRIPTION = 'Comma-separated ids of the processes whose processor time is measured';

const cli = sade('hibiscus-load');

cli
  .command('run <scenario>', 'Sends the requests of a scenario file.')
  .option('--base-url', 'Base URL to send requests to, such as http://127.0.0.1:8080')
  .option('--seed', "Seed to use instead of the scenario's")
  .option(PIDS_OPTION, PIDS_DESCRIPTION)
  .option('--json', 'File for the report as JSON')
  .option('--html', 'File for the report as an HTML page')
  .option('--history', 'File for the request history, one JSON line per request')
  .action((scenario: string, flags: RunFlags) => printResult(runCommand(scenario, flags)));

cli
  .command('compare <a> <b>', 'Compares two JSON reports or, with --scenario, two base URLs.')
  .option('--scenario', 'Scenario file to run against both base URLs at the same time')
  .option(PIDS_OPTION, PIDS_DESCRIPTION)
  .action((a: string, b: string, flags: CompareFlags) => printResult(compareCommand(a, b, flags)));

cli
  .command('proxy', 'Starts a plain proxy without checks, the baseline of measurements.')
  .option('--listen', 'Address to listen on', '127.0.0.1:0')
  .option('--target-url', 'Base URL to forward requests to')
  .action((flags: ProxyFlags) => printResult(proxyCommand(flags)));

cli
  .command('policies', 'Simulates the policies and their baselines, and prints tables.')
  .option('--seed', 'Seed of the simulated request arrivals', 1)
  .action((flags: { seed: number }) => {
    process.stdout.write(`${simulatePolicies(Number(flags.seed))}\n`);
  });

cli.parse(process.argv, { string: ['watch-pid', 'base-url', 'listen', 'target-url'] } as never);

async function printResult(output: ResultAsync<string, Failure>): Promise<void> {
  const result = await output;
  if (result.isOk()) {
    process.stdout.write(`${result.value}\n`);
  } else {
    process.stderr.write(`hibiscus-load: ${result.error.code}: ${result.error.detail}\n`);
    process.exitCode = 1;
  }
}
