/** The only replica of the first service of a split rollout route is lost for good. */
import { setTimeout as sleep } from 'node:timers/promises';

import { HOST, runCase } from '../deployment';
import { CaseRecord } from '../record';
import { Replica } from '../replica';
import { findLostItems, runStep } from '../trainer';

const LOST_AFTER_MS = 1_500;
const ENGINE = { slots: 8, model: 'daka51', countEvents: () => 80, eventMs: 40 };

const record = new CaseRecord(process.argv[2] ?? 'record.txt');

await runCase(record, async (deployment, hasTrouble) => {
  const canary = new Replica({ ...ENGINE, id: 'i-canary', service: 'huvo11b' }, record);
  const others = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5'].map(
    (id) => new Replica({ ...ENGINE, id, service: 'huvo11a' }, record),
  );
  const replicas = [canary, ...others];
  const routes = [
    {
      name: 'r-1',
      host: HOST,
      pathPrefix: '/pule252/',
      kind: 'rollout',
      timeoutMs: 10_000,
      goalMs: 400,
      resultTargetMs: 7_500,
      retentionS: 40,
      priority: 0,
      split: [
        { service: 'huvo11b', weight: 10 },
        { service: 'huvo11a', weight: 90 },
      ],
      maxAttempts: 3,
      sticky: true,
    },
  ];
  const engine = { models: [{ name: 'daka51' }] };
  const services = [
    { name: 'huvo11a', engine },
    { name: 'huvo11b', engine },
  ];
  await deployment.start({ routes, services }, replicas, 2);
  await sleep(5_000);
  let disruptedAt: number | undefined;
  const loseCanary = async (): Promise<void> => {
    await sleep(LOST_AFTER_MS);
    deployment.loseReplica(canary);
    disruptedAt = record.elapsedMs;
  };
  const outcome = await runStep(
    deployment,
    {
      id: 'step-2',
      pathPrefix: '/pule252/',
      model: 'daka51',
      training: { step: 2, minVersion: 1 },
      groups: 4,
      itemsPerGroup: 4,
      budgetMs: 12_000,
    },
    () => {
      if (hasTrouble) void loseCanary();
    },
  );
  const lost = findLostItems(outcome, replicas, { disruptedAt, namedAt: undefined });
  lost.forEach((id) =>
    record.add('case', `${id} was at no replica in the last 5 s of the step, and isn't finished`),
  );
  return lost.length > 0 ? 'broken' : 'held';
});
