/** Steps, numbers, crashes of owners and engines, as a trainer sees them. */
import type { StepId, WeightVersion } from '@hibiscushill/base';
import { isSome, toUndefined } from 'fp-ts/Option';
import { expect, test } from 'vitest';

import { NoHedging, TailHedging } from '../src';
import {
  STEP,
  Stage,
  TestTrainer,
  drive,
  driveUntil,
  findCursorFaults,
  findLabelFaults,
  findStaleFaults,
  listIds,
  makeGroups,
  type TestOwner,
} from './support';

test('a step is delivered whole, once and labelled', async () => {
  const stage = new Stage();
  const owner = await stage.startOwner();
  const trainer = new TestTrainer();
  (await drive(stage.clock, owner.desk.createStep(STEP, makeGroups(3, 4))))._unsafeUnwrap();
  while (!trainer.isDone) await trainer.ask(stage, owner);
  expect(findCursorFaults(trainer.taken, trainer.voids, listIds(3, 4))).toEqual([]);
  expect(findLabelFaults(trainer.taken.map(({ run }) => run))).toEqual([]);
  await owner.kill();
});

/** Starts a stage with one owner and one step. */
async function begin(
  groups: ReturnType<typeof makeGroups>,
  options: Parameters<Stage['startOwner']>[0] & { versions?: number } = {},
) {
  const stage = new Stage();
  const versions = options.versions ?? 1;
  stage.trainer = { ...stage.trainer, staleness: { versions, ms: 60_000 } };
  const owner = await stage.startOwner(options);
  const created = await drive(stage.clock, owner.desk.createStep(STEP, groups));
  return { stage, owner, trainer: new TestTrainer(), created: created._unsafeUnwrap() };
}

test('the same step again gets the same answer, other content a conflict', async () => {
  const { created, owner, stage } = await begin(makeGroups(1, 2));
  const again = await drive(stage.clock, owner.desk.createStep(STEP, makeGroups(1, 2)));
  expect(again._unsafeUnwrap()).toEqual(created);
  const other = await drive(stage.clock, owner.desk.createStep(STEP, makeGroups(1, 3)));
  expect(other._unsafeUnwrapErr().code).toBe('step_conflict');
});

test('asking again gives the same samples under the same numbers', async () => {
  const { owner, stage } = await begin(makeGroups(1, 4));
  const query = { step: STEP, after: 0, waitMs: 5000 };
  await driveUntil(stage.clock, () => isWhole(owner));
  const first = await drive(stage.clock, owner.desk.readSamples(query));
  const second = await drive(stage.clock, owner.desk.readSamples(query));
  expect(first._unsafeUnwrap().samples).toHaveLength(4);
  expect(second._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
});

test('a cursor ahead of the numbers is refused, one behind the record is expired', async () => {
  const { owner, stage, trainer } = await begin(makeGroups(1, 4));
  const ahead = { step: STEP, after: 9, waitMs: 0 };
  const refused = await drive(stage.clock, owner.desk.readSamples(ahead));
  expect(refused._unsafeUnwrapErr().code).toBe('cursor_invalid');
  while (!trainer.isDone) await trainer.ask(stage, owner);
  await trainer.ask(stage, owner);
  await driveUntil(stage.clock, () => owner.desk.state.listOpenSteps().length === 0);
  const back = await drive(stage.clock, owner.desk.readSamples({ ...ahead, after: 0 }));
  expect(back._unsafeUnwrapErr().code).toBe('step_expired');
  const end = await drive(stage.clock, owner.desk.readSamples({ ...ahead, after: 4 }));
  expect(end._unsafeUnwrap()).toMatchObject({ done: true, next: 4, samples: [] });
});

test('a broken answer goes on from the tokens received, with a true label', async () => {
  const stage = new Stage({ targets: 2 });
  const owner = await stage.startOwner();
  const trainer = new TestTrainer();
  const [id = ''] = listIds(1, 1);
  stage.runner.breakAfter.set(id as never, 12);
  await drive(stage.clock, owner.desk.createStep(STEP, makeGroups(1, 1)));
  await driveUntil(stage.clock, () => stage.runner.ran.length === 2);
  await stage.publish(owner, 1);
  while (!trainer.isDone) await trainer.ask(stage, owner);
  const [taken] = trainer.taken;
  expect(taken?.run.segments).toMatchObject([
    { version: 0, fromToken: 0 },
    { version: 1, toToken: 20 },
  ]);
  expect(findLabelFaults(trainer.taken.map(({ run }) => run))).toEqual([]);
});

test('the label checker fails when the label comes from the order', async () => {
  const { owner, stage, trainer } = await begin(makeGroups(1, 2));
  stage.clock.advance(100);
  await stage.publish(owner, 1);
  while (!trainer.isDone) await trainer.ask(stage, owner);
  const runs = trainer.taken.map(({ run }) => run);
  expect(findLabelFaults(runs)).toEqual([]);
  const ordered = runs.map(({ tokens }) => ({
    tokens,
    segments: [{ version: 1 as WeightVersion, fromToken: 0, toToken: tokens.length }],
  }));
  expect(findLabelFaults(ordered)).not.toEqual([]);
});

test.each([
  { versions: 1, stale: 0 },
  { versions: 1000, stale: 4 },
])('with a bound of $versions versions, $stale of 4 are over one', async ({ versions, stale }) => {
  const { owner, stage, trainer } = await begin(makeGroups(1, 4), { versions });
  await driveUntil(stage.clock, () => isWhole(owner));
  await stage.publish(owner, 1);
  await stage.publish(owner, 2);
  while (!trainer.isDone) await trainer.ask(stage, owner);
  expect(findCursorFaults(trainer.taken, trainer.voids, listIds(1, 4))).toEqual([]);
  expect(findStaleFaults(trainer.taken, 1)).toHaveLength(stale);
});

test('a version published between numbering and the answer makes the number void', async () => {
  const { owner, stage, trainer } = await begin(makeGroups(1, 2), { versions: 0 });
  await driveUntil(stage.clock, () => isWhole(owner));
  await stage.publish(owner, 1);
  while (!trainer.isDone) await trainer.ask(stage, owner);
  expect(trainer.voids).toEqual([1, 2]);
  expect(trainer.taken.map(({ number }) => number)).toEqual([3, 4]);
});

test.each([
  { policy: new NoHedging(), hedged: false },
  { policy: new TailHedging({ slowdownFactor: 1.5, minRunningMs: 100 }), hedged: true },
])('a straggler is overtaken only with hedging, its loser never delivered', async (given) => {
  const stage = new Stage({ targets: 6 });
  const [slow] = stage.runner.targets;
  if (slow) slow.tokenMs = 400;
  const owner = await stage.startOwner({ stragglers: given.policy });
  const trainer = new TestTrainer();
  await drive(stage.clock, owner.desk.createStep(STEP, makeGroups(1, 10)));
  while (!trainer.isDone) await trainer.ask(stage, owner);
  expect(findCursorFaults(trainer.taken, trainer.voids, listIds(1, 10))).toEqual([]);
  expect(stage.runner.cancelled.length > 0).toBe(given.hedged);
  const kept = stage.runner.targets.reduce((sum, { store }) => sum + store.size, 0);
  expect(kept).toBeLessThanOrEqual(10);
});

test('a loser that ends in spite of its cancel is let go of and changes nothing', async () => {
  const stage = new Stage({ targets: 6 });
  stage.runner.ignoresCancel = true;
  const [slow] = stage.runner.targets;
  if (slow) slow.tokenMs = 400;
  const owner = await stage.startOwner({ stragglers: new TailHedging({ minRunningMs: 100 }) });
  const trainer = new TestTrainer();
  await drive(stage.clock, owner.desk.createStep(STEP, makeGroups(1, 10)));
  await driveUntil(stage.clock, () => isWhole(owner));
  const query = { step: STEP, after: 0, waitMs: 0 };
  const first = await drive(stage.clock, owner.desk.readSamples(query));
  await driveUntil(stage.clock, () => stage.runner.targets.every(({ running }) => running === 0));
  const second = await drive(stage.clock, owner.desk.readSamples(query));
  expect(second._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
  while (!trainer.isDone) await trainer.ask(stage, owner);
  await trainer.ask(stage, owner);
  await driveUntil(stage.clock, () => owner.desk.state.listOpenSteps().length === 0);
  expect(stage.runner.ran.length).toBeGreaterThan(10);
  expect(stage.runner.targets.map(({ store }) => store.size)).toEqual([0, 0, 0, 0, 0, 0]);
});

test('a trainer that stops at the last page may go on to its next steps', async () => {
  const { owner, stage } = await begin(makeGroups(1, 1), { limits: { maxOpenSteps: 1 } });
  const steps = ['step-1', 'step-2', 'step-3'] as StepId[];
  for (const step of steps) {
    const created = await drive(stage.clock, owner.desk.createStep(step, makeGroups(1, 1)));
    expect(created.isOk()).toBe(true);
    const query = { step, after: 0, waitMs: 5000 };
    const page = await drive(stage.clock, owner.desk.readSamples(query));
    expect(page._unsafeUnwrap().done).toBe(true);
  }
  await driveUntil(stage.clock, () => owner.desk.state.listOpenSteps().length === 0, 70_000);
  const ends = steps.map((step) => toUndefined(owner.desk.state.findStep(step))?.end);
  expect(ends).toEqual(['complete', 'complete', 'complete']);
});

test('a trainer that vanishes leaves nothing behind', async () => {
  const { owner, stage } = await begin(makeGroups(2, 20, 40), {
    limits: { idleTimeoutMs: 5000, maxBufferedBytes: 4000, maxRunningSamples: 8 },
  });
  let mostRunning = 0;
  await driveUntil(stage.clock, () => {
    const running = stage.runner.targets.reduce((sum, target) => sum + target.running, 0);
    mostRunning = Math.max(mostRunning, running);
    return owner.desk.state.listOpenSteps().length === 0;
  });
  await driveUntil(stage.clock, () => stage.runner.targets.every(({ running }) => running === 0));
  expect(mostRunning).toBe(8);
  expect(stage.runner.ran.length).toBeLessThan(40);
  expect(stage.runner.targets.map(({ store }) => store.size)).toEqual([0, 0, 0]);
  const late = await drive(
    stage.clock,
    owner.desk.readSamples({ step: STEP, after: 0, waitMs: 0 }),
  );
  expect(late._unsafeUnwrapErr().code).toBe('step_expired');
});

test.each([{ owner: 'the same owner' }, { owner: 'a new owner' }])(
  'samples that were taken but not confirmed are not made again by $owner',
  async ({ owner: who }) => {
    const { owner, stage, trainer } = await begin(makeGroups(1, 4), { versions: 0 });
    await driveUntil(stage.clock, () => isWhole(owner));
    await trainer.ask(stage, owner);
    expect(trainer.taken).toHaveLength(4);
    await stage.publish(owner, 1);
    if (who === 'a new owner') await owner.kill();
    const next = who === 'a new owner' ? await stage.startOwner() : owner;
    const later = stage.clock.mono() + 3000;
    await driveUntil(stage.clock, () => stage.clock.mono() > later);
    trainer.isDone = false;
    while (!trainer.isDone) await trainer.ask(stage, next);
    expect(findCursorFaults(trainer.taken, trainer.voids, listIds(1, 4))).toEqual([]);
  },
);

test('a sample that waited unread and is too old when asked again gets another number', async () => {
  const { owner, stage, trainer } = await begin(makeGroups(1, 2), { versions: 0 });
  await driveUntil(stage.clock, () => isWhole(owner));
  const lost = new TestTrainer();
  await lost.ask(stage, owner);
  await stage.publish(owner, 1);
  while (!trainer.isDone) await trainer.ask(stage, owner);
  expect(trainer.voids).toEqual([1, 2]);
  expect(findStaleFaults(trainer.taken, 0)).toEqual([]);
});

test('an agent that is out of reach for a while does not void its payloads', async () => {
  const { owner, stage, trainer } = await begin(makeGroups(1, 3));
  await driveUntil(stage.clock, () => isWhole(owner));
  await owner.kill();
  const next = await stage.startOwner();
  stage.runner.isCutOff = true;
  await trainer.ask(stage, next, 3000);
  expect(trainer.taken).toEqual([]);
  stage.runner.isCutOff = false;
  while (!trainer.isDone) await trainer.ask(stage, next);
  expect(trainer.voids).toEqual([]);
});

test('a payload lost with its owner and its agent gets another number', async () => {
  const { owner, stage, trainer } = await begin(makeGroups(1, 3));
  await driveUntil(stage.clock, () => isWhole(owner));
  await owner.kill();
  stage.runner.crash(0);
  const next = await stage.startOwner();
  while (!trainer.isDone) await trainer.ask(stage, next);
  expect(trainer.voids).toHaveLength(1);
  expect(findCursorFaults(trainer.taken, trainer.voids, listIds(1, 3))).toEqual([]);
});

function isWhole(owner: TestOwner): boolean {
  const step = owner.desk.state.findStep(STEP);
  return isSome(step) && step.value.isFullyNumbered;
}
