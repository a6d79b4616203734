/**
 * An item fails at each run. The process that runs it is stopped, and the other one goes on. Checks
 * that the item doesn't reach a replica again after three times `maxAttempts` answers of 500.
 */
import {
  CONTACT_MS,
  SystemNode,
  beginRecord,
  finish,
  hasTrouble,
  pause,
  record,
  registerReplica,
  send,
  waitFor,
  writeConfig,
} from './case';
import { Cloud } from './cloud';
import { startFailingEngine } from './failing-engine';
import { Store } from './store';

const MAX_ATTEMPTS = 3;
const MAX_ANSWERS = 3 * MAX_ATTEMPTS;
const ITEM = 'e5b2907c14da6f38';
const SUBMISSION = '7c41e09b52d6a3f8';
const STOP_AFTER_ANSWERS = 4;
const OBSERVED_MS = 20_000;
const RESTART_MS = 300;

const store = new Store();
const cloud = new Cloud();
const nodes = [new SystemNode('edge-ba-1'), new SystemNode('edge-ba-2')];
let answers = 0;
let reachedAfter = 0;

const listener = {
  onReached: (engine: string): void => {
    record(`the item reaches ${engine} after ${answers} answers of 500`);
    if (answers >= MAX_ANSWERS) reachedAfter += 1;
  },
  onFailed: (engine: string): void => {
    answers += 1;
    record(`${engine} answers the item with 500`);
  },
};

function createSubmission(): string {
  const createItem = (id: string): unknown => ({
    id,
    path: `/pule252/3/${id}`,
    headers: { Model: 'daka510000', 'Token-Counts': '540,400' },
    body: Buffer.from('prompt').toString('base64'),
    tokens: 940,
    group: id,
  });
  const items = [ITEM, 'e5b2907c14da6f39', 'e5b2907c14da6f40'].map(createItem);
  return JSON.stringify({ step: 0, model: 'daka510000', minVersion: 1, desired: 3, items });
}

beginRecord('Case 10: an item that fails at each run.');
await Promise.all([store.start(), cloud.start()]);
writeConfig(store);
await Promise.all(
  ['i-model-1', 'i-model-2'].map(async (id) => {
    const address = await startFailingEngine(id, ITEM, listener);
    registerReplica(store, id, { service: 'models', address, isEngine: true });
  }),
);
await Promise.all(nodes.map((node) => node.configure(store.address, cloud.address)));
nodes.forEach((node) => node.start());
await Promise.all(nodes.map((node) => waitFor(`${node.name} ready`, () => node.isReady())));
await waitFor('a usage report', () => cloud.calls.length > 0);
await pause(CONTACT_MS);
const holder = nodes.find(({ name }) => name === cloud.calls.at(-1)?.holder);
const other = nodes.find((node) => node !== holder);
if (!holder || !other) finish(2, 'The case could not run: the holder is not known.');
record(`${holder.name} holds the duty`);
const accepted = await send(other.front, {
  method: 'POST',
  path: '/pule252/7c41e0',
  headers: { 'Attempt-Id': SUBMISSION, 'Content-Type': 'application/json' },
  body: createSubmission(),
});
record(`the submission is answered ${accepted.status}`);
if (accepted.status !== 202) finish(2, 'The case could not run: the submission was not accepted.');
await waitFor('the answers', () => answers >= STOP_AFTER_ANSWERS);
if (hasTrouble) void holder.stopAndRestart(RESTART_MS);
await pause(OBSERVED_MS);
const page = await send(other.front, { method: 'GET', path: `/-/lots/${SUBMISSION}?after=0` });
record(`results: ${page.status} ${page.body}`);
if (reachedAfter > 0) {
  finish(
    1,
    `BUDGET is broken: the item reached a replica ${reachedAfter} times after ${MAX_ANSWERS} answers of 500.`,
  );
}
finish(0, `BUDGET held: ${answers} answers of 500.`);
