/** Owners that crash or lose the log at any record, with lost responses and delayed appends. */
import fc from 'fast-check';
import { expect, test } from 'vitest';

import { RECORD_KINDS, TailHedging } from '../src';
import {
  STEP,
  TrainerCluster,
  TestTrainer,
  waitFor,
  advanceUntil,
  findDeliveryErrors,
  findSegmentErrors,
  findStalenessErrors,
  listSampleIds,
  createGroups,
  type TestOwner,
} from './support';

const GROUPS = 3;
const SAMPLES_PER_GROUP = 4;

interface CrashPlan {
  readonly seed: number;
  /** For each owner in turn, the number of appends after which it crashes. */
  readonly appendsBeforeCrash: readonly number[];
  /** Whether an engine crashes together with each owner. */
  readonly crashesEngine: boolean;
  /** The fraction of appends whose response is lost. */
  readonly lostResponseFraction: number;
  /** The fraction of appends that are delayed and get no response. */
  readonly delayedAppendFraction: number;
  /** How often the trainer publishes a version; zero for never. */
  readonly publishIntervalMs: number;
  /** How long the trainer works on a page before it requests the next one. */
  readonly thinkMs: number;
}

const plans: fc.Arbitrary<CrashPlan> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  appendsBeforeCrash: fc.array(fc.integer({ min: 1, max: 6 }), { maxLength: 4 }),
  crashesEngine: fc.boolean(),
  lostResponseFraction: fc.constantFrom(0, 0.3),
  delayedAppendFraction: fc.constantFrom(0, 0.3),
  publishIntervalMs: fc.constantFrom(0, 300, 700),
  thinkMs: fc.constantFrom(0, 300, 1500),
});

/** Runs one step under a plan, and returns the trainer and the errors in what it received. */
async function runPlan(plan: CrashPlan): Promise<{ trainer: TestTrainer; errors: string[] }> {
  const cluster = new TrainerCluster({ seed: plan.seed });
  const trainer = new TestTrainer();
  const appendsBeforeCrash = [...plan.appendsBeforeCrash];
  const start = () => cluster.startOwner({ stragglers: new TailHedging({ minRunningMs: 100 }) });
  let owner = await start();
  let crashAt = cluster.appendCount + (appendsBeforeCrash.shift() ?? Infinity);
  let version = 0;
  let publishAt = cluster.clock.mono() + plan.publishIntervalMs;
  cluster.log.setFaults({
    loseAnswers: plan.lostResponseFraction,
    landLate: plan.delayedAppendFraction,
    landLateMs: 400,
  });
  const create = () => owner.coordinator.createStep(STEP, createGroups(GROUPS, SAMPLES_PER_GROUP));
  void create();
  await advanceUntil(cluster.clock, () => {
    if (cluster.appendCount >= crashAt) return true;
    return trainer.knowsStep(owner);
  });
  for (let round = 0; round < 400 && !trainer.isDone; round += 1) {
    if (cluster.appendCount >= crashAt) {
      await owner.kill();
      if (plan.crashesEngine) cluster.runner.crashTarget(round % 3);
      cluster.log.setFaults({ loseAnswers: 0, landLate: 0 });
      owner = await start();
      crashAt = cluster.appendCount + (appendsBeforeCrash.shift() ?? Infinity);
    }
    // A trainer that got no response creates its step again.
    if (!trainer.knowsStep(owner)) await waitFor(cluster.clock, create());
    while (plan.publishIntervalMs > 0 && cluster.clock.mono() >= publishAt && version < 8) {
      version += 1;
      publishAt += plan.publishIntervalMs;
      await cluster.publish(owner, version);
    }
    await trainer.requestPage(cluster, owner, 50);
    const until = cluster.clock.mono() + plan.thinkMs;
    await advanceUntil(cluster.clock, () => cluster.clock.mono() >= until);
  }
  const errors = [
    ...findDeliveryErrors(
      trainer.received,
      trainer.voids,
      listSampleIds(GROUPS, SAMPLES_PER_GROUP),
    ),
    ...findSegmentErrors(trainer.received.map((sample) => sample.labelled)),
    ...findStalenessErrors(trainer.received, cluster.trainer.staleness.versions),
  ];
  await owner.kill();
  return { trainer, errors };
}

test('a step whose owners crash at any record is delivered without repeated, missing or stale samples', async () => {
  await fc.assert(
    fc.asyncProperty(plans, async (plan) => {
      const { errors, trainer } = await runPlan(plan);
      expect(errors).toEqual([]);
      expect(trainer.isDone).toBe(true);
    }),
    { seed: 20_261, numRuns: 60 },
  );
});

test('the delivery check fails for an owner that delivers samples before it records their numbers', async () => {
  const cluster = new TrainerCluster();
  const trainer = new TestTrainer();
  const owner = await cluster.startOwner();
  await waitFor(
    cluster.clock,
    owner.coordinator.createStep(STEP, createGroups(1, SAMPLES_PER_GROUP)),
  );
  const ids = listSampleIds(1, SAMPLES_PER_GROUP);
  // Such an owner has delivered numbers 1 and 2 and crashed before it appended their record.
  const delivered = [ids[3], ids[2]].map((id, index) => ({ number: index + 1, id: id as string }));
  trainer.cursor = 2;
  await owner.kill();
  const next = await cluster.startOwner();
  await advanceUntil(cluster.clock, () => trainer.knowsStep(next) && isNumbered(next));
  while (!trainer.isDone) await trainer.requestPage(cluster, next);
  const errors = findDeliveryErrors([...delivered, ...trainer.received], trainer.voids, ids);
  expect(errors.length).toBeGreaterThan(0);
});

test('a numbers record that is appended after its owner lost the duty is ignored', async () => {
  const cluster = new TrainerCluster();
  const trainer = new TestTrainer();
  const first = await cluster.startOwner();
  await waitFor(
    cluster.clock,
    first.coordinator.createStep(STEP, createGroups(1, SAMPLES_PER_GROUP)),
  );
  cluster.log.setFaults({ landLate: 1, landLateMs: 3000 });
  await advanceUntil(cluster.clock, () => cluster.delayedNumbersCount > 0);
  await first.kill();
  cluster.log.setFaults({ landLate: 0 });
  const second = await cluster.startOwner();
  await advanceUntil(cluster.clock, () => isNumbered(second));
  const before = second.coordinator.state.toSnapshot().steps;
  await advanceUntil(cluster.clock, () => cluster.delayedKinds.includes(RECORD_KINDS.numbers));
  expect(second.coordinator.state.toSnapshot().steps).toEqual(before);
  while (!trainer.isDone) await trainer.requestPage(cluster, second);
  expect(
    findDeliveryErrors(trainer.received, trainer.voids, listSampleIds(1, SAMPLES_PER_GROUP)),
  ).toEqual([]);
});

test('an outage of the log delays numbers but loses none', async () => {
  const cluster = new TrainerCluster();
  const trainer = new TestTrainer();
  const owner = await cluster.startOwner();
  await waitFor(
    cluster.clock,
    owner.coordinator.createStep(STEP, createGroups(2, SAMPLES_PER_GROUP)),
  );
  cluster.log.setFaults({ outage: true });
  await trainer.requestPage(cluster, owner, 20_000);
  expect(trainer.received).toEqual([]);
  cluster.log.setFaults({ outage: false });
  while (!trainer.isDone) await trainer.requestPage(cluster, owner);
  expect(
    findDeliveryErrors(trainer.received, trainer.voids, listSampleIds(2, SAMPLES_PER_GROUP)),
  ).toEqual([]);
});

function isNumbered(owner: TestOwner): boolean {
  return owner.coordinator.state.listOpenSteps().some((step) => step.isFullyNumbered);
}
