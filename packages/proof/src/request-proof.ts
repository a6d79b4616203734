/** One run of callers against faults, with every request checker over its history. */
import { RandomSource } from '@hibiscushill/base';

import { readBackends, readPlatform } from './backends';
import { checkPlatform } from './platform-checkers';
import { type CallPlan, Caller } from './caller';
import { Cluster, pause, waitFor } from './cluster';
import { type ExampleOptions, EXAMPLE_TEAMS, createExamplePlan } from './example';
import { FaultInjector, type FaultKind, planFaults } from './faults';
import type { CallKind, RunHistory } from './history';
import { type Violation, checkRequests } from './request-checkers';

const KINDS: readonly CallKind[] = ['generate', 'look-up', 'order'];
const SETTLE_MS = 500;

/** How a run is made. */
export interface RequestProofOptions {
  readonly seed: number;
  readonly callsPerSecond?: number;
  readonly spanMs?: number;
  readonly faults?: number;
  readonly kinds?: readonly FaultKind[];
  readonly cluster?: Partial<ExampleOptions>;
}

/** What came of a run. */
export interface RequestProofResult {
  readonly history: RunHistory;
  readonly violations: readonly Violation[];
  readonly summary: RequestSummary;
}

/** A run in numbers. */
export interface RequestSummary {
  readonly calls: number;
  readonly idempotent: number;
  readonly idempotentRight: number;
  readonly orders: number;
  readonly ordersRight: number;
  readonly codes: Readonly<Record<string, number>>;
  readonly slowestMs: number;
}

/**
 * Runs callers and faults at once and checks what they saw.
 *
 * @param options - seed, load and faults
 * @returns the history, what was broken, and the run in numbers
 */
export async function proveRequests(options: RequestProofOptions): Promise<RequestProofResult> {
  const { seed, spanMs = 8000, faults = 6 } = options;
  const random = new RandomSource(seed);
  const plan = createExamplePlan({
    seed,
    engines: 3,
    plains: 3,
    entries: 2,
    entryArgs: ['--usage-window-ms', '2000', '--usage-grace-ms', '1000'],
    ...options.cluster,
  });
  const cluster = await Cluster.start(plan);
  const history: RunHistory = { seed, calls: [], faults: [] };
  try {
    const injector = new FaultInjector(cluster, (fault) => history.faults.push(fault));
    const schedule = planFaults(random, {
      count: faults,
      spanMs,
      ...(options.kinds && { kinds: options.kinds }),
    });
    await Promise.all([callFor(cluster, history, options, random), injector.run(schedule)]);
    await waitFor('the platform to answer again', () => cluster.entryUrls.length > 0);
    await pause(SETTLE_MS);
    const backends = await readBackends(cluster);
    const secrets = [...cluster.keys.values()].map((key) => key.secret);
    const violations = [
      ...checkRequests({ calls: history.calls, backends, secrets }),
      ...checkPlatform(await readPlatform(cluster)),
    ];
    return { history, violations, summary: summarize(history) };
  } finally {
    await cluster.stop();
  }
}

async function callFor(
  cluster: Cluster,
  history: RunHistory,
  options: RequestProofOptions,
  random: RandomSource,
): Promise<void> {
  const { seed, callsPerSecond = 150, spanMs = 8000 } = options;
  const caller = new Caller(cluster);
  const open: Promise<void>[] = [];
  const startedAt = performance.now();
  let dueMs = 0;
  for (let number = 0; dueMs < spanMs; number += 1) {
    dueMs += random.exponential(1000 / callsPerSecond);
    const call = planCall(seed, number, random);
    const entry = random.int(0, 1000);
    await pause(Math.max(0, dueMs - (performance.now() - startedAt)));
    const urls = cluster.entryUrls;
    const url = urls[entry % urls.length] ?? '';
    open.push(
      caller.call(call, url).then((record) => {
        history.calls.push(record);
      }),
    );
  }
  await Promise.all(open);
  await caller.close();
}

function planCall(seed: number, number: number, random: RandomSource): CallPlan {
  return {
    id: `r${seed}-${number}`,
    kind: random.pick(KINDS) ?? 'order',
    team: random.pick(EXAMPLE_TEAMS) ?? EXAMPLE_TEAMS[0],
  };
}

function summarize({ calls }: RunHistory): RequestSummary {
  // A call whose connection to its entry broke or that was never answered is told apart below.
  const idempotent = calls.filter((call) => call.kind !== 'order');
  const orders = calls.filter((call) => call.kind === 'order');
  const codes: Record<string, number> = {};
  calls
    .filter((call) => !call.isRight)
    .forEach((call) => {
      const name = `${call.kind} ${call.status} ${call.code ?? '-'} ${call.run ?? '-'}`;
      codes[name] = (codes[name] ?? 0) + 1;
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
