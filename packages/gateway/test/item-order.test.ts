import { ManualClock, type MonoTime, RandomSource, type WallTime } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { ItemTask } from '../src/item-task';
import { type ItemOrder, LongestFirstOrder, StepAwareOrder } from '../src/item-order';
import { Submission } from '../src/submission';
import type { ListedResult } from '../src/submission-records';
import { createItem, createMetrics, createTerms, logger } from './support';

const TRAINERS = 3;
const GROUPS = 10;
const WANTED_GROUPS = 9;
const ITEMS_PER_GROUP = 4;
const DUE_MS = 7_500;
const MS_PER_EVENT = 20;
// The time that a trainer takes from its last wanted group to its next submission.
const TRAINING_MS = 500;
const TICK_MS = 20;
const DURATION_MS = 240_000;
// A step of 40 items of 135 tokens on average takes 108 s of a slot; three trainers that each need
// one every 7.5 s keep 43 slots busy.
const NEEDED_SLOTS = 43;
// A step goes first once it is 10 s late. Before it, the others' steps may be as late; one step takes
// 108 s of 22 slots.
const MAX_WAIT_MS = DUE_MS + 10_000 + TRAINERS * 5_000;

interface ReplayResult {
  readonly stepsInTime: number;
  readonly groupsInTime: number;
  readonly steps: number;
  readonly longestWaitMs: number;
  readonly idleSlotTicks: number;
}

interface Trainer {
  submission: Submission | undefined;
  openItems: Map<string, number>;
  completeGroups: number;
  startsAt: number;
}

function createStepAwareOrder(clock: ManualClock, slots: number): StepAwareOrder {
  return new StepAwareOrder({
    clock,
    metrics: createMetrics(),
    logger,
    describeEngines: () => ({
      services: 'engines',
      slots,
      fastestMsPerEvent: MS_PER_EVENT,
      averageMsPerEvent: MS_PER_EVENT,
    }),
  });
}

/** Replays trainers that submit their next step once they have enough groups of the last one. */
function replay(
  createOrder: (clock: ManualClock, slots: number) => ItemOrder,
  slots: number,
  startedOrder: string[] = [],
): ReplayResult {
  const clock = new ManualClock(0);
  const random = new RandomSource(7);
  const order = createOrder(clock, slots);
  const trainers = Array.from({ length: TRAINERS }, (_, index): Trainer => {
    const startsAt = index * 300;
    return { submission: undefined, openItems: new Map(), completeGroups: 0, startsAt };
  });
  let waiting: ItemTask[] = [];
  let running: { task: ItemTask; endsAt: number }[] = [];
  const result = { stepsInTime: 0, groupsInTime: 0, steps: 0, longestWaitMs: 0, idleSlotTicks: 0 };
  let submissions = 0;

  const submit = (trainer: Trainer): void => {
    const items = Array.from({ length: GROUPS * ITEMS_PER_GROUP }, (_, index) => {
      // Most outputs are short, few are several times as long.
      const expectedTokens = Math.round(50 + 250 * random.fraction() ** 2);
      const group = `g${submissions}-${Math.floor(index / ITEMS_PER_GROUP)}`;
      return createItem(`i${submissions}-${index}`, { group, expectedTokens });
    });
    const terms = createTerms(`s${submissions}`, items.length, {
      submittedAt: clock.wall(),
      dueMs: DUE_MS,
      wantedGroups: WANTED_GROUPS,
    });
    const submission = new Submission(terms, []);
    submissions += 1;
    order.addSubmission(submission, items);
    Object.assign(trainer, { submission, completeGroups: 0, openItems: new Map() });
    items.forEach((item) => {
      trainer.openItems.set(item.group, ITEMS_PER_GROUP);
      waiting.push(new ItemTask(submission, item, clock.mono()));
    });
  };

  const finishStep = (trainer: Trainer, submission: Submission): void => {
    const tookMs = clock.wall() - submission.terms.submittedAt;
    result.steps += 1;
    result.stepsInTime += Number(tookMs <= DUE_MS);
    result.longestWaitMs = Math.max(result.longestWaitMs, tookMs);
    order.removeSubmission(submission);
    waiting = waiting.filter((task) => task.submission !== submission);
    running = running.filter(({ task }) => task.submission !== submission);
    Object.assign(trainer, { submission: undefined, startsAt: clock.wall() + TRAINING_MS });
  };

  const finishItem = ({ submission, spec }: ItemTask): void => {
    const trainer = trainers.find((one) => one.submission === submission);
    if (!trainer) return;
    submission.addResult({ item: spec.id } as ListedResult);
    const left = trainer.openItems.get(spec.group)! - 1;
    trainer.openItems.set(spec.group, left);
    if (left > 0) return;
    trainer.completeGroups += 1;
    const isInTime = clock.wall() - submission.terms.submittedAt <= DUE_MS;
    result.groupsInTime += Number(isInTime);
    if (trainer.completeGroups >= WANTED_GROUPS) finishStep(trainer, submission);
  };

  const endRuns = (): void => {
    const ended = running.filter(({ endsAt }) => endsAt <= clock.wall());
    running = running.filter(({ endsAt }) => endsAt > clock.wall());
    ended.forEach(({ task }) => finishItem(task));
  };

  const startItems = (): void => {
    const free = slots - running.length;
    if (free === 0 || waiting.length === 0) return;
    const next = new Set(order.sortInParts(waiting).flat().slice(0, free));
    next.forEach((task) => {
      startedOrder.push(`${task.spec.id} ${clock.wall()}`);
      const endsAt = clock.wall() + (task.spec.expectedTokens ?? 0) * MS_PER_EVENT;
      running.push({ task, endsAt });
    });
    waiting = waiting.filter((task) => !next.has(task));
  };

  for (; clock.wall() < DURATION_MS; clock.advance(TICK_MS)) {
    endRuns();
    trainers
      .filter((trainer) => !trainer.submission && trainer.startsAt <= clock.wall())
      .forEach(submit);
    startItems();
    if (waiting.length > 0) result.idleSlotTicks += slots - running.length;
  }
  const open = trainers.filter(({ submission }) => submission);
  const waits = open.map(({ submission }) => clock.wall() - submission!.terms.submittedAt);
  result.longestWaitMs = Math.max(result.longestWaitMs, ...waits);
  return result;
}

describe('trainers that compete for half of the engines that they need', () => {
  const slots = Math.round(NEEDED_SLOTS / 2);

  it('get more groups and steps in time than by due time alone, and none waits for long', () => {
    const before = replay(() => new LongestFirstOrder(), slots);
    const after = replay(createStepAwareOrder, slots);
    expect(after.stepsInTime).toBeGreaterThan(before.stepsInTime);
    expect(after.groupsInTime).toBeGreaterThan(before.groupsInTime);
    expect(after.longestWaitMs).toBeLessThanOrEqual(MAX_WAIT_MS);
    expect(after.idleSlotTicks).toBe(0);
  });
});

describe('trainers that have the engines that they need', () => {
  it('have their items started exactly as by due time and length', () => {
    const before: string[] = [];
    const after: string[] = [];
    replay(() => new LongestFirstOrder(), 2 * NEEDED_SLOTS, before);
    replay(createStepAwareOrder, 2 * NEEDED_SLOTS, after);
    expect(before.length).toBeGreaterThan(1_000);
    expect(after).toEqual(before);
  });
});

describe('the order of items while no speed of an engine is known', () => {
  it('is by due time and length', () => {
    const clock = new ManualClock(100_000);
    const order = new StepAwareOrder({
      clock,
      metrics: createMetrics(),
      logger,
      describeEngines: () => undefined,
    });
    const submission = new Submission(createTerms('s1', 2, { submittedAt: 0 as WallTime }), []);
    const items = [10, 20].map((expectedTokens) =>
      createItem(`i${expectedTokens}`, { expectedTokens }),
    );
    order.addSubmission(submission, items);
    const tasks = items.map((item) => new ItemTask(submission, item, 0 as MonoTime));
    expect(order.sortInParts(tasks)).toEqual([[tasks[1], tasks[0]]]);
  });
});
