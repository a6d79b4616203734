/** Which engines take a new weight version, and when. */
import type { TargetId, WeightVersion } from '@hibiscushill/base';

import type { ModelId } from './serving-config';

/** How an engine treats streams that run when its weights change. */
export type ChangeMode = 'wait' | 'retain';

/** An engine and one model's weights on it. */
export interface WeightView {
  readonly engine: TargetId;
  readonly version: WeightVersion;
  readonly isLoading: boolean;
  /** Streams of the model that run there. */
  readonly running: number;
  /** Whether other engines have room for these streams. */
  readonly canMove: boolean;
  /** Whether it is slow at present or failed lately. */
  readonly isPoor: boolean;
}

/** A model, the version that it should have, and its engines. */
export interface ModelState {
  readonly model: ModelId;
  readonly named: WeightVersion;
  /** The oldest version that open submissions, or those that come next, may use. */
  readonly least: WeightVersion;
  /** Items that wait for an engine. */
  readonly waiting: number;
  /** Whether streams may go on under another version. */
  readonly mayMix: boolean;
  readonly engines: readonly WeightView[];
}

/** One engine's change to a version. */
export interface WeightChange {
  readonly engine: TargetId;
  readonly model: ModelId;
  readonly version: WeightVersion;
  readonly mode: ChangeMode;
  /** Whether the streams that run there are moved to other engines first. */
  readonly movesStreams: boolean;
}

/** Decides about weights. */
export abstract class WeightPlanner {
  /**
   * Decides for the present moment.
   *
   * @param models - all models of a service
   * @returns changes to order now
   */
  abstract plan(models: readonly ModelState[]): WeightChange[];
}

// A model that loses one engine must still have another.
const LEAST_HOMES = 2;
// More engines than this part loading at once slow one another down.
const LOADING_SHARE = 0.28;
const LEAST_LOADING = 2;

/**
 * Answers several trainers that each name a version every few seconds, where only as many loads
 * are free as one trainer's share of the engines: each model keeps to its share of the engines,
 * those that already have its newest weights. Engines that are too old for the next step load at
 * once, the others when no item waits; running streams are moved to engines with room, or else go
 * on under the new weights. An engine that is slow or fails gives its place to another.
 */
export class HomeWeights extends WeightPlanner {
  override plan(models: readonly ModelState[]): WeightChange[] {
    const load = new Map<TargetId, number>();
    const room = this.#countRoom(models);
    const wanted = models.flatMap((model) => this.#planModel(model, models.length, load));
    return wanted
      .sort((a, b) => Number(b.isUrgent) - Number(a.isUrgent))
      .slice(0, room)
      .map(({ change }) => change);
  }

  #planModel(
    model: ModelState,
    models: number,
    load: Map<TargetId, number>,
  ): { readonly change: WeightChange; readonly isUrgent: boolean }[] {
    const homes = pickHomes(model, models, load);
    return homes
      .filter((home) => home.version < model.named && !home.isLoading)
      .map((home) => ({ home, isUrgent: home.version < model.least }))
      .filter(({ home, isUrgent }) => isUrgent || (model.waiting === 0 && isFree(home)))
      .map(({ home, isUrgent }) => ({
        isUrgent,
        change: {
          engine: home.engine,
          model: model.model,
          version: model.named,
          mode: !isFree(home) && model.mayMix ? 'retain' : 'wait',
          movesStreams: home.running > 0 && home.canMove,
        },
      }));
  }

  #countRoom(models: readonly ModelState[]): number {
    const engines = models[0]?.engines.length ?? 0;
    const most = Math.max(LEAST_LOADING, Math.round(engines * LOADING_SHARE));
    const loading = models.flatMap((model) => model.engines.filter((one) => one.isLoading)).length;
    return Math.max(0, most - loading);
  }
}

function isFree({ running, canMove }: WeightView): boolean {
  return running === 0 || canMove;
}

/** Picks a model's engines: those with its newest weights, then those with the fewest models. */
function pickHomes(
  { engines }: ModelState,
  models: number,
  load: Map<TargetId, number>,
): WeightView[] {
  const count = Math.max(LEAST_HOMES, Math.ceil(engines.length / models));
  const homes = [...engines]
    .sort(
      (a, b) =>
        Number(a.isPoor) - Number(b.isPoor) ||
        b.version - a.version ||
        (load.get(a.engine) ?? 0) - (load.get(b.engine) ?? 0) ||
        a.engine.localeCompare(b.engine),
    )
    .slice(0, count);
  homes.forEach(({ engine }) => load.set(engine, (load.get(engine) ?? 0) + 1));
  return homes;
}
