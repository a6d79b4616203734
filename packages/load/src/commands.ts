/** The commands of `hibiscus-load`. Each returns the text to print, or a failure. */
import { type Failure, createFailure } from '@hibiscushill/base';
import { type Result, ResultAsync, errAsync } from 'neverthrow';

import { formatComparison, formatReport } from './compare';
import { HistoryFile, type OutputPaths, readReport, readScenario, writeReport } from './files';
import { parseLoopbackUrl } from './loopback';
import { createProxy } from './proxy';
import { type Report, runScenario } from './run';
import type { Scenario } from './scenario';

/** The flags of `run`, as they are given on the command line. */
export interface RunFlags extends OutputPaths {
  readonly 'base-url'?: string;
  readonly 'watch-pid'?: string;
  readonly history?: string;
  readonly seed?: string;
}

/** The flags of `compare`, as they are given on the command line. */
export interface CompareFlags {
  readonly scenario?: string;
  readonly 'watch-pid'?: string;
}

/** The flags of `proxy`, as they are given on the command line. */
export interface ProxyFlags {
  readonly listen: string;
  readonly 'target-url'?: string;
}

/**
 * Runs a scenario, and writes its report and its request history to the files of the flags.
 *
 * @param path - the scenario file
 * @param flags - the flags of `run`
 * @returns the report as a plain-text table, or why the scenario could not be run
 */
export function runCommand(path: string, flags: RunFlags): ResultAsync<string, Failure> {
  return parseLoopbackUrl(flags['base-url'] ?? '').asyncAndThen((baseUrl) =>
    readScenario(path).andThen((scenario) =>
      toResultAsync(runAndWrite(baseUrl, withSeed(scenario, flags.seed), flags)).map(formatReport),
    ),
  );
}

/**
 * Compares two report files, or runs a scenario against two base URLs at the same time.
 *
 * @param first - a report file or, when `flags.scenario` is set, a base URL
 * @param second - the same for the other side
 * @param flags - the flags of `compare`
 * @returns a plain-text table that names the sides A and B
 */
export function compareCommand(
  first: string,
  second: string,
  flags: CompareFlags,
): ResultAsync<string, Failure> {
  const reports = flags.scenario
    ? readScenario(flags.scenario).andThen((scenario) => runBoth(first, second, scenario, flags))
    : readReport(first).andThen((a) => readReport(second).map((b) => [a, b] as const));
  return reports.map(([a, b]) => formatComparison({ A: a, B: b }));
}

/**
 * Starts the plain proxy, which runs until the process ends.
 *
 * @param flags - the flags of `proxy`
 * @returns a JSON line with the host and port that the proxy listens on, as `listening`
 */
export function proxyCommand(flags: ProxyFlags): ResultAsync<string, Failure> {
  return parseLoopbackUrl(flags['target-url'] ?? '')
    .andThen((targetUrl) =>
      parseLoopbackUrl(`http://${flags.listen}`).map(() => createProxy(targetUrl)),
    )
    .asyncAndThen((app) => {
      const [host = '127.0.0.1', port = '0'] = flags.listen.split(':');
      return toResultAsync(app.listen({ host, port: Number(port) }));
    })
    .map((address) => JSON.stringify({ listening: address.replace('http://', '') }));
}

async function runAndWrite(baseUrl: string, scenario: Scenario, flags: RunFlags): Promise<Report> {
  const history = flags.history ? new HistoryFile(flags.history) : undefined;
  const report = await runScenario(scenario, {
    baseUrl,
    watchPids: parsePids(flags['watch-pid']),
    onHistoryLine: (line) => history?.append(line),
  });
  await history?.close();
  await writeReport(report, flags);
  return report;
}

function runBoth(
  firstUrl: string,
  secondUrl: string,
  scenario: Scenario,
  flags: CompareFlags,
): ResultAsync<readonly [Report, Report], Failure> {
  const watchPids = parsePids(flags['watch-pid']);
  const run = (parsedUrl: Result<string, Failure>) =>
    parsedUrl.asyncAndThen((baseUrl) =>
      toResultAsync(runScenario(scenario, { baseUrl, watchPids })),
    );
  const [first, second] = [parseLoopbackUrl(firstUrl), parseLoopbackUrl(secondUrl)];
  if (first.isErr() || second.isErr()) {
    return errAsync(
      createFailure('request_invalid', {
        detail: 'Both base URLs must be http URLs with a loopback host.',
      }),
    );
  }
  // Both runs start before either is awaited, so they run at the same time.
  const [firstRun, secondRun] = [run(first), run(second)];
  return firstRun.andThen((a) => secondRun.map((b) => [a, b] as const));
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

function toResultAsync<T>(promise: Promise<T>): ResultAsync<T, Failure> {
  return ResultAsync.fromPromise(promise, (error) =>
    createFailure('internal', { detail: String(error) }),
  );
}
