/** Withdraws a key while it is in use and measures how long it can still be used. */
import { randomUUID } from 'node:crypto';

import { CHANGE_KIND, type Declarations } from '@hibiscushill/config';
import { request } from 'undici';

import { Cluster, postJson, sleep, waitFor } from './cluster';
import { createExamplePlan } from './example';
import type { Violation } from './request-checkers';

/** How long after its withdrawal a key may still be used anywhere. */
const MAX_USE_AFTER_WITHDRAWAL_MS = 3000;

const TEAM = 'valley';
const CALL_INTERVAL_MS = 20;
const CALLING_PERIOD_MS = 5000;
const FREEZE_MS = 4500;
const STREAM_MAX_TOKENS = 4000;
const HTTP_OK = 200;

/** Where the key is used while it is withdrawn. */
export const KEY_SITUATIONS = ['calls', 'stream', 'frozen-entry', 'queued'] as const;

/** Where the key is used while it is withdrawn. */
export type KeySituation = (typeof KEY_SITUATIONS)[number];

/** The outcome of a withdrawal. */
export interface KeyProofResult {
  readonly situation: KeySituation;
  /**
   * The time from the withdrawal to the start of the last successful call or to the last chunk of
   * a stream, in milliseconds.
   */
  readonly lastUseMs: number;
  readonly violations: readonly Violation[];
}

/**
 * Withdraws a key in one situation.
 *
 * @param situation - where the key is used
 * @param seed - the seed of the fakes
 * @returns the time of the last use, and the violations
 */
export async function proveWithdrawal(
  situation: KeySituation,
  seed: number,
): Promise<KeyProofResult> {
  const cluster = await Cluster.start(
    createExamplePlan({
      seed,
      engines: 1,
      plainTargets: 2,
      engineSettings: { slots: 1, tokenMs: 5 },
    }),
  );
  try {
    const lastUseMs = await MEASUREMENTS[situation](cluster);
    const isTooLate = lastUseMs > MAX_USE_AFTER_WITHDRAWAL_MS;
    const detail = `used ${Math.round(lastUseMs)} ms after the withdrawal`;
    const violations = isTooLate
      ? [{ promise: 'a withdrawn key stops working', request: situation, detail }]
      : [];
    return { situation, lastUseMs: Math.round(lastUseMs), violations };
  } finally {
    await cluster.stop();
  }
}

/** Withdraws the key in a situation and returns the time of its last use, in milliseconds. */
const MEASUREMENTS: Readonly<Record<KeySituation, (cluster: Cluster) => Promise<number>>> = {
  calls: measureCalls,
  stream: measureStream,
  'frozen-entry': measureFrozenEntry,
  queued: measureQueuedRequest,
};

async function measureCalls(cluster: Cluster): Promise<number> {
  const acceptedAt = await withdrawKey(cluster);
  return measureLastSuccessfulCall(cluster, acceptedAt, cluster.entryUrls);
}

async function measureFrozenEntry(cluster: Cluster): Promise<number> {
  const [name = ''] = cluster.entries.keys();
  const frozenEntry = cluster.entries.get(name);
  frozenEntry?.signal('SIGSTOP');
  const acceptedAt = await withdrawKey(cluster);
  await sleep(FREEZE_MS);
  frozenEntry?.signal('SIGCONT');
  return measureLastSuccessfulCall(cluster, acceptedAt, cluster.entryUrls);
}

async function measureStream(cluster: Cluster): Promise<number> {
  const stream = await openStream(cluster);
  const acceptedAt = await withdrawKey(cluster);
  return measureLastChunk(stream, acceptedAt);
}

// The engine has one slot, so the second stream waits in the agent's queue.
async function measureQueuedRequest(cluster: Cluster): Promise<number> {
  const runningStream = await openStream(cluster, 'harbour');
  const queuedStream = openStream(cluster);
  await sleep(CALL_INTERVAL_MS * 5);
  const acceptedAt = await withdrawKey(cluster);
  const stream = await queuedStream;
  const lastUseMs = stream.statusCode === HTTP_OK ? await measureLastChunk(stream, acceptedAt) : 0;
  runningStream.body.on('error', () => undefined).destroy();
  return lastUseMs;
}

/** Calls every entry repeatedly; returns how long after `acceptedAt` the last success began. */
async function measureLastSuccessfulCall(
  cluster: Cluster,
  acceptedAt: number,
  urls: readonly string[],
): Promise<number> {
  let lastUseMs = 0;
  for (const until = performance.now() + CALLING_PERIOD_MS; performance.now() < until;) {
    const startedAt = performance.now();
    const statuses = await Promise.all(urls.map((url) => callLookUp(cluster, url)));
    if (statuses.includes(HTTP_OK)) lastUseMs = Math.max(lastUseMs, startedAt - acceptedAt);
    await sleep(CALL_INTERVAL_MS);
  }
  return lastUseMs;
}

/** Returns the HTTP status; zero without a response. */
async function callLookUp(cluster: Cluster, url: string): Promise<number> {
  const headers = { authorization: cluster.createAuthorization(TEAM) };
  try {
    const res = await request(`${url}/s/sales-desk/lots/1`, { headers });
    await res.body.dump();
    return res.statusCode;
  } catch {
    return 0;
  }
}

async function openStream(cluster: Cluster, team = TEAM) {
  return request(`${cluster.entryUrls[0] ?? ''}/s/tasting-models/generate`, {
    method: 'POST',
    headers: {
      authorization: cluster.createAuthorization(team),
      'content-type': 'application/json',
    },
    body: JSON.stringify({ prompt: 'A long note', maxTokens: STREAM_MAX_TOKENS }),
  });
}

/** Reads a stream to its end; returns how long after `acceptedAt` its last chunk came. */
async function measureLastChunk(
  { body }: Awaited<ReturnType<typeof openStream>>,
  acceptedAt: number,
): Promise<number> {
  let lastAt = acceptedAt;
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      if (chunk.length > 0) lastAt = performance.now();
    }
  } catch {
    // The stream is expected to break off; only the time of its last chunk matters.
  }
  return lastAt - acceptedAt;
}

/** Withdraws the team's key on the log; returns the monotonic time when the log accepted it. */
async function withdrawKey(cluster: Cluster): Promise<number> {
  const declarations = cluster.plan.declarations(cluster.keys) as Declarations;
  const withdrawnId = cluster.keys.get(TEAM)?.id;
  const keys = declarations.keys.map((key) =>
    key.id === withdrawnId ? { ...key, state: 'withdrawn' } : key,
  );
  const payload = { base: 0, declarations: { ...declarations, keys } };
  let acceptedAt = 0;
  await waitFor('the log to accept the withdrawal', async () => {
    await postJson(`${cluster.platformUrl}/v1/streams/config/records`, {
      records: [{ id: randomUUID(), kind: CHANGE_KIND, payload }],
    });
    acceptedAt = performance.now();
    return true;
  });
  return acceptedAt;
}
