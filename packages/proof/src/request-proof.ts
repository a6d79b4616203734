/** A run of callers while faults are injected, and the check of its history. */
import { RandomSource } from '@hibiscushill/base';

import { readPlatformEvents, readTargetEvents } from './fake-histories';
import { checkPlatformEvents } from './platform-checkers';
import { type PlannedCall, Caller } from './caller';
import { Cluster, sleep, waitFor } from './cluster';
import { type ExampleOptions, EXAMPLE_TEAMS, createExamplePlan } from './example';
import { FaultInjector, type FaultKind, planFaults } from './faults';
import type { CallKind, RunHistory } from './history';
import { type Violation, checkRequests } from './request-checkers';

const CALL_KINDS: readonly CallKind[] = ['generate', 'look-up', 'order'];
const SETTLE_MS = 500;

/** What a run consists of. */
export interface RequestProofOptions {
  readonly seed: number;
  /** The mean rate; calls arrive as a Poisson process. */
  readonly callsPerSecond?: number;
  /** The time within which calls are sent and faults begin, in milliseconds. */
  readonly spanMs?: number;
  readonly faultCount?: number;
  /** The kinds of faults; all when left out. */
  readonly faultKinds?: readonly FaultKind[];
  /** Changes to the deployment. */
  readonly example?: Partial<ExampleOptions>;
}

/** The outcome of a run. */
export interface RequestProofResult {
  readonly history: RunHistory;
  readonly violations: readonly Violation[];
  readonly summary: RequestSummary;
}

/** Counts of a run. `Right` counts the calls whose response was the expected one. */
export interface RequestSummary {
  readonly calls: number;
  readonly idempotent: number;
  readonly idempotentRight: number;
  readonly orders: number;
  readonly ordersRight: number;
  /** How often each outcome of failed calls occurred: kind, status, result code, run state. */
  readonly codes: Readonly<Record<string, number>>;
  /** The longest time from a call to its return, in milliseconds. */
  readonly slowestMs: number;
}

/**
 * Makes calls while faults are injected, then checks the history of the run.
 *
 * @param options - seed, load and faults
 * @returns the history, the violations and the counts
 */
export async function proveRequests(options: RequestProofOptions): Promise<RequestProofResult> {
  const { seed, spanMs = 8000, faultCount = 6 } = options;
  const random = new RandomSource(seed);
  const plan = createExamplePlan({
    seed,
    engines: 3,
    plainTargets: 3,
    entries: 2,
    entryArgs: ['--usage-window-ms', '2000', '--usage-grace-ms', '1000'],
    ...options.example,
  });
  const cluster = await Cluster.start(plan);
  const history: RunHistory = { seed, calls: [], faults: [] };
  try {
    const injector = new FaultInjector(cluster, (fault) => history.faults.push(fault));
    const schedule = planFaults(random, {
      count: faultCount,
      spanMs,
      ...(options.faultKinds && { kinds: options.faultKinds }),
    });
    await Promise.all([runCallers(cluster, history, options, random), injector.run(schedule)]);
    await waitFor('a running entry', () => cluster.entryUrls.length > 0);
    await sleep(SETTLE_MS);
    const targetEvents = await readTargetEvents(cluster);
    const secrets = [...cluster.keys.values()].map((key) => key.secret);
    const violations = [
      ...checkRequests({ calls: history.calls, targetEvents, secrets }),
      ...checkPlatformEvents(await readPlatformEvents(cluster)),
    ];
    return { history, violations, summary: summarize(history) };
  } finally {
    await cluster.stop();
  }
}

async function runCallers(
  cluster: Cluster,
  history: RunHistory,
  options: RequestProofOptions,
  random: RandomSource,
): Promise<void> {
  const { seed, callsPerSecond = 150, spanMs = 8000 } = options;
  const caller = new Caller(cluster);
  const openCalls: Promise<void>[] = [];
  const startedAt = performance.now();
  let dueMs = 0;
  for (let number = 0; dueMs < spanMs; number += 1) {
    dueMs += random.exponential(1000 / callsPerSecond);
    const call = planCall(seed, number, random);
    const entryIndex = random.int(0, 1000);
    await sleep(Math.max(0, dueMs - (performance.now() - startedAt)));
    const urls = cluster.entryUrls;
    const url = urls[entryIndex % urls.length] ?? '';
    openCalls.push(
      caller.call(call, url).then((record) => {
        history.calls.push(record);
      }),
    );
  }
  await Promise.all(openCalls);
  await caller.close();
}

function planCall(seed: number, number: number, random: RandomSource): PlannedCall {
  return {
    id: `r${seed}-${number}`,
    kind: random.pick(CALL_KINDS) ?? 'order',
    team: random.pick(EXAMPLE_TEAMS) ?? EXAMPLE_TEAMS[0],
  };
}

function summarize({ calls }: RunHistory): RequestSummary {
  const idempotent = calls.filter((call) => call.kind !== 'order');
  const orders = calls.filter((call) => call.kind === 'order');
  const codes: Record<string, number> = {};
  calls
    .filter((call) => !call.isRight)
    .forEach((call) => {
      // Status 0 without a code: the connection broke or no response arrived in time.
      const outcome = `${call.kind} ${call.status} ${call.code ?? '-'} ${call.run ?? '-'}`;
      codes[outcome] = (codes[outcome] ?? 0) + 1;
    });
  return {
    calls: calls.length,
    idempotent: idempotent.length,
    idempotentRight: idempotent.filter((call) => call.isRight).length,
    orders: orders.length,
    ordersRight: orders.filter((call) => call.isRight).length,
    codes,
    slowestMs: Math.round(Math.max(...calls.map((call) => call.returnedAt - call.invokedAt))),
  };
}
