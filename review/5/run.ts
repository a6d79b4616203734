/** A stream that a process took shortly after its SIGTERM, on a route of streams. */
import { setTimeout as sleep } from 'node:timers/promises';

import { send } from '../client';
import { API_KEY, HOST, runCase } from '../deployment';
import { CaseRecord } from '../record';
import { Replica } from '../replica';

const record = new CaseRecord(process.argv[2] ?? 'record.txt');

await runCase(record, async (deployment, hasTrouble) => {
  const engines = ['i-1', 'i-2'].map(
    (id) =>
      new Replica(
        { id, service: 'huvo11a', slots: 8, model: 'daka51', countEvents: () => 40, eventMs: 90 },
        record,
      ),
  );
  const routes = [
    {
      name: 'r-1',
      host: HOST,
      pathPrefix: '/lohu930/',
      kind: 'stream',
      timeoutMs: 10_000,
      goalMs: 400,
      priority: 1,
      service: 'huvo11a',
      maxAttempts: 2,
      sticky: true,
    },
  ];
  const services = [{ name: 'huvo11a', engine: { models: [{ name: 'daka51' }] } }];
  await deployment.start({ routes, services }, engines, 2);
  await sleep(3_000);
  const [node] = deployment.processes;
  if (!node) return 'could-not-run';
  if (hasTrouble) node.signal('SIGTERM');
  await sleep(700);
  const id = 's-1';
  record.add('client', `sends ${id}`);
  const response = await send(node.front, {
    method: 'POST',
    path: '/lohu930/2f',
    headers: {
      Host: HOST,
      'Attempt-Id': id,
      'Deadline-Ms': '8000',
      Authorization: `Bearer ${API_KEY}`,
    },
    body: 'prompt',
  });
  record.add(
    'client',
    `got ${response.status}, ${response.isComplete ? 'complete' : 'cut'}, ${response.body.length} bytes`,
  );
  return response.status === 200 && response.isComplete ? 'held' : 'broken';
});
