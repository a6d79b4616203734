/** Withdraws a key under traffic and checks when it stops working. */
import { randomUUID } from 'node:crypto';

import { CHANGE_KIND, type Declarations } from '@hibiscushill/config';
import { request } from 'undici';

import { Cluster, pause, postJson, waitFor } from './cluster';
import { createExamplePlan } from './example';
import type { Violation } from './request-checkers';

/** The time within which a withdrawn key has to stop everywhere, in milliseconds. */
const BOUND_MS = 3000;

const TEAM = 'valley';
const POLL_MS = 20;
const WATCH_MS = 5000;
const FREEZE_MS = 4500;
const STREAM_TOKENS = 4000;
const HTTP_OK = 200;

/** Where the key is used while it is withdrawn. */
export const KEY_SITUATIONS = ['calls', 'stream', 'frozen-entry', 'queued'] as const;

/** Where the key is used while it is withdrawn. */
export type KeySituation = (typeof KEY_SITUATIONS)[number];

/** What came of one withdrawal. */
export interface KeyProofResult {
  readonly situation: KeySituation;
  /** When the last use that succeeded began or went on, from the acceptance, in milliseconds. */
  readonly lastUseMs: number;
  readonly violations: readonly Violation[];
}

/**
 * Withdraws a key in one situation.
 *
 * @param situation - where the key is used
 * @param seed - the seed of the stand-ins
 * @returns the last use, and what was broken
 */
export async function proveWithdrawal(
  situation: KeySituation,
  seed: number,
): Promise<KeyProofResult> {
  const cluster = await Cluster.start(
    createExamplePlan({ seed, engines: 1, plains: 2, engineSettings: { slots: 1, tokenMs: 5 } }),
  );
  try {
    const lastUseMs = await USES[situation](cluster);
    const isLate = lastUseMs > BOUND_MS;
    const detail = `used ${Math.round(lastUseMs)} ms after the withdrawal`;
    const violations = isLate
      ? [{ promise: 'withdrawn keys stop', request: situation, detail }]
      : [];
    return { situation, lastUseMs: Math.round(lastUseMs), violations };
  } finally {
    await cluster.stop();
  }
}

const USES: Readonly<Record<KeySituation, (cluster: Cluster) => Promise<number>>> = {
  calls: watchCalls,
  stream: watchStream,
  'frozen-entry': watchFrozenEntry,
  queued: watchQueued,
};

async function watchCalls(cluster: Cluster): Promise<number> {
  const acceptedAt = await withdraw(cluster);
  return lastGoodCall(cluster, acceptedAt, cluster.entryUrls);
}

async function watchFrozenEntry(cluster: Cluster): Promise<number> {
  const [name = ''] = cluster.entries.keys();
  const frozen = cluster.entries.get(name);
  frozen?.signal('SIGSTOP');
  const acceptedAt = await withdraw(cluster);
  await pause(FREEZE_MS);
  frozen?.signal('SIGCONT');
  return lastGoodCall(cluster, acceptedAt, cluster.entryUrls);
}

async function watchStream(cluster: Cluster): Promise<number> {
  const stream = await openStream(cluster);
  const acceptedAt = await withdraw(cluster);
  return lastByte(stream, acceptedAt);
}

// The engine has one slot: the second stream waits in the agent's queue.
async function watchQueued(cluster: Cluster): Promise<number> {
  const running = await openStream(cluster, 'harbour');
  const waiting = openStream(cluster);
  await pause(POLL_MS * 5);
  const acceptedAt = await withdraw(cluster);
  const answer = await waiting;
  const usedMs = answer.statusCode === HTTP_OK ? await lastByte(answer, acceptedAt) : 0;
  running.body.on('error', () => undefined).destroy();
  return usedMs;
}

async function lastGoodCall(
  cluster: Cluster,
  acceptedAt: number,
  urls: readonly string[],
): Promise<number> {
  let lastUseMs = 0;
  for (const until = performance.now() + WATCH_MS; performance.now() < until;) {
    const startedAt = performance.now();
    const answers = await Promise.all(urls.map((url) => callOnce(cluster, url)));
    if (answers.includes(HTTP_OK)) lastUseMs = Math.max(lastUseMs, startedAt - acceptedAt);
    await pause(POLL_MS);
  }
  return lastUseMs;
}

async function callOnce(cluster: Cluster, url: string): Promise<number> {
  const headers = { authorization: cluster.authorization(TEAM) };
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
    headers: { authorization: cluster.authorization(team), 'content-type': 'application/json' },
    body: JSON.stringify({ prompt: 'A long note', maxTokens: STREAM_TOKENS }),
  });
}

async function lastByte(
  { body }: Awaited<ReturnType<typeof openStream>>,
  acceptedAt: number,
): Promise<number> {
  let lastAt = acceptedAt;
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      if (chunk.length > 0) lastAt = performance.now();
    }
  } catch {
    // The stream is cut; what counts is when.
  }
  return lastAt - acceptedAt;
}

/** Withdraws the team's key on the log. Returns when that was accepted. */
async function withdraw(cluster: Cluster): Promise<number> {
  const declarations = cluster.plan.declarations(cluster.keys) as Declarations;
  const withdrawn = cluster.keys.get(TEAM)?.id;
  const keys = declarations.keys.map((key) =>
    key.id === withdrawn ? { ...key, state: 'withdrawn' } : key,
  );
  const payload = { base: 0, declarations: { ...declarations, keys } };
  let acceptedAt = 0;
  await waitFor('the log to take the withdrawal', async () => {
    await postJson(`${cluster.platformUrl}/v1/streams/config/records`, {
      records: [{ id: randomUUID(), kind: CHANGE_KIND, payload }],
    });
    acceptedAt = performance.now();
    return true;
  });
  return acceptedAt;
}
