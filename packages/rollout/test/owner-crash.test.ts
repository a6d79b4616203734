/** Owners that die or are cut off at any record, with answers lost and appends landing late. */
import fc from 'fast-check';
import { expect, test } from 'vitest';

import { RECORD_KINDS, TailHedging } from '../src';
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

const GROUPS = 3;
const COUNT = 4;

interface Plan {
  readonly seed: number;
  /** After how many further records each owner dies. */
  readonly deaths: readonly number[];
  /** The owner's engine crashes with it. */
  readonly engines: boolean;
  readonly loseAnswers: number;
  readonly landLate: number;
  readonly publishEvery: number;
  /** How long the trainer works on a page before it asks with its new cursor. */
  readonly thinkMs: number;
}

const plans: fc.Arbitrary<Plan> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  deaths: fc.array(fc.integer({ min: 1, max: 6 }), { maxLength: 4 }),
  engines: fc.boolean(),
  loseAnswers: fc.constantFrom(0, 0.3),
  landLate: fc.constantFrom(0, 0.3),
  publishEvery: fc.constantFrom(0, 300, 700),
  thinkMs: fc.constantFrom(0, 300, 1500),
});

/** Runs one step under a plan, with a trainer that only follows its cursor. */
async function run(plan: Plan): Promise<{ trainer: TestTrainer; faults: string[] }> {
  const stage = new Stage({ seed: plan.seed });
  const trainer = new TestTrainer();
  const deaths = [...plan.deaths];
  const start = () => stage.startOwner({ stragglers: new TailHedging({ minRunningMs: 100 }) });
  let owner = await start();
  let diesAt = stage.counted + (deaths.shift() ?? Infinity);
  let version = 0;
  let publishAt = stage.clock.mono() + plan.publishEvery;
  stage.log.setFaults({ loseAnswers: plan.loseAnswers, landLate: plan.landLate, landLateMs: 400 });
  const create = () => owner.desk.createStep(STEP, makeGroups(GROUPS, COUNT));
  void create();
  await driveUntil(stage.clock, () => {
    if (stage.counted >= diesAt) return true;
    return trainer.ready(owner);
  });
  for (let turn = 0; turn < 400 && !trainer.isDone; turn += 1) {
    if (stage.counted >= diesAt) {
      await owner.kill();
      if (plan.engines) stage.runner.crash(turn % 3);
      stage.log.setFaults({ loseAnswers: 0, landLate: 0 });
      owner = await start();
      diesAt = stage.counted + (deaths.shift() ?? Infinity);
    }
    // A trainer that got no answer creates its step again.
    if (!trainer.ready(owner)) await drive(stage.clock, create());
    while (plan.publishEvery > 0 && stage.clock.mono() >= publishAt && version < 8) {
      version += 1;
      publishAt += plan.publishEvery;
      await stage.publish(owner, version);
    }
    await trainer.ask(stage, owner, 50);
    const until = stage.clock.mono() + plan.thinkMs;
    await driveUntil(stage.clock, () => stage.clock.mono() >= until);
  }
  const faults = [
    ...findCursorFaults(trainer.taken, trainer.voids, listIds(GROUPS, COUNT)),
    ...findLabelFaults(trainer.taken.map((taken) => taken.run)),
    ...findStaleFaults(trainer.taken, stage.trainer.staleness.versions),
  ];
  await owner.kill();
  return { trainer, faults };
}

test('a step survives owners that die at any record, without a repeat, gap or stale sample', async () => {
  await fc.assert(
    fc.asyncProperty(plans, async (plan) => {
      const { faults, trainer } = await run(plan);
      expect(faults).toEqual([]);
      expect(trainer.isDone).toBe(true);
    }),
    { seed: 20_261, numRuns: 60 },
  );
});

test('the cursor checker fails on an owner that releases before it writes', async () => {
  const stage = new Stage();
  const trainer = new TestTrainer();
  const owner = await stage.startOwner();
  await drive(stage.clock, owner.desk.createStep(STEP, makeGroups(1, COUNT)));
  const ids = listIds(1, COUNT);
  // The naive owner hands out numbers 1 and 2 and dies before its record lands.
  const naive = [ids[3], ids[2]].map((id, index) => ({ number: index + 1, id: id as string }));
  trainer.cursor = 2;
  await owner.kill();
  const next = await stage.startOwner();
  await driveUntil(stage.clock, () => trainer.ready(next) && isNumbered(next));
  while (!trainer.isDone) await trainer.ask(stage, next);
  const faults = findCursorFaults([...naive, ...trainer.taken], trainer.voids, ids);
  expect(faults.length).toBeGreaterThan(0);
});

test('a numbering that lands after its owner was cut off is void', async () => {
  const stage = new Stage();
  const trainer = new TestTrainer();
  const first = await stage.startOwner();
  await drive(stage.clock, first.desk.createStep(STEP, makeGroups(1, COUNT)));
  stage.log.setFaults({ landLate: 1, landLateMs: 3000 });
  await driveUntil(stage.clock, () => stage.lateNumbers > 0);
  await first.kill();
  stage.log.setFaults({ landLate: 0 });
  const second = await stage.startOwner();
  await driveUntil(stage.clock, () => isNumbered(second));
  const before = second.desk.state.toSnapshot().steps;
  await driveUntil(stage.clock, () => stage.landed.includes(RECORD_KINDS.numbers));
  expect(second.desk.state.toSnapshot().steps).toEqual(before);
  while (!trainer.isDone) await trainer.ask(stage, second);
  expect(findCursorFaults(trainer.taken, trainer.voids, listIds(1, COUNT))).toEqual([]);
});

test('an outage of the log delays numbers and loses none', async () => {
  const stage = new Stage();
  const trainer = new TestTrainer();
  const owner = await stage.startOwner();
  await drive(stage.clock, owner.desk.createStep(STEP, makeGroups(2, COUNT)));
  stage.log.setFaults({ outage: true });
  await trainer.ask(stage, owner, 20_000);
  expect(trainer.taken).toEqual([]);
  stage.log.setFaults({ outage: false });
  while (!trainer.isDone) await trainer.ask(stage, owner);
  expect(findCursorFaults(trainer.taken, trainer.voids, listIds(2, COUNT))).toEqual([]);
});

function isNumbered(owner: TestOwner): boolean {
  return owner.desk.state.listOpenSteps().some((step) => step.isFullyNumbered);
}
