import { getEventListeners } from 'node:events';

import {
  ManualClock,
  type MonoTime,
  RandomSource,
  type RegionId,
  type RequestId,
  type ServiceId,
  type TargetId,
  type WallTime,
  type ZoneId,
} from '@hibiscushill/base';
import { AllowedRegions, ByteBudget } from '@hibiscushill/routing';
import { beforeEach, describe, expect, it } from 'vitest';

import { createContentDigest } from '../src/request-content';
import { TargetDirectory } from '../src/target-directory';
import {
  type ForwardRequest,
  type ForwardResult,
  RequestForwarder,
} from '../src/request-forwarder';
import type { ServingRoute } from '../src/serving-config';
import type { SuspectExchange } from '../src/suspect-exchange';
import { LowestLatencyChooser } from '../src/target-chooser';
import type { SendKind, TargetLimiter } from '../src/target-limiter';
import type { TargetResponseHead } from '../src/target-port';
import { TargetStats } from '../src/target-stats';
import {
  ManualClient,
  SERVICE,
  createLimiter,
  createMetrics,
  createStreamExchange,
  createSuspectExchange,
  createRoute,
  createTarget,
  logger,
  advance,
  runPendingCallbacks,
} from './support';

const ID = 'request-1' as RequestId;

let clock: ManualClock;
let client: ManualClient;
let runs: number;
let forwarder: RequestForwarder;
let stats: TargetStats;
let limiter: TargetLimiter;
let directory: TargetDirectory;
let suspects: SuspectExchange;
let mayRun: boolean;
let isStopped: boolean;

beforeEach(() => {
  clock = new ManualClock(1_000);
  client = new ManualClient();
  runs = 0;
  mayRun = true;
  isStopped = false;
  const metrics = createMetrics();
  const random = new RandomSource(1);
  directory = new TargetDirectory({ clock, metrics: createMetrics() });
  directory.recordRegistration(createTarget('t1'));
  directory.recordRegistration(createTarget('t2'));
  stats = new TargetStats(clock);
  stats.setTargets(['t1' as TargetId, 't2' as TargetId]);
  limiter = createLimiter(clock);
  suspects = createSuspectExchange(clock);
  forwarder = new RequestForwarder({
    buffers: new ByteBudget(Infinity),
    clock,
    random,
    metrics,
    logger,
    client,
    directory,
    stats,
    limiter,
    suspects,
    streams: createStreamExchange(clock, directory),
    chooser: new LowestLatencyChooser({ stats, zone: 'zone-a' as ZoneId, random }),
    onRun: () => {
      runs += 1;
    },
  });
});

const REQUEST = {
  team: undefined,
  method: 'POST',
  path: '/a/1',
  host: 'a.example',
  body: Buffer.from('x'),
};

function forward(
  route: ServingRoute = createRoute(),
  signal = new AbortController().signal,
  kind: SendKind = 'request',
): Promise<ForwardResult> {
  const req: ForwardRequest = {
    ...REQUEST,
    id: ID,
    route,
    kind,
    headers: [],
    endsAt: (clock.mono() + route.timeoutMs) as MonoTime,
    mayRun: () => mayRun,
    isStopped: () => isStopped,
    signal,
  };
  return forwarder.forward(req);
}

describe('a request of a split route', () => {
  const OTHER = 'other' as ServiceId;
  const REQUESTS = 40;
  const route = createRoute({
    backends: [
      { service: OTHER, weight: 1 },
      { service: SERVICE, weight: 1 },
    ],
  });

  // The same fault as in review/4: a service was chosen by weight although it had no targets.
  it('is sent to a service that has targets', () => {
    for (let sent = 0; sent < REQUESTS; sent += 1) void forward(route);
    expect(client.calls.map(({ call }) => call.target.service)).toEqual(
      Array(REQUESTS).fill(SERVICE),
    );
  });

  it('is sent to another service once no target of the first is left', async () => {
    ['t1', 't2'].forEach((id) => directory.remove(id as TargetId));
    directory.recordRegistration(createTarget('o1', { service: OTHER }));
    const result = forward(route);
    directory.recordRegistration(createTarget('t1'));
    client.calls[0]?.fail({ run: 'not-run', reason: 'refused' });
    await runPendingCallbacks();
    client.calls[1]?.respond('whole');
    expect(client.calls.map(({ call }) => call.target.id)).toEqual(['o1', 't1']);
    expect(await result).toMatchObject({ type: 'answered' });
  });
});

describe('a request that may be repeated', () => {
  it('gets the complete response of a target', async () => {
    const result = forward();
    client.calls[0]?.respond('whole');
    expect(await result).toMatchObject({ type: 'answered', body: Buffer.from('whole') });
    expect(runs).toBe(1);
  });

  it('is sent to another target when the response belongs to another request', async () => {
    const result = forward();
    client.calls[0]?.respond('stray', { echo: 'request-0' as RequestId });
    await runPendingCallbacks();
    expect(client.calls[0]?.isAborted).toBe(true);
    client.calls[1]?.respond('own');
    expect(await result).toMatchObject({ type: 'answered', body: Buffer.from('own') });
  });

  it('is cancelled, not refused, when its response is no longer needed', async () => {
    const result = forward();
    isStopped = true;
    client.calls[0]?.fail({ run: 'not-run', reason: 'full' });
    expect(await result).toEqual({ type: 'cancelled' });
    expect(client.calls).toHaveLength(1);
  });

  it('has one listener for its abort signal, however many targets it is sent to', async () => {
    const { signal } = new AbortController();
    const result = forward(createRoute({ maxRuns: 9 }), signal);
    client.calls[0]?.fail({ run: 'not-run', reason: 'full' });
    await runPendingCallbacks();
    expect(client.calls).toHaveLength(2);
    expect(getEventListeners(signal, 'abort')).toHaveLength(1);
    client.calls[1]?.respond('whole');
    expect(await result).toMatchObject({ type: 'answered' });
    expect(getEventListeners(signal, 'abort')).toHaveLength(0);
  });

  it('is sent to another target after a reset, and never to more than its route allows', async () => {
    const result = forward();
    client.calls[0]?.fail({ run: 'may-have-run', reason: 'reset' });
    await runPendingCallbacks();
    client.calls[1]?.fail({ run: 'may-have-run', reason: 'reset' });
    expect(await result).toMatchObject({
      type: 'refused',
      answer: { code: 'outcome_unknown', status: 502, run: 'may-have-run' },
    });
    expect(client.calls).toHaveLength(2);
  });

  it('is sent to a second target when the first is slow, and the slower attempt is aborted', async () => {
    const result = forward();
    await advance(clock, 120);
    expect(client.calls).toHaveLength(2);
    client.calls[1]?.respond('fast');
    expect(await result).toMatchObject({ type: 'answered' });
    expect(client.calls[0]?.isAborted).toBe(true);
  });

  it("gets a target's error response unchanged when no attempt is left", async () => {
    const result = forward();
    client.calls[0]?.respond('bad', { status: 500 });
    await runPendingCallbacks();
    client.calls[1]?.respond('bad', { status: 500 });
    expect(await result).toMatchObject({ type: 'answered', head: { status: 500 } });
  });

  it('is refused as not run, with a retry time, when every target refuses', async () => {
    const result = forward();
    client.calls[0]?.respond('', { status: 503, hasNotRun: true });
    await runPendingCallbacks();
    client.calls[1]?.respond('', { status: 503, hasNotRun: true });
    const refused = await result;
    expect(refused).toMatchObject({ type: 'refused', answer: { status: 503, run: 'not-run' } });
    expect(refused.type === 'refused' && refused.answer.retryAfterMs).toBeGreaterThan(0);
    expect(runs).toBe(0);
  });
});

describe('a request that must not be repeated', () => {
  const route = createRoute({ kind: 'non_idempotent', maxRuns: 3 });

  it('is sent on a new connection, and not again after a reset', async () => {
    const result = forward(route);
    expect(client.calls[0]?.call.isFresh).toBe(true);
    client.calls[0]?.fail({ run: 'may-have-run', reason: 'reset' });
    expect(await result).toMatchObject({ type: 'refused', answer: { status: 502 } });
    expect(client.calls).toHaveLength(1);
  });

  it('is sent to another target when the first states that it has not run', async () => {
    const result = forward(route);
    client.calls[0]?.respond('', { status: 421 });
    await runPendingCallbacks();
    client.calls[1]?.respond('done');
    expect(await result).toMatchObject({ type: 'answered', body: Buffer.from('done') });
  });

  it('is not sent to a second target while the first is slow', async () => {
    void forward(route);
    await advance(clock, 300);
    expect(client.calls).toHaveLength(1);
  });
});

describe('a success that is no answer to its request', () => {
  const NO_ANSWERS: readonly [string, Partial<TargetResponseHead>][] = [
    ['names no request', { echo: undefined }],
    ['has no receipt', { receipt: undefined }],
    ['names another request', { echo: 'request-0' as RequestId }],
  ];

  // review/1: such a response reached the client of the next request on its connection.
  it.each(NO_ANSWERS)('is not passed on if it %s: another target answers', async (_, head) => {
    const result = forward();
    client.calls[0]?.respond('stray', head);
    await runPendingCallbacks();
    expect(client.calls[0]?.isAborted).toBe(true);
    client.calls[1]?.respond('own');
    expect(await result).toMatchObject({ type: 'answered', body: Buffer.from('own') });
  });

  it.each(NO_ANSWERS)('is no stream if it %s', async (_, head) => {
    const result = forward(createRoute({ kind: 'stream' }));
    client.calls[0]?.stream(1, ['stray'], head);
    expect(await result).toMatchObject({ type: 'refused', answer: { status: 502 } });
    expect(client.calls[0]?.isAborted).toBe(true);
  });

  it.each(NO_ANSWERS)(
    'says nothing of a request that may not run again if it %s',
    async (_, head) => {
      const result = forward(createRoute({ kind: 'non_idempotent', maxRuns: 3 }));
      client.calls[0]?.respond('stray', head);
      const answer = { status: 502, run: 'may-have-run' };
      expect(await result).toMatchObject({ type: 'refused', answer });
      expect(client.calls).toHaveLength(1);
    },
  );
});

describe('the deadline of a request', () => {
  it('is answered with status 504 when a target may have run the request', async () => {
    const result = forward();
    await advance(clock, 800);
    expect(await result).toMatchObject({
      type: 'refused',
      answer: { status: 504, run: 'may-have-run' },
    });
    expect(client.openCalls).toHaveLength(0);
  });

  it('is passed on to each target as the time left', async () => {
    void forward();
    await advance(clock, 120);
    expect(client.calls.map((one) => one.call.deadlineMs)).toEqual([800, 700]);
  });
});

describe('a caller that disconnects', () => {
  it('aborts the request at the target', async () => {
    const disconnected = new AbortController();
    const result = forward(createRoute(), disconnected.signal);
    await runPendingCallbacks();
    disconnected.abort();
    expect(await result).toEqual({ type: 'cancelled' });
    expect(client.openCalls).toHaveLength(0);
  });
});

describe('a key that was withdrawn', () => {
  it('prevents further attempts', async () => {
    const result = forward();
    mayRun = false;
    client.calls[0]?.fail({ run: 'not-run', reason: 'refused' });
    expect(await result).toMatchObject({ type: 'refused', answer: { code: 'config_stale' } });
    expect(client.calls).toHaveLength(1);
  });
});

describe('a request to targets that limit their requests', () => {
  beforeEach(() => {
    // Turns begin at multiples of their length, so that none begins now.
    clock.advance(10);
  });

  function limit(target: string, perSecond: number | undefined): void {
    limiter.recordStatement({
      target: createTarget(target),
      request: undefined,
      sentAt: clock.mono(),
      perSecond,
    });
  }

  it('goes to a target without a limit while the other one has no free turn', async () => {
    limit('t1', 1);
    const results = Array.from({ length: 5 }, () => forward());
    expect(client.calls.map(({ call }) => call.target.id)).toEqual(['t2', 't2', 't2', 't2', 't2']);
    client.calls.forEach((call) => call.respond('whole'));
    expect((await Promise.all(results)).map(({ type }) => type)).not.toContain('refused');
  });

  it('waits for its turn if that comes in time, and in the order of arrival', async () => {
    limit('t1', 4);
    limit('t2', 0.1);
    const results = [forward(), forward(), forward()];
    expect(client.calls).toHaveLength(0);
    await advance(clock, 250);
    expect(client.calls.map(({ call }) => call.target.id)).toEqual(['t1']);
    await advance(clock, 250);
    expect(client.calls).toHaveLength(2);
    await advance(clock, 250);
    expect(client.calls).toHaveLength(3);
    client.calls.forEach((call) => call.respond('whole'));
    expect((await Promise.all(results)).map(({ type }) => type)).toEqual([
      'answered',
      'answered',
      'answered',
    ]);
  });

  it('is refused at once as not run if its turn does not come in time', async () => {
    limit('t1', 1);
    limit('t2', 1);
    const result = await forward();
    expect(client.calls).toHaveLength(0);
    expect(result).toMatchObject({
      type: 'refused',
      answer: { code: 'targets_limited', status: 503, run: 'not-run' },
    });
    if (result.type !== 'refused') return;
    // Two targets with one request a second each have a turn every 500 ms, plus jitter.
    expect(result.answer.retryAfterMs).toBeGreaterThanOrEqual(500);
    expect(result.answer.retryAfterMs).toBeLessThanOrEqual(750);
  });

  it('is not hedged at a target that has no free turn', async () => {
    limit('t1', 0.1);
    const result = forward();
    await advance(clock, 200);
    expect(client.calls).toHaveLength(1);
    client.calls[0]?.respond('slow');
    expect(await result).toMatchObject({ type: 'answered' });
  });

  it('gives its turn to another one when its caller leaves while it waits', async () => {
    limit('t1', 2);
    limit('t2', 0.1);
    const caller = new AbortController();
    const left = forward(createRoute(), caller.signal);
    caller.abort();
    expect(await left).toEqual({ type: 'cancelled' });
    const next = forward();
    await advance(clock, 500);
    expect(client.calls).toHaveLength(1);
    client.calls[0]?.respond('whole');
    expect(await next).toMatchObject({ type: 'answered' });
  });

  it('is not sent to a target that has started again while it waits', async () => {
    limit('t1', 2);
    limit('t2', 0.1);
    const result = forward();
    directory.recordRegistration(createTarget('t1', { startedAt: 2 as WallTime, heartbeat: 0 }));
    await advance(clock, 500);
    expect(client.calls.map(({ call }) => call.target.startedAt)).toEqual([2]);
    client.calls[0]?.respond('whole');
    expect(await result).toMatchObject({ type: 'answered' });
  });

  it('needs no turn once the limit has ended', async () => {
    limit('t1', 0.1);
    limit('t2', 0.1);
    clock.advance(10);
    limit('t1', undefined);
    const result = forward();
    client.calls[0]?.respond('whole');
    expect(await result).toMatchObject({ type: 'answered' });
  });
});

describe('a request while a zone is evacuated', () => {
  const ZONES = ['zone-a', 'zone-b'] as ZoneId[];

  beforeEach(() => {
    directory.recordRegistration(createTarget('t2', { zone: ZONES[1]!, heartbeat: 2 }));
  });

  function listCalled(): string[] {
    return client.calls.map(({ call }) => call.target.id);
  }

  it('is not retried there', async () => {
    const result = forward(createRoute({ maxRuns: 3 }));
    const [first] = listCalled();
    directory.setEvacuatedZones(new Set([first === 't1' ? ZONES[1]! : ZONES[0]!]));
    client.calls[0]?.fail({ run: 'not-run', reason: 'full' });
    expect(await result).toMatchObject({ type: 'refused', answer: { run: 'not-run' } });
    expect(client.calls).toHaveLength(1);
  });

  it('is not hedged there', async () => {
    void forward();
    const [first] = listCalled();
    directory.setEvacuatedZones(new Set([first === 't1' ? ZONES[1]! : ZONES[0]!]));
    await advance(clock, 500);
    expect(client.calls).toHaveLength(1);
  });

  it('is not aborted at a target of the zone that runs it already', async () => {
    const result = forward();
    directory.setEvacuatedZones(new Set(ZONES));
    client.calls[0]?.respond('whole');
    expect(await result).toMatchObject({ type: 'answered' });
  });

  it('is refused at once, with a time to retry, if all targets are in evacuated zones', async () => {
    directory.setEvacuatedZones(new Set(ZONES));
    expect(await forward()).toMatchObject({
      type: 'refused',
      answer: { code: 'targets_evacuated', run: 'not-run', retryAfterMs: expect.any(Number) },
    });
    expect(client.calls).toEqual([]);
  });

  it('is refused with that code too if the targets of other zones are leaving', async () => {
    directory.setEvacuatedZones(new Set([ZONES[0]!]));
    directory.recordRegistration(createTarget('t2', { isDraining: true, heartbeat: 3 }));
    expect(await forward()).toMatchObject({ answer: { code: 'targets_evacuated' } });
  });

  it('waits for a turn in another zone if the one that it waited for is evacuated', async () => {
    ['t1', 't2'].forEach((id, index) => {
      const target = directory.find(id as TargetId)!;
      const perSecond = index === 0 ? 2 : 1;
      const sentAt = clock.mono();
      limiter.recordStatement({ target, request: undefined, sentAt, perSecond });
      while (limiter.take(target, 'request'));
    });
    void forward(createRoute({ timeoutMs: 4_000 }));
    directory.setEvacuatedZones(new Set([ZONES[0]!]));
    await advance(clock, 3_000);
    expect(listCalled()).toEqual(['t2']);
  });
});

describe('a request with allowed regions', () => {
  const [EU_ZONE, US_ZONE] = ['zone-a', 'zone-b'] as [ZoneId, ZoneId];
  const zoneRegions = new Map([
    [EU_ZONE, 'eu' as RegionId],
    [US_ZONE, 'us' as RegionId],
  ]);
  let allowed: string[];

  beforeEach(() => {
    allowed = ['us'];
    directory.recordRegistration(createTarget('t2', { zone: US_ZONE, heartbeat: 2 }));
  });

  function forwardIn(changes: Partial<ForwardRequest> = {}): Promise<ForwardResult> {
    const route = createRoute({ maxRuns: 3, timeoutMs: 4_000 });
    return forwarder.forward({
      ...REQUEST,
      id: ID,
      route,
      headers: [],
      endsAt: (clock.mono() + route.timeoutMs) as MonoTime,
      mayRun: () => true,
      signal: new AbortController().signal,
      findRegions: () => new AllowedRegions(zoneRegions, [allowed as RegionId[]]),
      ...changes,
    });
  }

  function limit(id: string, perSecond: number): void {
    const target = directory.find(id as TargetId)!;
    limiter.recordStatement({ target, request: undefined, sentAt: clock.mono(), perSecond });
    while (limiter.take(target, 'request'));
  }

  it('is not sent elsewhere after it has waited for a turn, though its regions change', async () => {
    limit('t2', 1);
    const result = forwardIn();
    allowed = ['asia'];
    await advance(clock, 3_000);
    expect(client.calls).toEqual([]);
    expect(await result).toMatchObject({ answer: { code: 'region_not_allowed' } });
  });

  it('is refused as limited, not for its regions, while their targets have no turn', async () => {
    limit('t2', 0.01);
    expect(await forwardIn()).toMatchObject({ answer: { code: 'targets_limited' } });
  });

  it('is refused for its regions if only targets of others are left', async () => {
    directory.setEvacuatedZones(new Set([US_ZONE]));
    expect(await forwardIn()).toMatchObject({
      answer: { code: 'region_not_allowed', run: 'not-run', retryAfterMs: expect.any(Number) },
    });
    directory.setEvacuatedZones(new Set([EU_ZONE, US_ZONE]));
    expect(await forwardIn()).toMatchObject({ answer: { code: 'targets_evacuated' } });
    allowed = ['asia'];
    expect(await forwardIn()).toMatchObject({ answer: { code: 'region_not_allowed' } });
  });

  it('goes to the services of its route that have targets in them', async () => {
    const other = 'other' as ServiceId;
    directory.recordRegistration(createTarget('t3', { zone: US_ZONE, service: other }));
    allowed = ['eu'];
    const backends = [{ service: other, weight: 9 }, ...createRoute().backends];
    const route = createRoute({ backends });
    for (let sent = 0; sent < 20; sent += 1) void forwardIn({ route });
    expect(client.calls.map(({ call }) => call.target.id)).toEqual(Array(20).fill('t1'));
  });

  it('has room for a scoring call only at targets in them', () => {
    const regions = new AllowedRegions(zoneRegions, [['asia' as RegionId]]);
    expect(forwarder.hasRoomForScoring(createRoute())).toBe(true);
    expect(forwarder.hasRoomForScoring(createRoute(), regions)).toBe(false);
  });
});

describe('a request while whose runs targets crash', () => {
  const BREAK = { run: 'may-have-run', reason: 'reset' } as const;

  const content = createContentDigest(REQUEST);

  function recordCrashes(count: number): void {
    for (let index = 0; index < count; index += 1) {
      suspects.publish({ type: 'broken', content, incarnation: `other-${index} 1` });
    }
  }

  it('is a suspect from its first broken connection on', async () => {
    const result = forward(createRoute({ maxRuns: 1 }));
    expect(suspects.isSuspect(content)).toBe(false);
    client.calls[0]?.fail(BREAK);
    await result;
    expect(suspects.isSuspect(content)).toBe(true);
  });

  it('is not hedged any more', async () => {
    recordCrashes(1);
    const before = client.calls.length;
    const result = forward();
    await advance(clock, 700);
    expect(client.calls).toHaveLength(before + 1);
    client.calls.at(-1)?.respond('whole');
    expect(await result).toMatchObject({ type: 'answered' });
  });

  it('is refused at once, with a time to retry, when it can not be run alone', async () => {
    recordCrashes(2);
    const before = client.calls.length;
    const result = forward();
    await advance(clock, 1_000);
    expect(await result).toMatchObject({
      type: 'refused',
      answer: { code: 'request_suspected', run: 'not-run' },
    });
    expect(client.calls).toHaveLength(before);
  });

  it('is refused for good after the third target', async () => {
    recordCrashes(3);
    expect(await forward()).toMatchObject({
      type: 'refused',
      answer: { code: 'request_crashes_targets', run: 'not-run', retryAfterMs: undefined },
    });
  });

  it('is sent as before once a target has answered it', async () => {
    recordCrashes(1);
    const answered = forward();
    client.calls.at(-1)?.respond('whole');
    await answered;
    expect(suspects.isSuspect(content)).toBe(false);
  });

  it('stays a suspect when the response is a failure of the target', async () => {
    recordCrashes(1);
    const failed = forward(createRoute({ maxRuns: 1 }));
    client.calls.at(-1)?.respond('failure', { status: 500 });
    await failed;
    expect(suspects.isSuspect(content)).toBe(true);
  });

  it('does not make scoring calls suspects', async () => {
    const result = forward(createRoute({ maxRuns: 1 }), new AbortController().signal, 'scoring');
    client.calls[0]?.fail(BREAK);
    await result;
    expect(suspects.isSuspect(content)).toBe(false);
  });
});
