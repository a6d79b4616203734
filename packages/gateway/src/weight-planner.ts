/** The policy for which engines load a new weight version, and when. */
import type { TargetId, WeightVersion } from '@hibiscushill/base';

import type { ModelId } from './serving-config';

/**
 * How an engine changes its weights while streams are running: `wait` until they have ended, or
 * `retain` them and go on under the new weights.
 */
export type WeightChangeMode = 'wait' | 'retain';

/** The state of one model's weights at an engine. */
export interface EngineWeights {
  readonly id: TargetId;
  readonly version: WeightVersion;
  readonly isLoading: boolean;
  /** Runs of the model in progress there. */
  readonly running: number;
  /** Whether other engines have free slots for all of these runs. */
  readonly canMoveRuns: boolean;
  /** Whether the engine is slow now or is left out after failures. */
  readonly isDegraded: boolean;
}

/** A model, the version that its engines should have, and the engines. */
export interface ModelState {
  readonly model: ModelId;
  /** The newest version that the model's trainer has published. */
  readonly publishedVersion: WeightVersion;
  /** The oldest version that suits all open submissions and the next one. */
  readonly leastVersion: WeightVersion;
  /** Items that wait for an engine. */
  readonly waitingItems: number;
  /** Whether a running stream may go on under another version. */
  readonly allowsMixedVersions: boolean;
  readonly engines: readonly EngineWeights[];
}

/** A change of one model's weights at one engine. */
export interface WeightChange {
  readonly engine: TargetId;
  readonly model: ModelId;
  readonly version: WeightVersion;
  readonly mode: WeightChangeMode;
  /**
   * Whether the model's runs there go on during the change; otherwise they are moved to other
   * engines first.
   */
  readonly keepsRuns: boolean;
}

/** A policy for changes of weights. */
export abstract class WeightPlanner {
  /**
   * Plans the changes to order now.
   *
   * @param models - all models of a service
   * @returns the changes, the most urgent first
   */
  abstract plan(models: readonly ModelState[]): WeightChange[];
}

// A model that loses one engine still has another.
const MIN_ENGINES_PER_MODEL = 2;
// Engines that load at the same time slow one another down beyond this fraction of all engines.
const MAX_LOADING_FRACTION = 0.28;
const MIN_LOADING_LIMIT = 2;

/**
 * Divides the engines among a service's models. Several trainers publish a version every
 * few seconds, but only about as many engines can load at a time as are assigned to one model, so
 * that not every engine can load every version.
 *
 * A model is assigned the engines that already have its newest weights, and no slow or failing ones
 * if others are left. Those whose version is too old for the next submission load at once, the
 * others when no item waits. Runs are moved to engines with free slots, or else go on under the new
 * weights if the model allows that.
 */
export class PartitionedWeightPlanner extends WeightPlanner {
  override plan(models: readonly ModelState[]): WeightChange[] {
    const modelsByEngine = new Map<TargetId, number>();
    const freeLoads = this.#countFreeLoads(models);
    const planned = models.flatMap((model) =>
      this.#planModel(model, models.length, modelsByEngine),
    );
    return planned
      .sort((a, b) => Number(b.isUrgent) - Number(a.isUrgent))
      .slice(0, freeLoads)
      .map(({ change }) => change);
  }

  #planModel(
    model: ModelState,
    models: number,
    modelsByEngine: Map<TargetId, number>,
  ): { readonly change: WeightChange; readonly isUrgent: boolean }[] {
    const engines = assignEngines(model, models, modelsByEngine);
    return engines
      .filter((engine) => engine.version < model.publishedVersion && !engine.isLoading)
      .map((engine) => ({ engine, isUrgent: engine.version < model.leastVersion }))
      .filter(
        ({ engine, isUrgent }) =>
          isUrgent || (model.waitingItems === 0 && canLoadWithoutInterrupting(engine)),
      )
      .map(({ engine, isUrgent }) => {
        const keepsRuns = !canLoadWithoutInterrupting(engine);
        return {
          isUrgent,
          change: {
            engine: engine.id,
            model: model.model,
            version: model.publishedVersion,
            mode: keepsRuns && model.allowsMixedVersions ? 'retain' : 'wait',
            keepsRuns,
          },
        };
      });
  }

  #countFreeLoads(models: readonly ModelState[]): number {
    const engines = models[0]?.engines.length ?? 0;
    const maxLoading = Math.max(MIN_LOADING_LIMIT, Math.round(engines * MAX_LOADING_FRACTION));
    const loading = models.flatMap((model) => model.engines.filter((one) => one.isLoading)).length;
    return Math.max(0, maxLoading - loading);
  }
}

/** Tells whether the model has no runs at an engine, or other engines can take them over. */
function canLoadWithoutInterrupting({ running, canMoveRuns }: EngineWeights): boolean {
  return running === 0 || canMoveRuns;
}

/**
 * Assigns a model its share of the engines: healthy ones first, then those with its newest weights,
 * then those with the fewest models assigned.
 *
 * @param models - how many models share the engines
 * @param modelsByEngine - how many models each engine was assigned; updated
 */
function assignEngines(
  { engines }: ModelState,
  models: number,
  modelsByEngine: Map<TargetId, number>,
): EngineWeights[] {
  const count = Math.max(MIN_ENGINES_PER_MODEL, Math.ceil(engines.length / models));
  const assigned = [...engines]
    .sort(
      (a, b) =>
        Number(a.isDegraded) - Number(b.isDegraded) ||
        b.version - a.version ||
        (modelsByEngine.get(a.id) ?? 0) - (modelsByEngine.get(b.id) ?? 0) ||
        a.id.localeCompare(b.id),
    )
    .slice(0, count);
  assigned.forEach(({ id }) => modelsByEngine.set(id, (modelsByEngine.get(id) ?? 0) + 1));
  return assigned;
}
