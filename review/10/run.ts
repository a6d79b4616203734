/**
 * The operator adds a public route for batch submissions. A trainer submits a step there, with a key
 * of its tenant in all its calls. Checks that no process answers 404 or 410 for an accepted one.
 */
import {
  SystemNode,
  beginRecord,
  finish,
  hasTrouble,
  now,
  pause,
  record,
  registerReplica,
  send,
  waitFor,
  writeConfig,
} from '../case-2';
import { Cloud } from '../cloud-2';
import { type EngineRun, startSlowEngine } from '../slow-engine-2';
import { Store } from '../store-2';

const EVENTS = 40;
const EVENT_INTERVAL_MS = 50;
const CONFIG_APPLY_MS = 2_000;
const SETTLE_MS = 1_000;
// An item is read about when it has run half of its time.
const OBSERVED_MS = 6_000;
const READ_INTERVAL_MS = 500;
const SUBMISSION = '7c41e09b52d6a3f8';
const ITEMS = ['e5b2907c14da6f38', 'e5b2907c14da6f39', 'e5b2907c14da6f40'];
// The route that the version adds, and the one that is there from the start.
const PREFIX = hasTrouble ? '/hima77/' : '/pule252/';

const store = new Store();
const cloud = new Cloud();
const nodes = [new SystemNode('edge-ba-1'), new SystemNode('edge-ba-2')];
const runs: EngineRun[] = [];
const wrong: string[] = [];

function createSubmission(): string {
  const items = ITEMS.map((id) => ({
    id,
    path: `${PREFIX}3/${id}`,
    headers: { Model: 'daka510000', 'Token-Counts': '540,400' },
    body: Buffer.from(`prompt of ${id}`).toString('base64'),
    tokens: 940,
    group: id,
  }));
  return JSON.stringify({ step: 0, model: 'daka510000', minVersion: 1, desired: 3, items });
}

async function call(node: SystemNode, method: string, path: string): Promise<void> {
  const { status, body } = await send(node.front, { method, path });
  record(`${method} ${path} at ${node.name}: ${status} ${body.slice(0, 90)}`);
  if (method === 'GET' && (status === 404 || status === 410)) wrong.push(`${path}: ${status}`);
}

beginRecord('Case 10: a batch submission on a public route.');
await Promise.all([store.start(), cloud.start()]);
writeConfig(store);
for (const id of ['i-model-1', 'i-model-2']) {
  const address = await startSlowEngine(id, {
    countEvents: () => EVENTS,
    intervalMs: EVENT_INTERVAL_MS,
    runs,
  });
  registerReplica(store, id, { service: 'models', address, isEngine: true });
}
await Promise.all(nodes.map((node) => node.configure(store.address, cloud.address)));
nodes.forEach((node) => node.start());
await Promise.all(nodes.map((node) => waitFor(`${node.name} ready`, () => node.isReady())));
await waitFor('a usage report', () => cloud.calls.length > 0);
if (hasTrouble) {
  writeConfig(store, { version: 2, hasPublicRoute: true });
  record('version 2 of the configuration adds a public route');
}
await pause(2 * CONFIG_APPLY_MS);
const [first, second] = nodes as [SystemNode, SystemNode];
const accepted = await send(first.front, {
  method: 'POST',
  path: `${PREFIX}7c41e0`,
  headers: { 'Attempt-Id': SUBMISSION, 'Content-Type': 'application/json' },
  body: createSubmission(),
});
record(`the submission is answered ${accepted.status}`);
if (accepted.status !== 202) finish(2, 'The case could not run: the submission was not accepted.');
const acceptedAt = now();
await pause(SETTLE_MS + READ_INTERVAL_MS);
await Promise.all(nodes.map((node) => call(node, 'GET', `/-/items/${SUBMISSION}?id=${ITEMS[0]}`)));
while (now() < acceptedAt + OBSERVED_MS) {
  await Promise.all(nodes.map((node) => call(node, 'GET', `/-/lots/${SUBMISSION}?after=0`)));
  await pause(READ_INTERVAL_MS);
}
await call(second, 'DELETE', `/-/lots/${SUBMISSION}`);
record(`${runs.length} runs of its items began at replicas`);
if (wrong.length > 0) {
  finish(1, `LOST is broken: ${wrong.length} reads of an accepted submission were answered 404.`);
}
finish(0, 'LOST held.');
