/** The next version is named while a step that was requested ahead runs, on a single-version route. */
import { setTimeout as sleep } from 'node:timers/promises';

import { HOST, runCase } from '../deployment';
import { CaseRecord } from '../record';
import { Replica } from '../replica';
import { findLostItems, runStep } from '../trainer';

const NAMED_AFTER_MS = 500;
const ITEMS_PER_GROUP = 4;
const GROUPS = 3;
const SHORT_EVENTS = 8;
const LONG_EVENTS = 100;

const record = new CaseRecord(process.argv[2] ?? 'record.txt');

await runCase(record, async (deployment, hasTrouble) => {
  const replicas = ['i-1', 'i-2', 'i-3'].map(
    (id) =>
      new Replica(
        { id, service: 'huvo11a', slots: 8, model: 'daka51', countEvents, eventMs: 40 },
        record,
      ),
  );
  const routes = [
    {
      name: 'r-1',
      host: HOST,
      pathPrefix: '/pule252/',
      kind: 'rollout',
      singleVersion: true,
      timeoutMs: 10_000,
      goalMs: 400,
      resultTargetMs: 7_500,
      retentionS: 40,
      priority: 0,
      service: 'huvo11a',
      maxAttempts: 3,
      sticky: true,
    },
  ];
  const services = [{ name: 'huvo11a', engine: { models: [{ name: 'daka51' }] } }];
  await deployment.start({ routes, services }, replicas, 2);
  await sleep(5_000);
  let namedAt: number | undefined;
  const nameNext = async (): Promise<void> => {
    await sleep(NAMED_AFTER_MS);
    deployment.nameVersion('daka51', 2);
    namedAt = record.elapsedMs;
  };
  const outcome = await runStep(
    deployment,
    {
      id: 'step-2',
      pathPrefix: '/pule252/',
      model: 'daka51',
      training: { step: 2, minVersion: 1 },
      groups: GROUPS,
      itemsPerGroup: ITEMS_PER_GROUP,
      budgetMs: 12_000,
    },
    () => {
      if (hasTrouble) void nameNext();
    },
  );
  const lost = findLostItems(outcome, replicas, { disruptedAt: undefined, namedAt });
  lost.forEach((id) =>
    record.add('case', `${id} was at no replica in the last 5 s of the step, and isn't finished`),
  );
  return lost.length > 0 ? 'broken' : 'held';
});

/** The outputs of the last group are short, and those of the others are long. */
function countEvents(id: string): number {
  const group = Math.floor(Number(id.split('-').at(-1)) / ITEMS_PER_GROUP);
  return group === GROUPS - 1 ? SHORT_EVENTS : LONG_EVENTS;
}
