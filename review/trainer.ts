/** A client that submits one batch, reads its results and gives up at its time budget. */
import { setTimeout as sleep } from 'node:timers/promises';

import { send } from './client';
import { API_KEY, HOST, type SmallDeployment } from './deployment';
import type { Replica, Run } from './replica';

const POLL_INTERVAL_MS = 500;
const RETRY_MS = 200;
// How long an item may be at no replica, and for how long before a version must not be named.
const MAX_ABSENCE_MS = 5_000;
const VERSION_QUIET_MS = 6_000;
const MIN_RUN_MS = 1_000;
// `contactMs`: how long after a disruption the deployment is in steady state again.
const CONTACT_MS = 3_000;

export interface StepOptions {
  readonly id: string;
  readonly pathPrefix: string;
  /** The model that its items name in their headers. */
  readonly model: string;
  /** What a trainer states beside its items; undefined for a batch that no trainer submits. */
  readonly training?: { readonly step: number; readonly minVersion: number };
  readonly groups: number;
  readonly itemsPerGroup: number;
  readonly budgetMs: number;
}

interface ListedResult {
  readonly id: string;
  readonly state: string;
  readonly versions: readonly number[];
}

/** How a step ended. */
export interface StepOutcome {
  readonly items: readonly string[];
  readonly listed: readonly ListedResult[];
  /** Milliseconds since the start of the case. */
  readonly acceptedAt: number;
  readonly endedAt: number;
}

/**
 * Submits a step, reads its results until all are listed or its time is up, and ends it.
 *
 * @param onAccepted - called with the 202
 */
export async function runStep(
  deployment: SmallDeployment,
  options: StepOptions,
  onAccepted: () => void,
): Promise<StepOutcome> {
  const { record, processes } = deployment;
  const { id, pathPrefix, model, training, groups, itemsPerGroup, budgetMs } = options;
  const headers = { Host: HOST, Authorization: `Bearer ${API_KEY}` };
  const items = Array.from({ length: groups * itemsPerGroup }, (_, index) => ({
    id: `${id}-${index}`,
    path: `${pathPrefix}3/91c4`,
    headers: {
      Model: model,
      'Token-Counts': '540,400',
      'Prompt-Prefix': `9c2e41:300,${index}:240`,
    },
    body: Buffer.from(`prompt ${index}`).toString('base64'),
    tokens: 940,
    group: `${id}-g${Math.floor(index / itemsPerGroup)}`,
  }));
  const terms = training && { ...training, model, desired: groups };
  const body = JSON.stringify({ ...terms, items });
  const startedAt = record.elapsedMs;
  for (let attempt = 0; ; attempt += 1) {
    const node = processes[attempt % processes.length];
    const response = await send(node?.front ?? '', {
      method: 'POST',
      path: `${pathPrefix}${id}`,
      headers: { ...headers, 'Attempt-Id': id },
      body,
    });
    record.add('trainer', `submits ${id} to ${node?.name}: ${response.status}`);
    if (response.status === 202) break;
    await sleep(RETRY_MS);
  }
  const acceptedAt = record.elapsedMs;
  onAccepted();
  const listed: ListedResult[] = [];
  for (let attempt = 0; record.elapsedMs - startedAt < budgetMs; attempt += 1) {
    const node = processes[attempt % processes.length];
    const path = `/-/lots/${id}?after=${listed.length}`;
    const response = await send(node?.front ?? '', { path, headers });
    const page =
      response.status === 200
        ? (JSON.parse(response.body) as { results: ListedResult[] }).results
        : [];
    page.forEach((result) =>
      record.add(
        'trainer',
        `reads ${result.id}: ${result.state}, versions ${result.versions.join()}`,
      ),
    );
    listed.push(...page);
    if (listed.length === items.length) break;
    await sleep(POLL_INTERVAL_MS);
  }
  const endedAt = record.elapsedMs;
  record.add('trainer', `ends ${id} with ${listed.length} of ${items.length} results`);
  const [first] = processes;
  await send(first?.front ?? '', { method: 'DELETE', path: `/-/lots/${id}`, headers });
  return { items: items.map((item) => item.id), listed, acceptedAt, endedAt };
}

/**
 * Finds items that break the rule LOST on steps: not finished or failed by any replica, and at no
 * replica for five seconds of steady state, while others of the step had begun, the replicas were
 * under half full, and no version was named then or in the six seconds before.
 *
 * @param disruptedAt - when the disruption happened; undefined without one
 * @param namedAt - when a version was last named; undefined if none was
 */
export function findLostItems(
  { items, listed, acceptedAt, endedAt }: StepOutcome,
  replicas: readonly Replica[],
  { disruptedAt, namedAt }: { disruptedAt: number | undefined; namedAt: number | undefined },
): string[] {
  if (listed.length === items.length) return [];
  const runs = replicas.flatMap((replica) => replica.runs).filter((run) => items.includes(run.id));
  const slots = replicas.reduce((sum, { options }) => sum + options.slots, 0);
  const from = Math.max(
    acceptedAt,
    (disruptedAt ?? -Infinity) + CONTACT_MS,
    (namedAt ?? -Infinity) + VERSION_QUIET_MS,
  );
  const begin = endedAt - MAX_ABSENCE_MS;
  const open = runs.filter((run) => isAtReplica(run, begin, endedAt));
  if (begin < from || open.length >= slots / 2) return [];
  return items.filter((id) => {
    const own = runs.filter((run) => run.id === id);
    const isFinished = own.some((run) => run.isComplete);
    const haveOthersBegun = runs.some((run) => run.id !== id && hasBegun(run));
    return haveOthersBegun && !isFinished && !own.some((run) => isAtReplica(run, begin, endedAt));
  });
}

/** A run that its sender ends within a second doesn't count. */
function hasBegun({ arrivedAt, endedAt = Infinity, isComplete }: Run): boolean {
  return isComplete || endedAt - arrivedAt > MIN_RUN_MS;
}

function isAtReplica({ arrivedAt, endedAt = Infinity }: Run, from: number, to: number): boolean {
  return arrivedAt <= to && endedAt >= from;
}
