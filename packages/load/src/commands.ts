/** The commands of the program. */
import { type Failure, createFailure } from '@hibiscushill/base';
import { type Result, ResultAsync, errAsync } from 'neverthrow';

import { formatComparison, formatReport } from './compare';
import { HistoryFile, type OutputPaths, readReport, readScenario, writeReport } from './files';
import { parseLoopbackUrl } from './loopback';
import { createProxy } from './proxy';
import { type Report, runScenario } from './run';
import type { Scenario } from './scenario';

/** The flags of `run`. */
export interface RunFlags extends OutputPaths {
  readonly 'base-url'?: string;
  readonly 'watch-pid'?: string;
  readonly history?: string;
  readonly seed?: string;
}

/** The flags of `compare`. */
export interface CompareFlags {
  readonly scenario?: string;
  readonly 'watch-pid'?: string;
}

/** The flags of `proxy`. */
export interface ProxyFlags {
  readonly listen: string;
  readonly 'target-url'?: string;
}

/**
 * Runs a scenario and writes its results.
 *
 * @param path - the scenario file
 * @param flags - the flags
 * @returns the report as text
 */
export function runCommand(path: string, flags: RunFlags): ResultAsync<string, Failure> {
  return parseLoopbackUrl(flags['base-url'] ?? '').asyncAndThen((baseUrl) =>
    readScenario(path).andThen((scenario) =>
      settle(runAndWrite(baseUrl, withSeed(scenario, flags.seed), flags)).map(formatReport),
    ),
  );
}

/**
 * Compares two report files, or runs a scenario against two base URLs at the same time.
 *
 * @param one - a report file or a base URL
 * @param other - a report file or a base URL
 * @param flags - with `scenario`, the two are base URLs
 * @returns the table
 */
export function compareCommand(
  one: string,
  other: string,
  flags: CompareFlags,
): ResultAsync<string, Failure> {
  const reports = flags.scenario
    ? readScenario(flags.scenario).andThen((scenario) => runBoth(one, other, scenario, flags))
    : readReport(one).andThen((first) =>
        readReport(other).map((second) => [first, second] as const),
      );
  return reports.map(([first, second]) => formatComparison({ A: first, B: second }));
}

/**
 * Starts the bare proxy.
 *
 * @param flags - the flags
 * @returns the line that says where it listens
 */
export function proxyCommand(flags: ProxyFlags): ResultAsync<string, Failure> {
  return parseLoopbackUrl(flags['target-url'] ?? '')
    .andThen((targetUrl) =>
      parseLoopbackUrl(`http://${flags.listen}`).map(() => createProxy(targetUrl)),
    )
    .asyncAndThen((app) => {
      const [host = '127.0.0.1', port = '0'] = flags.listen.split(':');
      return settle(app.listen({ host, port: Number(port) }));
    })
    .map((address) => JSON.stringify({ listening: address.replace('http://', '') }));
}

async function runAndWrite(baseUrl: string, scenario: Scenario, flags: RunFlags): Promise<Report> {
  const history = flags.history ? new HistoryFile(flags.history) : undefined;
  const report = await runScenario(scenario, {
    baseUrl,
    watchPids: parsePids(flags['watch-pid']),
    onHistory: (line) => history?.add(line),
  });
  await history?.close();
  await writeReport(report, flags);
  return report;
}

function runBoth(
  one: string,
  other: string,
  scenario: Scenario,
  flags: CompareFlags,
): ResultAsync<readonly [Report, Report], Failure> {
  const watchPids = parsePids(flags['watch-pid']);
  const run = (url: Result<string, Failure>) =>
    url.asyncAndThen((baseUrl) => settle(runScenario(scenario, { baseUrl, watchPids })));
  const [first, second] = [parseLoopbackUrl(one), parseLoopbackUrl(other)];
  if (first.isErr() || second.isErr()) {
    return errAsync(createFailure('request_invalid', { detail: 'Give two loopback URLs.' }));
  }
  const [left, right] = [run(first), run(second)];
  return left.andThen((a) => right.map((b) => [a, b] as const));
}

function parsePids(text: string | undefined): number[] {
  return String(text ?? '')
    .split(',')
    .filter((part) => /^\d+$/.test(part))
    .map(Number);
}

function withSeed(scenario: Scenario, seed: string | undefined): Scenario {
  return seed === undefined ? scenario : { ...scenario, seed: Number(seed) };
}

function settle<T>(promise: Promise<T>): ResultAsync<T, Failure> {
  return ResultAsync.fromPromise(promise, (error) =>
    createFailure('internal', { detail: String(error) }),
  );
}
