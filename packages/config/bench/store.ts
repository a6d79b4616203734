/** The size of offers, the memory of a store and its processor time, by number of keys or teams. */
import { SystemClock } from '@hibiscushill/base';
import { toUndefined } from 'fp-ts/Option';

import { ConfigStore, ConfigView, Declarations, checkKey, createKey } from '../src';
import { type Size, createChange, createDeclarations, fitLine, printLine } from './support';

const KEY_COUNTS = [250, 500, 1_000, 2_000];
const TEAM_COUNTS = [25, 50, 100, 200];
const STORE_COUNT = 64;
const CHECK_COUNT = 200_000;
const CHANGE_COUNT = 20;

function createStore(size: Size): ConfigStore {
  const store = new ConfigStore({ clock: new SystemClock() });
  const payload = JSON.stringify(createDeclarations(size));
  store.apply(createChange(0, -1, JSON.parse(payload)));
  return store;
}

function measureOffer(size: Size): { whole: number; delta: number } {
  const store = createStore(size);
  store.apply(createChange(1, 0, createDeclarations(size, 2)));
  return {
    whole: toUndefined(store.createOffer(-1))?.length ?? 0,
    delta: toUndefined(store.createOffer(0))?.length ?? 0,
  };
}

function heapUsed(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureMemory(size: Size): number {
  const before = heapUsed();
  const stores = Array.from({ length: STORE_COUNT }, () => createStore(size));
  const bytes = (heapUsed() - before) / STORE_COUNT;
  if (stores.length !== STORE_COUNT) throw new Error('unreachable');
  return bytes;
}

function measureCpuMicros(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

function measureChange(size: Size): number {
  const store = createStore(size);
  const payloads = Array.from({ length: CHANGE_COUNT }, (_, index) =>
    createDeclarations(size, index + 2),
  );
  const micros = measureCpuMicros(() => {
    payloads.forEach((payload, index) => store.apply(createChange(index + 1, index, payload)));
  });
  return micros / CHANGE_COUNT / 1_000;
}

function measureCheck(keys: number): number {
  const key = createKey();
  const declared = createDeclarations({ teams: 10, keys: keys - 1 });
  const checkedKey = { id: key.id, team: 'team-0', hash: key.hash };
  const view = new ConfigView(
    0 as never,
    Declarations.parse({ ...declared, keys: [...declared.keys, checkedKey] }),
  );
  const header = `Bearer ${key.token}`;
  const run = (): void => {
    for (let count = 0; count < CHECK_COUNT; count += 1) checkKey(view, header);
  };
  run();
  return measureCpuMicros(run) / CHECK_COUNT;
}

function printSeries(name: string, points: readonly (readonly [number, number])[]): void {
  const [slope, start] = fitLine(points);
  const values = points.map(([x, y]) => `${x}: ${y.toFixed(2)}`).join(', ');
  printLine(`${name}: ${values}; slope ${slope.toFixed(4)}, at zero ${start.toFixed(2)}`);
}

const byKeys = (measure: (size: Size) => number): [number, number][] =>
  KEY_COUNTS.map((keys) => [keys, measure({ teams: 10, keys })]);
const byTeams = (measure: (size: Size) => number): [number, number][] =>
  TEAM_COUNTS.map((teams) => [teams, measure({ teams, keys: 250 })]);

// Warm-up, so that the first measurement doesn't include compilation.
measureMemory({ teams: 10, keys: 500 });

printSeries(
  'whole offer, bytes by keys',
  byKeys((size) => measureOffer(size).whole),
);
printSeries(
  'whole offer, bytes by teams',
  byTeams((size) => measureOffer(size).whole),
);
printSeries(
  'offer of one change, bytes by keys',
  byKeys((size) => measureOffer(size).delta),
);
printSeries('heap of a store, bytes by keys', byKeys(measureMemory));
printSeries('processor time of a change, ms by keys', byKeys(measureChange));
printSeries(
  'processor time of checkKey, us by keys',
  KEY_COUNTS.map((keys): [number, number] => [keys, measureCheck(keys)]),
);
