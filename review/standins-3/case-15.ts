/** The holder of the duty is killed while an item fails at each run. */
import { setTimeout as sleep } from 'node:timers/promises';

import { MODEL, MODEL_SERVICE, readAllResults, runCase, submit, waitUntil } from './deployment';

const SUBMISSION = '7c41e09b52d6a3f8';
const ITEMS = 8;
const FAILING_ITEM = `${SUBMISSION}-3`;
const MAX_ATTEMPTS = 3;
const MAX_FAILURES = 3 * MAX_ATTEMPTS;
const FAILURES_BEFORE_KILL = 5;
const FAILURE_MS = 700;
const DOWN_MS = 3_000;

await runCase({}, async (deployment, hasTrouble) => {
  const { record } = deployment;
  const breaks: string[] = [];
  let failures = 0;
  const addReplica = async (index: number): Promise<void> => {
    const replica = await deployment.addReplica(MODEL_SERVICE, {
      id: `i-model-${index}`,
      slots: 8,
      models: [MODEL],
      events: 10,
      eventMs: 50,
    });
    replica.answer = async (run) => {
      if (run.id !== FAILING_ITEM) {
        await replica.sendWhole(run);
        return;
      }
      if (failures >= MAX_FAILURES) {
        const { holder } = deployment;
        breaks.push(`BUDGET: the item comes again after ${failures} answers of 500, by ${holder}`);
      }
      await sleep(FAILURE_MS);
      if (run.res.destroyed) return;
      failures += 1;
      record(`${replica.options.id} answers 500, number ${failures}`);
      run.res.writeHead(500, { 'Response-Stamp': `${replica.options.id}.${run.id}` }).end('error');
    };
  };
  await addReplica(1);
  await addReplica(2);
  const first = await deployment.addProgram('edge-ba-1', 'ba');
  const second = await deployment.addProgram('edge-nadi-1', 'nadi');
  const holder = await deployment.findHolder();
  const successor = holder === first ? second : first;
  const { status } = await submit(successor.front, SUBMISSION, ITEMS);
  record(`submission ${SUBMISSION} of ${ITEMS} items: ${status}`);
  await waitUntil(() => failures >= FAILURES_BEFORE_KILL, 20_000);
  if (hasTrouble) {
    record(`${holder.name} holds the duty`);
    await holder.kill();
    await sleep(DOWN_MS);
    await holder.start();
  }
  await waitUntil(
    async () => (await readAllResults(successor.front, SUBMISSION)).length === ITEMS,
    30_000,
  );
  const results = await readAllResults(successor.front, SUBMISSION);
  record(`results: ${results.map(({ id, state }) => `${id} ${state}`).join(', ')}`);
  return breaks;
});
