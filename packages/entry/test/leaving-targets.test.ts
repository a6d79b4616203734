/** Targets whose agents say in their frames that they are leaving, over real links. */
import {
  type FencingNumber,
  RESULT_CODES,
  type RecordId,
  type TargetId,
  type WeightVersion,
} from '@hibiscushill/base';
import type { LinkSession, Run } from '@hibiscushill/protocol';
import { SegmentCollector } from '@hibiscushill/rollout';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { FakeAgent, SAMPLE, SERVICE, SERVING, TRAINER, TestEntry } from './support';

const REQUESTS = 30;
const HEDGE_MS = 40;

const T1 = 't1' as TargetId;
const T2 = 't2' as TargetId;

describe('a target whose agent says that it is leaving', () => {
  let first: FakeAgent;
  let second: FakeAgent;
  let entry: TestEntry;
  const agents: FakeAgent[] = [];

  async function startAgent(
    target: string,
    incarnation: string,
    changes: { port?: number; startedMs?: number } = {},
  ): Promise<FakeAgent> {
    const agent = await FakeAgent.start({ target, incarnation, ...changes });
    agents.push(agent);
    return agent;
  }

  beforeEach(async () => {
    first = await startAgent('t1', 'i1');
    second = await startAgent('t2', 'i2');
    entry = await TestEntry.start([first, second]);
    await entry.list.cut();
  });

  afterEach(() => {
    entry.close();
    agents.splice(0).forEach((agent) => agent.close());
  });

  function sendTo(agent: FakeAgent, signal?: AbortSignal) {
    const excludedTargets = new Set([agent === first ? T2 : T1]);
    return entry.send({ excludedTargets, ...(signal !== undefined && { signal }) });
  }

  /** Makes the agent say in its next answer that it is leaving, and makes the entry read it. */
  async function leave(agent: FakeAgent): Promise<void> {
    // eslint-disable-next-line no-param-reassign
    agent.onRun = (session, run) => agent.say(() => agent.respond(session, run));
    await sendTo(agent);
    // eslint-disable-next-line no-param-reassign
    agent.onRun = (session, run) => agent.respond(session, run);
    agent.runs.splice(0);
  }

  it('gets no request after an answer that says so', async () => {
    await leave(first);
    await entry.sendMany(REQUESTS);
    expect(first.runs).toHaveLength(0);
    expect(second.runs).toHaveLength(REQUESTS);
  });

  it('gets no retry and no request after a failure that says so', async () => {
    const { code } = RESULT_CODES.queue_full;
    first.onRun = (session, { attempt }) =>
      first.say(() =>
        session.send({ $case: 'notRun', value: { attempt, code, retryAfterMs: 0, detail: '' } }),
      );
    await entry.sendMany(REQUESTS);
    expect(first.runs.length).toBeLessThanOrEqual(1);
    expect(second.runs).toHaveLength(REQUESTS);
  });

  it('gets no request after an answer that arrives when the caller has gone', async () => {
    const started = new Promise<[LinkSession, Run]>((resolve) => {
      first.onRun = (...args) => resolve(args);
    });
    const caller = new AbortController();
    const gone = sendTo(first, caller.signal);
    const [session, run] = await started;
    caller.abort();
    expect((await gone).isErr()).toBe(true);
    first.onRun = (...args) => first.respond(...args);
    first.runs.splice(0);
    first.say(() => first.respond(session, run));
    await vi.waitFor(() => expect(entry.metrics.counts()['leaving.learnt']).toBe(1));
    await entry.sendMany(REQUESTS);
    expect(first.runs).toHaveLength(0);
  });

  it('gets no request after a part of a response that says so, which it finishes', async () => {
    first.onRun = (session, { attempt }) => {
      first.say(() =>
        session.send({ $case: 'head', value: { attempt, status: 200, headers: [] } }),
      );
    };
    const request = entry.dispatcher.dispatch({
      ...entry.createRequest(),
      excludedTargets: new Set([T2]),
    });
    const response = (await request)._unsafeUnwrap();
    await entry.sendMany(REQUESTS);
    expect(first.runs).toHaveLength(1);
    expect(response.attempt.isDone).toBe(false);
    response.attempt.acknowledge(false);
  });

  it('gets no request after a load report that says so', async () => {
    first.onRun = (session, run) => {
      session.send({ $case: 'load', value: { ...SERVING, leaving: true } });
      session.send({ $case: 'load', value: SERVING });
      first.respond(session, run);
    };
    await sendTo(first);
    await entry.sendMany(REQUESTS);
    expect(first.runs).toHaveLength(1);
  });

  it('gets no second attempt of a slow request', async () => {
    entry.close();
    entry = await TestEntry.start([first, second], HEDGE_MS);
    await leave(first);
    second.onRun = (session, run) => setTimeout(() => second.respond(session, run), HEDGE_MS * 3);
    await entry.sendMany(3);
    expect(first.runs).toHaveLength(0);
  });

  it('gets no samples', async () => {
    await leave(first);
    for (let i = 0; i < REQUESTS; i += 1) {
      const sample = await entry.runner.run(SAMPLE, {
        excludedTargets: new Set(),
        signal: new AbortController().signal,
        collector: new SegmentCollector(),
        onTargetChosen: () => undefined,
      });
      expect(sample._unsafeUnwrap().tokens).toEqual(['a']);
    }
    expect(first.runs).toHaveLength(0);
    expect(second.runs).toHaveLength(REQUESTS);
  });

  it('gets no weight order', async () => {
    const order = {
      order: 'o1' as RecordId,
      fencing: 1 as FencingNumber,
      trainer: TRAINER,
      version: 1 as WeightVersion,
    };
    await leave(first);
    const swapped = await entry.weightOrders.swap(T1, order);
    expect(swapped._unsafeUnwrapErr().code).toBe('target_leaving');
    expect(entry.weightOrders.listTargets(TRAINER).map(({ target }) => target)).toEqual([T2]);
    expect(first.orders).toHaveLength(0);
    expect((await entry.weightOrders.swap(T2, order)).isOk()).toBe(true);
  });

  it('gets requests at once in a new incarnation at the same address', async () => {
    await leave(first);
    const { port } = first;
    first.close();
    const next = await startAgent('t1', 'i3', { port });
    await waitForIncarnation(next);
    await sendUntilReached(next);
    expect(entry.metrics.counts()).toMatchObject({ 'leaving.learnt': 1, 'leaving.ended': 1 });
  });

  it('gets requests in a new incarnation though the last list that was read had it leaving', async () => {
    entry.close();
    first.listedState = 'leaving';
    entry = await TestEntry.start([first, second]);
    await entry.list.cut();
    await entry.sendMany(REQUESTS);
    expect(first.runs).toHaveLength(0);
    const { port } = first;
    first.close();
    const next = await startAgent('t1', 'i3', { port });
    await waitForIncarnation(next);
    await sendUntilReached(next);
  });

  it('gets requests in a new incarnation after a late answer of the earlier one', async () => {
    entry.close();
    entry = await TestEntry.start([first, second]);
    const held = new Promise<[LinkSession, Run]>((resolve) => {
      first.onRun = (...args) => resolve(args);
    });
    const late = sendTo(first);
    const [session, run] = await held;
    const next = await startAgent('t1', 'i3', { startedMs: 9 });
    entry.list.agents = [first, second, next];
    await waitForIncarnation(next);
    await entry.list.cut();
    first.say(() => first.respond(session, run));
    expect((await late).isOk()).toBe(true);
    await sendUntilReached(next);
    expect(first.runs).toHaveLength(1);
    expect(entry.metrics.counts()['leaving.learnt']).toBe(1);
  });

  it('stays without requests while the list shows it as serving', async () => {
    entry.close();
    entry = await TestEntry.start([first, second]);
    await leave(first);
    const { readCount } = entry.list;
    await vi.waitFor(() => expect(entry.list.readCount).toBeGreaterThan(readCount + 1), 5_000);
    await entry.sendMany(REQUESTS);
    expect(first.runs).toHaveLength(0);
    await entry.list.cut();
  });

  it('stays without requests after its link was lost and opened again', async () => {
    await leave(first);
    const { port } = first;
    first.close();
    first = await startAgent('t1', 'i1', { port });
    const opened = vi.fn();
    first.onOpen = opened;
    await vi.waitFor(() => expect(opened).toHaveBeenCalled());
    await vi.waitFor(() =>
      expect(entry.pool.clients.every(({ isConnected }) => isConnected)).toBe(true),
    );
    await entry.sendMany(REQUESTS);
    expect(first.runs).toHaveLength(0);
  });

  describe('when all targets of the service do', () => {
    it('makes the entry refuse at once and truly', async () => {
      await leave(first);
      await leave(second);
      const startedAt = entry.clock.mono();
      const refused = (await entry.send())._unsafeUnwrapErr();
      expect(entry.clock.mono() - startedAt).toBeLessThan(200);
      expect(refused).toMatchObject({ code: 'targets_leaving', run: 'not-run' });
      expect(refused.retryAfterMs).toBeGreaterThan(0);
      expect([...first.runs, ...second.runs]).toHaveLength(0);
    });

    it('makes the entry refuse at once after their links are lost', async () => {
      await leave(first);
      await leave(second);
      first.close();
      second.close();
      await vi.waitFor(() =>
        expect(entry.pool.clients.every(({ isConnected }) => !isConnected)).toBe(true),
      );
      const startedAt = entry.clock.mono();
      const refused = (await entry.send())._unsafeUnwrapErr();
      expect(entry.clock.mono() - startedAt).toBeLessThan(200);
      expect(refused).toMatchObject({ code: 'targets_leaving', run: 'not-run' });
    });

    it('makes the entry refuse a request of which it learns so', async () => {
      // The only form in which an agent of an earlier version says so in an answer.
      const { code } = RESULT_CODES.target_leaving;
      [first, second].forEach((agent) => {
        // eslint-disable-next-line no-param-reassign
        agent.onRun = (session, { attempt }) => {
          const value = { attempt, code, retryAfterMs: 100, detail: '' };
          session.send({ $case: 'notRun', value });
        };
      });
      const refused = (await entry.send())._unsafeUnwrapErr();
      expect(refused).toMatchObject({ code: 'targets_leaving', run: 'not-run' });
      expect(refused.retryAfterMs).toBeGreaterThan(0);
      expect([...first.runs, ...second.runs]).toHaveLength(2);
    });

    it('makes the entry say that an attempt may have run if one may', async () => {
      const { code } = RESULT_CODES.outcome_unknown;
      await leave(second);
      first.onRun = (session, { attempt }) => {
        const end = { count: 0, digest: '', tokens: 0, segments: [], detail: '' };
        first.say(() => session.send({ $case: 'end', value: { ...end, attempt, code } }));
      };
      const refused = (await entry.send())._unsafeUnwrapErr();
      expect(refused.run).toBe('may-have-run');
      expect(second.runs).toHaveLength(0);
    });
  });

  async function waitForIncarnation(agent: FakeAgent): Promise<void> {
    await vi.waitFor(
      () =>
        expect(entry.pool.findClient(SERVICE, agent.target)?.hello?.incarnation).toBe(
          agent.incarnation,
        ),
      5_000,
    );
    await vi.waitFor(() =>
      expect(entry.pool.findClient(SERVICE, agent.target)?.load.ready).toBe(true),
    );
  }

  // The target is chosen at random.
  async function sendUntilReached(agent: FakeAgent): Promise<void> {
    for (let i = 0; i < REQUESTS && agent.runs.length === 0; i += 1) await entry.sendMany(1);
    expect(agent.runs.length).toBeGreaterThan(0);
  }
});
