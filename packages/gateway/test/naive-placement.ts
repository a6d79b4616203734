/** The placement written as plainly as possible, to which the indexed one is compared. */
import type { TargetId } from '@hibiscushill/base';

import { type EngineView, type WaitingItem, canRun, estimateLoad } from '../src/engine-view';
import {
  type GetWaitMs,
  type Placement,
  createRestart,
  findFastest,
  listEligible,
} from '../src/placement';

/** Considers every engine for each item. */
export class NaivePlacement {
  readonly #engineByGroup = new Map<string, TargetId>();

  place<T extends WaitingItem>(
    items: readonly T[],
    engines: readonly EngineView[],
    getWaitMs: GetWaitMs<T>,
  ): Placement<T>[] {
    const views = listEligible(items.length, engines);
    const fastest = findFastest(engines);
    const first = items.flatMap((item) => this.#placeAt(views, item, item));
    const isPlaced = (item: T): boolean => first.some((placed) => placed.item === item);
    const again = items
      .filter((item) => item.begun && !isPlaced(item))
      .flatMap((item) => {
        const wanted = createRestart(item, fastest, getWaitMs(item));
        return wanted ? this.#placeAt(views, item, wanted) : [];
      });
    return [...first, ...again];
  }

  #placeAt<T extends WaitingItem>(
    views: ReturnType<typeof listEligible>,
    item: T,
    wanted: WaitingItem,
  ): Placement<T>[] {
    const capable = views.filter((engine) => canRun(wanted, engine));
    const preferred = capable.filter((engine) => !item.avoidedEngines.has(engine.id));
    const candidates = preferred.length > 0 ? preferred : capable;
    const cachedAt = this.#engineByGroup.get(item.group);
    const cached = candidates.find((engine) => engine.id === cachedAt);
    const engine = cached ?? candidates.sort((a, b) => estimateLoad(a) - estimateLoad(b))[0];
    if (!engine) return [];
    engine.running += 1;
    engine.startsLeft -= 1;
    this.#engineByGroup.set(item.group, engine.id);
    return [{ item, engine: engine.id, beginsAgain: wanted !== item }];
  }
}
