/** The commands that run the proofs, seed by seed, and print their results. */
import { type FaultKind, parseFaultKinds } from './faults';
import { writeHistory } from './history';
import { KEY_SITUATIONS, proveWithdrawal } from './key-proof';
import type { Violation } from './request-checkers';
import { proveRequests } from './request-proof';
import { proveSteps } from './step-proof';

const MAX_PRINTED_VIOLATIONS = 10;

/** The flags of every command that makes several runs. */
export interface RunFlags {
  /** The first seed; each further run has the next one. */
  readonly seed: number;
  readonly runs: number;
  /** The number of faults in a run. */
  readonly faults: number;
  /** Kinds of faults, separated by commas. */
  readonly kinds?: string;
  /** The time within which faults begin, in milliseconds. */
  readonly span: number;
}

/** The flags of the command `requests`. */
export interface RequestFlags extends RunFlags {
  /** Calls per second. */
  readonly rate: number;
  /** The folder that the histories are written to. */
  readonly out: string;
}

/** The flags of the command `steps`. */
export interface StepFlags extends RunFlags {
  /** Steps of each trainer. */
  readonly steps: number;
}

/**
 * Runs callers while faults are injected, and writes each run's history.
 *
 * @param flags - seeds, faults and load
 * @returns the number of invariant violations
 */
export function runRequestProofs(flags: RequestFlags): Promise<number> {
  return runOverSeeds(flags, async (seed) => {
    const result = await proveRequests({
      ...createFaultOptions(flags),
      seed,
      callsPerSecond: flags.rate,
    });
    await writeHistory(`${flags.out}/requests-${seed}.jsonl`, result.history);
    return { ...result, faults: result.history.faults };
  });
}

/**
 * Runs trainers while faults are injected.
 *
 * @param flags - seeds, faults and steps
 * @returns the number of invariant violations
 */
export function runStepProofs(flags: StepFlags): Promise<number> {
  return runOverSeeds(flags, (seed) =>
    proveSteps({ ...createFaultOptions(flags), seed, stepCount: flags.steps }),
  );
}

/**
 * Withdraws a key in every situation and prints how long it could still be used.
 *
 * @param flags - the seed
 * @returns the number of invariant violations
 */
export async function runKeyProofs(flags: { readonly seed: number }): Promise<number> {
  let violationCount = 0;
  for (const situation of KEY_SITUATIONS) {
    const result = await proveWithdrawal(situation, flags.seed);
    violationCount += result.violations.length;
    print(`${situation}: last use ${result.lastUseMs} ms after the withdrawal`);
  }
  print(`${KEY_SITUATIONS.length} situations, ${violationCount} violations`);
  return violationCount;
}

/** What is printed about the run of one seed. */
interface SeedResult {
  readonly summary: object;
  readonly faults: readonly { readonly fault: string; readonly on: string }[];
  readonly violations: readonly Violation[];
}

async function runOverSeeds(
  { seed: firstSeed, runs }: RunFlags,
  prove: (seed: number) => Promise<SeedResult>,
): Promise<number> {
  let violationCount = 0;
  for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
    const result = await prove(seed);
    violationCount += result.violations.length;
    printResult(seed, result);
  }
  print(`${runs} runs, ${violationCount} violations`);
  return violationCount;
}

function printResult(seed: number, { summary, faults, violations }: SeedResult): void {
  print(`seed ${seed}: ${JSON.stringify(summary)}`);
  print(`  faults: ${faults.map(({ fault, on }) => `${fault} ${on}`).join(', ')}`);
  violations
    .slice(0, MAX_PRINTED_VIOLATIONS)
    .forEach((violation) => print(`  VIOLATION ${JSON.stringify(violation)}`));
}

function createFaultOptions(flags: RunFlags) {
  const faultKinds = flags.kinds === undefined ? undefined : readFaultKinds(flags.kinds);
  return { faultCount: flags.faults, spanMs: flags.span, ...(faultKinds && { faultKinds }) };
}

function readFaultKinds(text: string): FaultKind[] {
  return parseFaultKinds(text).match(
    (kinds) => kinds,
    (unknown) => {
      throw new Error(`unknown kinds of faults: ${unknown.join(', ')}`);
    },
  );
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
