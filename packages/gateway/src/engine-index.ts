/** Finds the least loaded of many engines for one item after another. */
import type { SoftwareVersion, TargetId, WeightVersion } from '@hibiscushill/base';
import TinyQueue from 'tinyqueue';

import {
  type MutableEngineView,
  type WaitingItem,
  canRun,
  countFreeSlots,
  estimateLoad,
  mayGoOnAt,
} from './engine-view';

/** An engine in a queue, with the load that it had when it was queued. */
interface QueuedEngine {
  readonly engine: MutableEngineView;
  /** The engine's place in the list, which decides between equal loads. */
  readonly position: number;
  readonly load: number;
}

/** The engines of one weight version and one software version. */
interface EngineQueue {
  readonly version: WeightVersion;
  readonly software: SoftwareVersion | undefined;
  readonly engines: TinyQueue<QueuedEngine>;
}

/**
 * The engines with free slots, by versions and load. Taking a slot costs time in the logarithm of the
 * number of engines.
 */
export class EngineIndex {
  readonly #engines = new Map<TargetId, MutableEngineView>();

  readonly #queues = new Map<string, EngineQueue>();

  #freeSlots = 0;

  /** @param engines - the engines; their numbers of runs grow as slots are taken */
  constructor(engines: readonly MutableEngineView[]) {
    engines.forEach((engine, position) => {
      const freeSlots = countFreeSlots(engine);
      if (engine.isLoading || freeSlots === 0) return;
      this.#engines.set(engine.id, engine);
      this.#freeSlots += freeSlots;
      this.#getQueue(engine).push({ engine, position, load: estimateLoad(engine) });
    });
  }

  /** Whether no engine has a free slot. */
  get isFull(): boolean {
    return this.#freeSlots === 0;
  }

  /**
   * Takes a slot for an item: at the preferred engine if it can run the item, else at the least
   * loaded one. Engines that the item avoids are used only if no other can run it.
   *
   * @param item - the item
   * @param preferred - the engine that has the prompt of the item's group in its cache
   * @returns the engine; undefined if none can run the item
   */
  take(item: WaitingItem, preferred: TargetId | undefined): MutableEngineView | undefined {
    const cached = preferred === undefined ? undefined : this.#engines.get(preferred);
    const canRunAtCached = cached !== undefined && canRun(item, cached);
    if (canRunAtCached && !item.avoidedEngines.has(cached.id)) return this.#occupy(cached);
    const best = this.#findLeastLoaded(item, (id) => !item.avoidedEngines.has(id));
    if (best) return this.#occupy(best);
    if (canRunAtCached) return this.#occupy(cached);
    const avoided = this.#findLeastLoaded(item, () => true);
    return avoided && this.#occupy(avoided);
  }

  #getQueue({ version, software }: MutableEngineView): TinyQueue<QueuedEngine> {
    const key = `${version} ${software ?? ''}`;
    const queue = this.#queues.get(key) ?? {
      version,
      software,
      engines: new TinyQueue<QueuedEngine>([], compareEngines),
    };
    this.#queues.set(key, queue);
    return queue.engines;
  }

  #occupy(engine: MutableEngineView): MutableEngineView {
    const occupied = engine;
    occupied.running += 1;
    occupied.startsLeft -= 1;
    this.#freeSlots -= 1;
    return occupied;
  }

  #findLeastLoaded(
    item: WaitingItem,
    isAllowed: (engine: TargetId) => boolean,
  ): MutableEngineView | undefined {
    const { requiredVersion, leastVersion } = item;
    const best = [...this.#queues.values()]
      .filter(({ version }) =>
        requiredVersion === undefined ? version >= leastVersion : version === requiredVersion,
      )
      .filter(({ software }) => mayGoOnAt(item, software))
      .map(({ engines }) => findFirst(engines, isAllowed))
      .filter((first) => first !== undefined)
      .sort(compareEngines)[0];
    return best?.engine;
  }
}

/** Finds the least loaded engine of a queue that is allowed, and brings outdated loads up to date. */
function findFirst(
  queue: TinyQueue<QueuedEngine>,
  isAllowed: (engine: TargetId) => boolean,
): QueuedEngine | undefined {
  const skipped: QueuedEngine[] = [];
  let found: QueuedEngine | undefined;
  while (found === undefined && queue.length > 0) {
    const first = queue.pop()!;
    const load = estimateLoad(first.engine);
    if (countFreeSlots(first.engine) === 0) continue;
    // Loads only grow, so that an engine with an outdated one belongs further back.
    if (load !== first.load) queue.push({ ...first, load });
    else if (isAllowed(first.engine.id)) found = first;
    else skipped.push(first);
  }
  skipped.forEach((engine) => queue.push(engine));
  if (found) queue.push(found);
  return found;
}

function compareEngines(a: QueuedEngine, b: QueuedEngine): number {
  return a.load - b.load || a.position - b.position;
}
