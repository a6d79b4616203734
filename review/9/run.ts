/**
 * A model replica that runs streams is killed within an event of each. Checks that no stream ends as
 * complete before its last piece.
 */
import {
  SystemNode,
  beginRecord,
  finish,
  hasTrouble,
  pause,
  receive,
  record,
  waitFor,
  writeConfig,
} from '../case-2';
import { Cloud } from '../cloud-2';
import { EngineProcess } from '../engines-2';
import { Store } from '../store-2';
import { createEvent } from '../texts-2';

const EVENTS = 24;
const EVENT_INTERVAL_MS = 40;
const STREAMS = 8;
// The kill comes in the middle of the streams.
const KILL_AFTER_MS = 450;

const store = new Store();
const cloud = new Cloud();
const node = new SystemNode('edge-ba-1');
const engines = [new EngineProcess('i-model-1', store), new EngineProcess('i-model-2', store)];

function createWhole(attempt: string): string {
  return Array.from({ length: EVENTS }, (_, index) => createEvent(attempt, index + 1)).join('');
}

beginRecord('Case 9: streams of a replica that is killed.');
await Promise.all([store.start(), cloud.start()]);
writeConfig(store);
await Promise.all(
  engines.map((engine) => engine.start('engine-text-2', [`${EVENTS}`, `${EVENT_INTERVAL_MS}`])),
);
await node.configure(store.address, cloud.address);
node.start();
await waitFor('the process ready', () => node.isReady());
await pause(1_000);
const attempts = Array.from({ length: STREAMS }, (_, index) => `9c41d07be2a35f${index + 10}`);
const received = attempts.map((attempt) =>
  receive(node.front, {
    method: 'POST',
    path: '/sire11/2f',
    headers: {
      'Attempt-Id': attempt,
      'Deadline-Ms': '8000',
      Model: 'daka510000',
      'Token-Counts': '540,400',
    },
    body: 'prompt',
  }),
);
await pause(KILL_AFTER_MS);
if (hasTrouble) engines[0]?.crash();
const streams = await Promise.all(received);
const wrong = streams.filter(({ status, body, isComplete }, index) => {
  const attempt = attempts[index] ?? '';
  const pieces = body.split('\n\n').length - 1;
  const end = isComplete ? 'ends as complete' : 'is broken off';
  record(`stream ${attempt}: status ${status}, ${pieces} of ${EVENTS} events, ${end}`);
  return status === 200 && isComplete && body !== createWhole(attempt);
});
if (wrong.length > 0) {
  finish(
    1,
    `ORDER is broken: ${wrong.length} of ${streams.length} streams end as complete before their last piece.`,
  );
}
finish(0, 'ORDER held.');
