/** Steps, sequence numbers, and crashes of owners and engines, as a trainer observes them. */
import type { StepId, WeightVersion } from '@hibiscushill/base';
import { isSome, toUndefined } from 'fp-ts/Option';
import { expect, test } from 'vitest';

import { NoHedging, TailHedging } from '../src';
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

test('each sample of a step is delivered once, with a version for each token', async () => {
  const cluster = new TrainerCluster();
  const owner = await cluster.startOwner();
  const trainer = new TestTrainer();
  (
    await waitFor(cluster.clock, owner.coordinator.createStep(STEP, createGroups(3, 4)))
  )._unsafeUnwrap();
  while (!trainer.isDone) await trainer.requestPage(cluster, owner);
  expect(findDeliveryErrors(trainer.received, trainer.voids, listSampleIds(3, 4))).toEqual([]);
  expect(findSegmentErrors(trainer.received.map(({ labelled }) => labelled))).toEqual([]);
  await owner.kill();
});

/** Starts a cluster with one owner and one step. */
async function startStep(
  groups: ReturnType<typeof createGroups>,
  options: Parameters<TrainerCluster['startOwner']>[0] & { versions?: number } = {},
) {
  const cluster = new TrainerCluster();
  const versions = options.versions ?? 1;
  cluster.trainer = { ...cluster.trainer, staleness: { versions, ms: 60_000 } };
  const owner = await cluster.startOwner(options);
  const created = await waitFor(cluster.clock, owner.coordinator.createStep(STEP, groups));
  return { cluster, owner, trainer: new TestTrainer(), created: created._unsafeUnwrap() };
}

test('creating a step again returns the same result, with other groups a conflict', async () => {
  const { created, owner, cluster } = await startStep(createGroups(1, 2));
  const again = await waitFor(
    cluster.clock,
    owner.coordinator.createStep(STEP, createGroups(1, 2)),
  );
  expect(again._unsafeUnwrap()).toEqual(created);
  const other = await waitFor(
    cluster.clock,
    owner.coordinator.createStep(STEP, createGroups(1, 3)),
  );
  expect(other._unsafeUnwrapErr().code).toBe('step_conflict');
});

test('the same request returns the same samples under the same numbers again', async () => {
  const { owner, cluster } = await startStep(createGroups(1, 4));
  const query = { step: STEP, after: 0, waitMs: 5000 };
  await advanceUntil(cluster.clock, () => isFullyNumbered(owner));
  const first = await waitFor(cluster.clock, owner.coordinator.readSamples(query));
  const second = await waitFor(cluster.clock, owner.coordinator.readSamples(query));
  expect(first._unsafeUnwrap().samples).toHaveLength(4);
  expect(second._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
});

test('a cursor beyond the last number is refused, one before the confirmed number has expired', async () => {
  const { owner, cluster, trainer } = await startStep(createGroups(1, 4));
  const ahead = { step: STEP, after: 9, waitMs: 0 };
  const refused = await waitFor(cluster.clock, owner.coordinator.readSamples(ahead));
  expect(refused._unsafeUnwrapErr().code).toBe('cursor_invalid');
  while (!trainer.isDone) await trainer.requestPage(cluster, owner);
  await trainer.requestPage(cluster, owner);
  await advanceUntil(cluster.clock, () => owner.coordinator.state.listOpenSteps().length === 0);
  const back = await waitFor(cluster.clock, owner.coordinator.readSamples({ ...ahead, after: 0 }));
  expect(back._unsafeUnwrapErr().code).toBe('step_expired');
  const end = await waitFor(cluster.clock, owner.coordinator.readSamples({ ...ahead, after: 4 }));
  expect(end._unsafeUnwrap()).toMatchObject({ done: true, next: 4, samples: [] });
});

test('an incomplete response is resumed after its last token, and the segments stay correct', async () => {
  const cluster = new TrainerCluster({ targets: 2 });
  const owner = await cluster.startOwner();
  const trainer = new TestTrainer();
  const [id = ''] = listSampleIds(1, 1);
  cluster.runner.breakAfterTokens.set(id as never, 12);
  await waitFor(cluster.clock, owner.coordinator.createStep(STEP, createGroups(1, 1)));
  await advanceUntil(cluster.clock, () => cluster.runner.startedSamples.length === 2);
  await cluster.publish(owner, 1);
  while (!trainer.isDone) await trainer.requestPage(cluster, owner);
  const [first] = trainer.received;
  expect(first?.labelled.segments).toMatchObject([
    { version: 0, fromToken: 0 },
    { version: 1, toToken: 20 },
  ]);
  expect(findSegmentErrors(trainer.received.map(({ labelled }) => labelled))).toEqual([]);
});

test('the segment check fails for segments derived from the weight order', async () => {
  const { owner, cluster, trainer } = await startStep(createGroups(1, 2));
  cluster.clock.advance(100);
  await cluster.publish(owner, 1);
  while (!trainer.isDone) await trainer.requestPage(cluster, owner);
  const outputs = trainer.received.map(({ labelled }) => labelled);
  expect(findSegmentErrors(outputs)).toEqual([]);
  const derived = outputs.map(({ tokens }) => ({
    tokens,
    segments: [{ version: 1 as WeightVersion, fromToken: 0, toToken: tokens.length }],
  }));
  expect(findSegmentErrors(derived)).not.toEqual([]);
});

test.each([
  { versions: 1, staleCount: 0 },
  { versions: 1000, staleCount: 4 },
])(
  'with a bound of $versions versions, $staleCount of 4 samples are more than one version behind',
  async ({ versions, staleCount }) => {
    const { owner, cluster, trainer } = await startStep(createGroups(1, 4), { versions });
    await advanceUntil(cluster.clock, () => isFullyNumbered(owner));
    await cluster.publish(owner, 1);
    await cluster.publish(owner, 2);
    while (!trainer.isDone) await trainer.requestPage(cluster, owner);
    expect(findDeliveryErrors(trainer.received, trainer.voids, listSampleIds(1, 4))).toEqual([]);
    expect(findStalenessErrors(trainer.received, 1)).toHaveLength(staleCount);
  },
);

test('a version published between numbering and delivery makes the number void', async () => {
  const { owner, cluster, trainer } = await startStep(createGroups(1, 2), { versions: 0 });
  await advanceUntil(cluster.clock, () => isFullyNumbered(owner));
  await cluster.publish(owner, 1);
  while (!trainer.isDone) await trainer.requestPage(cluster, owner);
  expect(trainer.voids).toEqual([1, 2]);
  expect(trainer.received.map(({ number }) => number)).toEqual([3, 4]);
});

test.each([
  { policy: new NoHedging(), isHedged: false },
  { policy: new TailHedging({ slowdownFactor: 1.5, minRunningMs: 100 }), isHedged: true },
])(
  'a straggler is cancelled only with hedging, and each sample is delivered once',
  async (given) => {
    const cluster = new TrainerCluster({ targets: 6 });
    const [slow] = cluster.runner.targets;
    if (slow) slow.tokenMs = 400;
    const owner = await cluster.startOwner({ stragglers: given.policy });
    const trainer = new TestTrainer();
    await waitFor(cluster.clock, owner.coordinator.createStep(STEP, createGroups(1, 10)));
    while (!trainer.isDone) await trainer.requestPage(cluster, owner);
    expect(findDeliveryErrors(trainer.received, trainer.voids, listSampleIds(1, 10))).toEqual([]);
    expect(cluster.runner.cancelledSamples.length > 0).toBe(given.isHedged);
    const payloadCount = cluster.runner.targets.reduce(
      (sum, { payloads: store }) => sum + store.size,
      0,
    );
    expect(payloadCount).toBeLessThanOrEqual(10);
  },
);

test('an attempt that completes after its cancellation changes nothing, and its payload is released', async () => {
  const cluster = new TrainerCluster({ targets: 6 });
  cluster.runner.ignoresCancellation = true;
  const [slow] = cluster.runner.targets;
  if (slow) slow.tokenMs = 400;
  const owner = await cluster.startOwner({ stragglers: new TailHedging({ minRunningMs: 100 }) });
  const trainer = new TestTrainer();
  await waitFor(cluster.clock, owner.coordinator.createStep(STEP, createGroups(1, 10)));
  await advanceUntil(cluster.clock, () => isFullyNumbered(owner));
  const query = { step: STEP, after: 0, waitMs: 0 };
  const first = await waitFor(cluster.clock, owner.coordinator.readSamples(query));
  await advanceUntil(cluster.clock, () =>
    cluster.runner.targets.every(({ runningCount }) => runningCount === 0),
  );
  const second = await waitFor(cluster.clock, owner.coordinator.readSamples(query));
  expect(second._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
  while (!trainer.isDone) await trainer.requestPage(cluster, owner);
  await trainer.requestPage(cluster, owner);
  await advanceUntil(cluster.clock, () => owner.coordinator.state.listOpenSteps().length === 0);
  expect(cluster.runner.startedSamples.length).toBeGreaterThan(10);
  expect(cluster.runner.targets.map(({ payloads }) => payloads.size)).toEqual([0, 0, 0, 0, 0, 0]);
});

test('a trainer that does not confirm the last page of a step can create its next steps', async () => {
  const { owner, cluster } = await startStep(createGroups(1, 1), { limits: { maxOpenSteps: 1 } });
  const steps = ['step-1', 'step-2', 'step-3'] as StepId[];
  for (const step of steps) {
    const created = await waitFor(
      cluster.clock,
      owner.coordinator.createStep(step, createGroups(1, 1)),
    );
    expect(created.isOk()).toBe(true);
    const query = { step, after: 0, waitMs: 5000 };
    const page = await waitFor(cluster.clock, owner.coordinator.readSamples(query));
    expect(page._unsafeUnwrap().done).toBe(true);
  }
  await advanceUntil(
    cluster.clock,
    () => owner.coordinator.state.listOpenSteps().length === 0,
    70_000,
  );
  const ends = steps.map((step) => toUndefined(owner.coordinator.state.findStep(step))?.end);
  expect(ends).toEqual(['complete', 'complete', 'complete']);
});

test('a step whose trainer disappears expires, and all its payloads are released', async () => {
  const { owner, cluster } = await startStep(createGroups(2, 20, 40), {
    limits: { idleTimeoutMs: 5000, maxBufferedBytes: 4000, maxRunningSamples: 8 },
  });
  let mostRunning = 0;
  await advanceUntil(cluster.clock, () => {
    const running = cluster.runner.targets.reduce((sum, target) => sum + target.runningCount, 0);
    mostRunning = Math.max(mostRunning, running);
    return owner.coordinator.state.listOpenSteps().length === 0;
  });
  await advanceUntil(cluster.clock, () =>
    cluster.runner.targets.every(({ runningCount }) => runningCount === 0),
  );
  expect(mostRunning).toBe(8);
  expect(cluster.runner.startedSamples.length).toBeLessThan(40);
  expect(cluster.runner.targets.map(({ payloads }) => payloads.size)).toEqual([0, 0, 0]);
  const late = await waitFor(
    cluster.clock,
    owner.coordinator.readSamples({ step: STEP, after: 0, waitMs: 0 }),
  );
  expect(late._unsafeUnwrapErr().code).toBe('step_expired');
});

test.each([{ owner: 'the same owner' }, { owner: 'a new owner' }])(
  'samples that were delivered but not confirmed are not generated again by $owner',
  async ({ owner: ownerName }) => {
    const { owner, cluster, trainer } = await startStep(createGroups(1, 4), { versions: 0 });
    await advanceUntil(cluster.clock, () => isFullyNumbered(owner));
    await trainer.requestPage(cluster, owner);
    expect(trainer.received).toHaveLength(4);
    await cluster.publish(owner, 1);
    if (ownerName === 'a new owner') await owner.kill();
    const next = ownerName === 'a new owner' ? await cluster.startOwner() : owner;
    const later = cluster.clock.mono() + 3000;
    await advanceUntil(cluster.clock, () => cluster.clock.mono() > later);
    trainer.isDone = false;
    while (!trainer.isDone) await trainer.requestPage(cluster, next);
    expect(findDeliveryErrors(trainer.received, trainer.voids, listSampleIds(1, 4))).toEqual([]);
  },
);

test('a sample that is stale at the next request gets another number', async () => {
  const { owner, cluster, trainer } = await startStep(createGroups(1, 2), { versions: 0 });
  await advanceUntil(cluster.clock, () => isFullyNumbered(owner));
  const disconnected = new TestTrainer();
  await disconnected.requestPage(cluster, owner);
  await cluster.publish(owner, 1);
  while (!trainer.isDone) await trainer.requestPage(cluster, owner);
  expect(trainer.voids).toEqual([1, 2]);
  expect(findStalenessErrors(trainer.received, 0)).toEqual([]);
});

test('numbers do not become void while an agent is temporarily unreachable', async () => {
  const { owner, cluster, trainer } = await startStep(createGroups(1, 3));
  await advanceUntil(cluster.clock, () => isFullyNumbered(owner));
  await owner.kill();
  const next = await cluster.startOwner();
  cluster.runner.isUnreachable = true;
  await trainer.requestPage(cluster, next, 3000);
  expect(trainer.received).toEqual([]);
  cluster.runner.isUnreachable = false;
  while (!trainer.isDone) await trainer.requestPage(cluster, next);
  expect(trainer.voids).toEqual([]);
});

test('a sample whose payload was lost with its owner and its agent gets another number', async () => {
  const { owner, cluster, trainer } = await startStep(createGroups(1, 3));
  await advanceUntil(cluster.clock, () => isFullyNumbered(owner));
  await owner.kill();
  cluster.runner.crashTarget(0);
  const next = await cluster.startOwner();
  while (!trainer.isDone) await trainer.requestPage(cluster, next);
  expect(trainer.voids).toHaveLength(1);
  expect(findDeliveryErrors(trainer.received, trainer.voids, listSampleIds(1, 3))).toEqual([]);
});

function isFullyNumbered(owner: TestOwner): boolean {
  const step = owner.coordinator.state.findStep(STEP);
  return isSome(step) && step.value.isFullyNumbered;
}
