/** Agents that leave while the platform is out, with real processes. */
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { Cluster, getJson, postJson, sleep, waitFor } from '../src/cluster';
import { createExamplePlan } from '../src/example';

const TEST_TIMEOUT_MS = 120_000;
const SEED = 61;
const SLOW_CALLS = 12;
const SLOW_MS = 2_500;
const SHORT_MS = 200;
const CALLS = 40;
// The target of the entry's zone, which it prefers, and another one.
const LEAVING = 'sales-desk-1';
const STAYING = 'sales-desk-2';
const TARGETS_LEAVING_CODE = 3009;

interface EntryStatus {
  readonly targets: readonly {
    readonly target?: string;
    readonly leaving: boolean;
    readonly up: boolean;
    readonly ready: boolean;
    readonly open: number;
    readonly running: number;
    readonly incarnation: string;
  }[];
  readonly counts: Readonly<Record<string, number>>;
}

describe('an entry whose platform is out', () => {
  let cluster: Cluster;

  beforeAll(async () => {
    const agentArgs = ['--drain-ms', String(SLOW_MS * 2)];
    const plan = createExamplePlan({
      ...{ seed: SEED, engines: 0, plainTargets: 2, entries: 1, agentArgs },
      entryArgs: ['--hedging', 'none'],
    });
    cluster = await Cluster.start(plan);
    await postJson(`${cluster.platformUrl}/admin/faults`, { outage: true });
  }, TEST_TIMEOUT_MS);

  afterAll(() => cluster.stop());

  function call(delayMs = 0) {
    const [url = ''] = cluster.entryUrls;
    return request(`${url}/s/sales-desk/echo?for=x&delayMs=${delayMs}`).then(async (res) => {
      const text = await res.body.text();
      return { status: res.statusCode, retryAfter: res.headers['retry-after'], text };
    });
  }

  async function readStatus(): Promise<EntryStatus> {
    return (await getJson(`${cluster.entryUrls[0] ?? ''}/status`)) as EntryStatus;
  }

  async function findTarget(target: string) {
    return (await readStatus()).targets.find((listed) => listed.target === target);
  }

  /** Starts calls, and returns the promises of their statuses; zero for a broken connection. */
  async function startSlowCalls(): Promise<Promise<number>[]> {
    const calls = Array.from({ length: SLOW_CALLS }, () =>
      call(SLOW_MS).then(
        ({ status }) => status,
        () => 0,
      ),
    );
    // An attempt that is open at the entry may not have reached the agent, which then refuses it.
    await waitFor('the slow calls to run', async () => {
      const { targets } = await readStatus();
      return targets.reduce((sum, { running }) => sum + running, 0) === SLOW_CALLS;
    });
    return calls;
  }

  async function leave(target: string): Promise<void> {
    cluster.targets.get(target)?.agent.signal('SIGTERM');
    await waitFor('the entry to know', async () => (await findTarget(target))?.leaving === true);
  }

  it(
    'sends a target that leaves nothing more, lets it finish, and uses its next incarnation',
    async () => {
      const slowCalls = await startSlowCalls();
      const before = (await readStatus()).counts;
      await leave(LEAVING);
      const { open: openBefore = 0 } = (await findTarget(LEAVING)) ?? {};
      for (let i = 0; i < CALLS; i += 1) expect((await call()).status).toBe(200);
      const { counts } = await readStatus();
      expect(openBefore).toBeGreaterThan(0);
      expect(counts['retried.target_leaving']).toBe(before['retried.target_leaving']);
      expect(counts['leaving.learnt']).toBe(1);
      expect(new Set(await Promise.all(slowCalls))).toEqual(new Set([200]));

      const target = cluster.targets.get(LEAVING)!;
      await target.agent.stop('SIGTERM');
      await cluster.restartAgent(target);
      await waitFor('the new incarnation', async () => {
        const found = await findTarget(LEAVING);
        return found?.up === true && found.ready && !found.leaving;
      });
      expect((await readStatus()).counts['leaving.ended']).toBe(1);
      await waitFor('a call at the new incarnation', async () => {
        const pending = call(SHORT_MS);
        await sleep(SHORT_MS / 2);
        const { open = 0 } = (await findTarget(LEAVING)) ?? {};
        expect((await pending).status).toBe(200);
        return open > 0;
      });
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'refuses at once, with the time to come back, when all targets leave',
    async () => {
      const slowCalls = await startSlowCalls();
      await leave(LEAVING);
      await leave(STAYING);
      const startedAt = performance.now();
      const { status, retryAfter, text } = await call();
      expect(performance.now() - startedAt).toBeLessThan(SLOW_MS / 5);
      expect(status).toBe(503);
      expect(retryAfter).toBe('1');
      expect(JSON.parse(text)).toMatchObject({ code: TARGETS_LEAVING_CODE, run: 'not-run' });
      expect(new Set(await Promise.all(slowCalls))).toEqual(new Set([200]));
    },
    TEST_TIMEOUT_MS,
  );
});
