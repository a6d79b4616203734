/** Measures placing waiting items and summarizing runs for many engines. */
import {
  ManualClock,
  type Millis,
  type ServiceId,
  type TargetId,
  type WeightVersion,
} from '@hibiscushill/base';

import { ConfigTracker } from '../src/config-tracker';
import { EngineTracker } from '../src/engine-tracker';
import type { EngineView, WaitingItem } from '../src/engine-view';
import type { ItemRun } from '../src/item-run';
import { BalancedPlacement } from '../src/placement';
import { RunTracker } from '../src/run-tracker';
import type { ModelId } from '../src/serving-config';
import { TargetDirectory } from '../src/target-directory';
import { SERVICE, createLimiter, createMetrics, createTarget } from '../test/support';
import { NaivePlacement } from '../test/naive-placement';

const ENGINE_COUNTS = [30, 100, 300, 1_000];
const ITEMS_PER_ENGINE = 5;
const ITEMS_PER_GROUP = 8;
const SLOTS = 6;
const ROUNDS = 20;
const MODEL = 'model-a' as ModelId;

interface Placing {
  place(
    items: readonly WaitingItem[],
    engines: readonly EngineView[],
    getWaitMs: () => Millis,
  ): unknown[];
}

/** Engines of two versions, half of whose slots are free. */
function createViews(count: number): EngineView[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `e${index}` as TargetId,
    running: index % SLOTS,
    slots: SLOTS,
    startsLeft: Infinity,
    version: (1 + (index % 2)) as WeightVersion,
    software: undefined,
    isLoading: false,
    msPerEvent: 30 + (index % 5),
    isSpeedFresh: true,
  }));
}

function createItems(count: number): WaitingItem[] {
  return Array.from({ length: count }, (_, index) => ({
    group: `g${Math.floor(index / ITEMS_PER_GROUP)}`,
    leastVersion: (1 + (index % 2)) as WeightVersion,
    requiredVersion: undefined,
    begun: undefined,
    avoidedEngines: new Set<TargetId>(),
  }));
}

/** Measures the mean time of a round, in milliseconds. */
function measure(run: () => void): Millis {
  run();
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) run();
  return (performance.now() - startedAt) / ROUNDS;
}

function measurePlacing(placing: Placing, engines: number): { ms: Millis; placed: number } {
  const views = createViews(engines);
  const items = createItems(engines * ITEMS_PER_ENGINE);
  let placed = 0;
  const ms = measure(() => {
    placed = placing.place(items, views, () => 0).length;
  });
  return { ms, placed };
}

function measureSummaries(engines: number): Millis {
  const clock = new ManualClock(1_000);
  const directory = new TargetDirectory({ clock, metrics: createMetrics() });
  const engineTracker = new EngineTracker(clock, directory);
  const config = new ConfigTracker({ clock, metrics: createMetrics(), withdrawnKeyMs: 5_000 });
  const tracker = new RunTracker(engineTracker, config, createLimiter(clock));
  for (let index = 0; index < engines; index += 1) {
    const engine = createTarget(`e${index}`, { slots: SLOTS });
    directory.recordRegistration(engine);
    for (let run = 0; run < index % SLOTS; run += 1) {
      const task = { leastVersion: 1 };
      tracker.add({ engine, model: MODEL, task } as unknown as ItemRun);
    }
  }
  const service: ServiceId = SERVICE;
  return measure(() => {
    tracker.summarizeRuns(service, MODEL);
  });
}

ENGINE_COUNTS.forEach((engines) => {
  const indexed = measurePlacing(new BalancedPlacement(), engines);
  const naive = measurePlacing(new NaivePlacement(), engines);
  const summaryMs = measureSummaries(engines);
  const perItemUs = (indexed.ms / indexed.placed) * 1_000;
  process.stdout.write(
    `${engines} engines, ${engines * ITEMS_PER_ENGINE} items, ${indexed.placed} placed: ` +
      `placing ${indexed.ms.toFixed(2)} ms (${perItemUs.toFixed(1)} us an item placed), ` +
      `plainly ${naive.ms.toFixed(2)} ms; summaries ${summaryMs.toFixed(2)} ms a model\n`,
  );
});
