/**
 * Runs the tests. Those that KNOWN-RED.txt lists run apart: they are printed, and have to fail.
 */
import { spawnSync } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';

import {
  type KnownRedTest,
  type TestReport,
  createOthersPattern,
  createTitlePattern,
  findEntryProblem,
  parseKnownRed,
} from './known-red';

const LIST_PATH = 'KNOWN-RED.txt';
// Tests that measure the memory of a process, which run one at a time and beside no others.
const OVERLOAD_TESTS = 'platform/test/overload';
const REPORT_PATH = 'out/known-red.json';

/** Runs the test runner with its output shown; returns its exit code. */
function runVitest(args: readonly string[]): number {
  const { status } = spawnSync('npx', ['vitest', 'run', ...args], { stdio: 'inherit' });
  return status ?? 1;
}

/** Runs all tests, or those whose titles match a pattern; returns the exit code. */
function runInTwoPasses(pattern?: string): number {
  const titles = pattern === undefined ? [] : ['-t', pattern];
  const exitCode = runVitest(['--exclude', `${OVERLOAD_TESTS}/**`, ...titles]);
  return runVitest([OVERLOAD_TESTS, '--no-file-parallelism', ...titles]) || exitCode;
}

/** Runs one listed test; returns what is wrong with its entry. */
function checkListedTest(test: KnownRedTest): string | undefined {
  writeFileSync(REPORT_PATH, JSON.stringify({ testResults: [] }));
  const pattern = createTitlePattern(test);
  runVitest([test.file, '-t', pattern, '--reporter=json', `--outputFile=${REPORT_PATH}`]);
  return findEntryProblem(test, JSON.parse(readFileSync(REPORT_PATH, 'utf8')) as TestReport);
}

/** Runs all tests; returns the exit code. */
function runTests(): number {
  const text = readFileSync(LIST_PATH, 'utf8');
  const listed = parseKnownRed(text);
  if (listed.isErr()) {
    process.stdout.write(`${LIST_PATH}: malformed entry: ${listed.error}\n`);
    return 1;
  }
  const tests = listed.value;
  if (tests.length === 0) return runInTwoPasses();
  const exitCode = runInTwoPasses(createOthersPattern(tests));
  mkdirSync('out', { recursive: true });
  const problems = tests.map(checkListedTest).filter((problem) => problem !== undefined);
  process.stdout.write(`Known red, passed over:\n${text}\n`);
  problems.forEach((problem) => process.stdout.write(`${problem}\n`));
  return problems.length > 0 ? 1 : exitCode;
}

process.exitCode = runTests();
