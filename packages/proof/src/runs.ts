/** The proofs as commands: runs over seeds, with their results printed. */
import { type FaultKind } from './faults';
import { writeHistory } from './history';
import { KEY_SITUATIONS, proveWithdrawal } from './key-proof';
import type { Violation } from './request-checkers';
import { proveRequests } from './request-proof';
import { proveSteps } from './step-proof';

const MOST_PRINTED = 10;

/** Which runs are made. */
export interface RunFlags {
  readonly seed: number;
  readonly runs: number;
  readonly faults: number;
  readonly kinds?: string;
  readonly span: number;
}

/** Runs of callers. */
export interface RequestFlags extends RunFlags {
  readonly rate: number;
  readonly out: string;
}

/** Runs of trainers. */
export interface StepFlags extends RunFlags {
  readonly steps: number;
}

/**
 * Runs callers against faults.
 *
 * @param flags - seeds, faults and load
 * @returns how many promises were broken
 */
export function runRequests(flags: RequestFlags): Promise<number> {
  return overSeeds(flags, async (seed) => {
    const result = await proveRequests({
      ...pickFaults(flags),
      seed,
      callsPerSecond: flags.rate,
    });
    await writeHistory(`${flags.out}/requests-${seed}.jsonl`, result.history);
    return { ...result, faults: result.history.faults };
  });
}

/**
 * Runs trainers against faults.
 *
 * @param flags - seeds, faults and steps
 * @returns how many promises were broken
 */
export function runSteps(flags: StepFlags): Promise<number> {
  return overSeeds(flags, (seed) => proveSteps({ ...pickFaults(flags), seed, steps: flags.steps }));
}

/**
 * Withdraws a key in every situation.
 *
 * @param flags - the seed
 * @returns how many promises were broken
 */
export async function runKeys(flags: { readonly seed: number }): Promise<number> {
  let broken = 0;
  for (const situation of KEY_SITUATIONS) {
    const result = await proveWithdrawal(situation, flags.seed);
    broken += result.violations.length;
    print(`${situation}: last use ${result.lastUseMs} ms after the withdrawal`);
  }
  print(`${KEY_SITUATIONS.length} situations, ${broken} promises broken`);
  return broken;
}

interface SeedResult {
  readonly summary: object;
  readonly faults: readonly { readonly fault: string; readonly on: string }[];
  readonly violations: readonly Violation[];
}

async function overSeeds(
  { seed: first, runs }: RunFlags,
  prove: (seed: number) => Promise<SeedResult>,
): Promise<number> {
  let broken = 0;
  for (let seed = first; seed < first + runs; seed += 1) {
    const result = await prove(seed);
    broken += result.violations.length;
    printResult(seed, result);
  }
  print(`${runs} runs, ${broken} promises broken`);
  return broken;
}

function printResult(seed: number, { summary, faults, violations }: SeedResult): void {
  print(`seed ${seed}: ${JSON.stringify(summary)}`);
  print(`  faults: ${faults.map(({ fault, on }) => `${fault} ${on}`).join(', ')}`);
  violations
    .slice(0, MOST_PRINTED)
    .forEach((violation) => print(`  BROKEN ${JSON.stringify(violation)}`));
}

function pickFaults(flags: RunFlags) {
  const kinds = flags.kinds?.split(',') as FaultKind[] | undefined;
  return { faults: flags.faults, spanMs: flags.span, ...(kinds && { kinds }) };
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
