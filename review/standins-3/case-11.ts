/** The store is down for seven seconds while replicas finish many short texts. */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  MODEL,
  MODEL_SERVICE,
  type Program,
  readAllResults,
  readResults,
  runCase,
  submit,
  waitUntil,
} from './deployment';

const REPLICAS = 6;
const EVENTS = 2;
const EVENT_MS = 25;
const DATA = 'x'.repeat(140);
const FIRST_ITEMS = 16;
const STEPS = 3;
const STEP_ITEMS = 1_024;
const DOWN_MS = 7_000;
const CONTACT_MS = 3_000;
const LAST_ITEMS = 16;
// The results of the first submission have to be kept for `statusS`, 120 s.
const END_S = 98;
const READ_TRIES = 3;
const BYTES_PER_MB = 1_000_000;

await runCase({}, async (deployment, hasTrouble) => {
  const { record, store } = deployment;
  let finished = 0;
  const addReplica = async (index: number): Promise<void> => {
    const replica = await deployment.addReplica(MODEL_SERVICE, {
      id: `i-model-${index}`,
      slots: 8,
      models: [MODEL],
      events: EVENTS,
      eventMs: EVENT_MS,
    });
    replica.record = () => undefined;
    replica.answer = async (run) => {
      replica.writeHead(run);
      for (let number = run.last + 1; number <= EVENTS; number += 1) {
        await sleep(EVENT_MS);
        run.res.write(`id: ${number}\ndata: ${DATA}\n\n`);
      }
      run.res.end();
      finished += 1;
    };
  };
  for (let index = 1; index <= REPLICAS; index += 1) await addReplica(index);
  const startedAt = Date.now();
  const programs = [
    await deployment.addProgram('edge-ba-1', 'ba'),
    await deployment.addProgram('edge-nadi-1', 'nadi'),
  ];
  const holder = await deployment.findHolder();
  const other = programs.find((program) => program !== holder)!;
  const send = async (program: Program, count: number): Promise<string> => {
    const id = randomUUID();
    const { status } = await submit(program.front, id, count, () => randomUUID());
    record(`${program.name} answers ${status} to submission ${id} of ${count} items`);
    return id;
  };
  const countListed = async (id: string): Promise<number> =>
    (await readAllResults(other.front, id)).length;

  const first = await send(holder, FIRST_ITEMS);
  const isFirstRead = await waitUntil(async () => {
    const { results = [] } = await readResults(holder.front, first, 0);
    return results.length === FIRST_ITEMS;
  }, 10_000);
  if (!isFirstRead) throw new Error('the first submission was not finished');
  record(`all ${FIRST_ITEMS} results of the first submission were read`);

  const steps: string[] = [];
  for (let step = 0; step < STEPS; step += 1) steps.push(await send(other, STEP_ITEMS));
  if (hasTrouble) {
    record('the store is down');
    store.isDown = true;
    await sleep(DOWN_MS);
    store.isDown = false;
    record(`the store is up again; replicas have finished ${finished} texts`);
  }
  await sleep(CONTACT_MS + 1_000);
  const last = await send(other, LAST_ITEMS);
  const logState = async (): Promise<void> => {
    const listed = await Promise.all([...steps, last].map(countListed));
    const texts = Math.round(store.countAppended('hibiscushill.texts') / BYTES_PER_MB);
    record(
      `finished: ${finished}, listed: ${listed.join(', ')}; ${texts} MB of texts were written`,
    );
  };
  while (Date.now() < startedAt + END_S * 1_000) {
    await logState();
    if (!hasTrouble && (await countListed(last)) === LAST_ITEMS) break;
    await sleep(4_000);
  }

  const breaks: string[] = [];
  for (const [index, id] of [...steps, last].entries()) {
    const listed = await countListed(id);
    const count = id === last ? LAST_ITEMS : STEP_ITEMS;
    if (listed < count) {
      breaks.push(`LOST: ${listed} of ${count} results of submission ${index + 1} can be read`);
    }
  }
  for (const { name, front } of programs) {
    const statuses: number[] = [];
    for (let tries = 0; tries < READ_TRIES && !statuses.includes(200); tries += 1) {
      statuses.push((await readResults(front, first, 0)).status);
      await sleep(300);
    }
    record(`${name} answers ${statuses.join(', ')} to reads of the first submission`);
    if (!statuses.includes(200)) {
      breaks.push(
        `LOST: results that had been read don't come again at ${name}: ${statuses.join()}`,
      );
    }
  }
  return breaks;
});
