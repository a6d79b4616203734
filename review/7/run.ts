/**
 * A model replica that runs items of a batch submission is killed within an event of each. Checks
 * that no result is `complete` without the whole text.
 */
import {
  SystemNode,
  beginRecord,
  finish,
  hasTrouble,
  pause,
  record,
  send,
  waitFor,
  writeConfig,
} from '../case-2';
import { Cloud } from '../cloud-2';
import { EngineProcess } from '../engines-2';
import { Store } from '../store-2';
import { createText } from '../texts-2';

const EVENTS = 24;
const EVENT_INTERVAL_MS = 40;
const ITEMS = 12;
// The kill comes in the middle of the first runs.
const KILL_AFTER_MS = 450;
const SUBMISSION = '7c41e09b52d6a3f8';

interface Page {
  readonly total: number;
  readonly next: number;
  readonly results: readonly {
    readonly id: string;
    readonly state: string;
    readonly output: string;
  }[];
}

const store = new Store();
const cloud = new Cloud();
const node = new SystemNode('edge-ba-1');
const engines = [new EngineProcess('i-model-1', store), new EngineProcess('i-model-2', store)];

function createSubmission(): string {
  const items = Array.from({ length: ITEMS }, (_, index) => ({
    id: `e5b2907c14da6f${index + 10}`,
    path: `/pule252/3/${index}`,
    headers: { Model: 'daka510000', 'Token-Counts': '540,400' },
    body: Buffer.from(`prompt ${index}`).toString('base64'),
    tokens: 940,
    group: `g${Math.floor(index / 4)}`,
  }));
  return JSON.stringify({ step: 0, model: 'daka510000', minVersion: 1, desired: 3, items });
}

async function readResults(): Promise<Page['results']> {
  const results: Page['results'][number][] = [];
  await waitFor(
    'the end of all items',
    async () => {
      const path = `/-/lots/${SUBMISSION}?after=${results.length}`;
      const answer = await send(node.front, { method: 'GET', path, headers: { 'Wait-Ms': '500' } });
      if (answer.status !== 200) return false;
      const page = JSON.parse(answer.body) as Page;
      results.push(...page.results);
      return results.length >= page.total;
    },
    40_000,
  );
  return results;
}

beginRecord('Case 7: texts of a replica that is killed.');
await Promise.all([store.start(), cloud.start()]);
writeConfig(store);
await Promise.all(
  engines.map((engine) => engine.start('engine-text-2', [`${EVENTS}`, `${EVENT_INTERVAL_MS}`])),
);
await node.configure(store.address, cloud.address);
node.start();
await waitFor('the process ready', () => node.isReady());
// The holder of the duty runs items a while after its start.
await pause(4_000);
const accepted = await send(node.front, {
  method: 'POST',
  path: '/pule252/7c41e0',
  headers: { 'Attempt-Id': SUBMISSION, 'Content-Type': 'application/json' },
  body: createSubmission(),
});
record(`the submission of ${ITEMS} items is answered ${accepted.status}`);
if (accepted.status !== 202) finish(2, 'The case could not run: the submission was not accepted.');
await pause(KILL_AFTER_MS);
if (hasTrouble) engines[0]?.crash();
const results = await readResults();
const wrong = results.filter(({ id, state, output }) => {
  const whole = createText(id, EVENTS);
  const pieces = output === '' ? 0 : output.split('\n').length;
  record(`result ${id}: ${state}, ${pieces} of ${EVENTS} pieces`);
  return state === 'complete' && output !== whole;
});
if (wrong.length > 0) {
  finish(
    1,
    `MIXED is broken: ${wrong.length} of ${results.length} results are complete without the whole text.`,
  );
}
finish(0, 'MIXED held.');
