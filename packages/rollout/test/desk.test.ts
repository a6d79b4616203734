/** Steps, numbers, crashes of owners and engines, as a trainer sees them. */
import { expect, test } from 'vitest';

import {
  STEP,
  Stage,
  TestTrainer,
  drive,
  findCursorFaults,
  findLabelFaults,
  listIds,
  makeGroups,
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
