import {
  type Logger,
  ManualClock,
  type Millis,
  RandomSource,
  type RequestId,
  type TargetId,
  type ZoneId,
} from '@hibiscushill/base';
import { ByteBudget } from '@hibiscushill/routing';
import { beforeEach, describe, expect, it } from 'vitest';

import { ConfigTracker } from '../src/config-tracker';
import type { ItemTask } from '../src/item-task';
import { RequestForwarder } from '../src/request-forwarder';
import { RewardCaller, type RewardOutcome } from '../src/reward-caller';
import { LowestLatencyChooser } from '../src/target-chooser';
import { TargetDirectory } from '../src/target-directory';
import {
  type AbortCall,
  type EventReader,
  type TargetCall,
  TargetClient,
  type TargetResponseSink,
} from '../src/target-port';
import { TargetStats } from '../src/target-stats';
import {
  DELIMITED,
  ManualClient,
  createConfig,
  createHead,
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

// As the plain targets of cwmtawe-pod: three with six slots each, 32 ms a call.
const SLOTS = 6;
const RUN_MS: Millis = 32;

/** Targets with a few slots each, which run one request after another in each slot. */
class QueueingClient extends TargetClient {
  readonly sent = new Map<TargetId, number>();

  readonly #clock: ManualClock;

  readonly #freeAt = new Map<TargetId, Millis[]>();

  /** Targets that don't respond. */
  readonly dark = new Set<TargetId>();

  constructor(clock: ManualClock) {
    super();
    this.#clock = clock;
  }

  get total(): number {
    return [...this.sent.values()].reduce((sum, count) => sum + count, 0);
  }

  override call({ target, id }: TargetCall, sink: TargetResponseSink): AbortCall {
    this.sent.set(target.id, (this.sent.get(target.id) ?? 0) + 1);
    let isAborted = false;
    const slots = this.#freeAt.get(target.id) ?? Array.from({ length: SLOTS }, () => 0);
    this.#freeAt.set(target.id, slots);
    const slot = slots.indexOf(Math.min(...slots));
    const endsAt = Math.max(this.#clock.mono(), slots[slot] ?? 0) + RUN_MS;
    slots[slot] = endsAt;
    if (this.dark.has(target.id)) return () => undefined;
    void this.#clock.sleep(endsAt - this.#clock.mono()).then(() => {
      if (isAborted) return;
      sink.onHead(createHead(id, { load: { running: SLOTS, waiting: 0, slots: SLOTS } }));
      sink.onEnd(DELIMITED);
    });
    return () => {
      isAborted = true;
    };
  }

  override createEventReader(): EventReader {
    throw new Error('scoring calls have no event streams');
  }
}

let clock: ManualClock;
let client: QueueingClient;
let rewards: RewardCaller;

beforeEach(() => {
  clock = new ManualClock(1_000);
  client = new QueueingClient(clock);
  rewards = createRewards(client, logger);
});

function createRewards(targetClient: TargetClient, rewardLogger: Logger): RewardCaller {
  const metrics = createMetrics();
  const random = new RandomSource(1);
  const config = new ConfigTracker({ clock, metrics, withdrawnKeyMs: 5_000 });
  const route = createRoute({ goalMs: 157, timeoutMs: 1_500 });
  config.updateConfig(createConfig(1, [route]));
  const directory = new TargetDirectory({ clock, metrics: createMetrics() });
  const stats = new TargetStats(clock);
  const targets = ['t1', 't2', 't3'].map((id) => createTarget(id, { slots: SLOTS }));
  targets.forEach((target) => directory.recordRegistration(target));
  stats.setTargets(targets.map(({ id }) => id));
  const chooser = new LowestLatencyChooser({ stats, zone: 'zone-a' as ZoneId, random });
  const forwarder = new RequestForwarder({
    buffers: new ByteBudget(Infinity),
    clock,
    random,
    metrics,
    logger,
    client: targetClient,
    directory,
    stats,
    limiter: createLimiter(clock),
    suspects: createSuspectExchange(clock),
    streams: createStreamExchange(clock, directory),
    chooser,
    onRun: () => undefined,
  });
  return new RewardCaller({ clock, logger: rewardLogger, config, forwarder });
}

function createTask(): { isStopped: boolean } {
  const task = {
    isStopped: false,
    rewardErrors: 0,
    countRewardError: () => undefined,
    submission: { terms: { id: 's1' } },
    spec: { id: 'i1' },
  };
  return task;
}

function score(index: number, task = createTask(), caller = rewards): Promise<RewardOutcome> {
  return caller.call(task as unknown as ItemTask, {
    id: `score-${index}` as RequestId,
    host: 'a.example',
    path: '/a/score',
    body: '',
  });
}

describe('scoring calls', () => {
  it('are sent once each when the outputs of a step end together', async () => {
    const calls = 120;
    const outcomes = Promise.all(Array.from({ length: calls }, (_, index) => score(index)));
    await runPendingCallbacks();
    await advance(clock, 600);
    expect((await outcomes).every(({ type }) => type === 'scored')).toBe(true);
    expect(client.total).toBe(calls);
  });

  it('leave a slot of each target to callers while many wait', async () => {
    const outcomes = Promise.all(Array.from({ length: 120 }, (_, index) => score(index)));
    await runPendingCallbacks();
    expect([...client.sent.values()]).toEqual([SLOTS - 1, SLOTS - 1, SLOTS - 1]);
    await advance(clock, 600);
    expect((await outcomes).every(({ type }) => type === 'scored')).toBe(true);
  });

  it('go to another target when the first does not respond', async () => {
    client.dark.add('t1' as TargetId);
    client.dark.add('t2' as TargetId);
    const outcome = score(1);
    await runPendingCallbacks();
    await advance(clock, 3_000);
    expect(await outcome).toMatchObject({ type: 'scored' });
  });

  it('name the stop of their item as the reason when they end because of it', async () => {
    const reasons: unknown[] = [];
    const recorder = { ...logger, info: (_: string, fields?: object) => reasons.push(fields) };
    const manual = new ManualClient();
    const task = createTask();
    const outcome = score(1, task, createRewards(manual, recorder));
    task.isStopped = true;
    manual.calls[0]?.fail({ run: 'not-run', reason: 'full' });
    await runPendingCallbacks();
    await advance(clock, 100);
    expect(await outcome).toEqual({ type: 'stopped' });
    expect(reasons).toMatchObject([{ reason: 'cancelled' }]);
    expect(manual.calls).toHaveLength(1);
  });
});
