import type { TargetId } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import type { ModelId } from '../src/serving-config';
import {
  PartitionedWeightPlanner,
  type ModelState,
  type EngineWeights,
} from '../src/weight-planner';
import { version } from './support';

function engine(id: string, number: number, changes: Partial<EngineWeights> = {}): EngineWeights {
  return {
    id: id as TargetId,
    version: version(number),
    isLoading: false,
    running: 0,
    canMoveRuns: false,
    isDegraded: false,
    ...changes,
  };
}

function model(
  name: string,
  publishedVersion: number,
  engines: readonly EngineWeights[],
  changes: Partial<ModelState> = {},
): ModelState {
  return {
    model: name as ModelId,
    publishedVersion: version(publishedVersion),
    leastVersion: version(publishedVersion - 1),
    waitingItems: 0,
    allowsMixedVersions: true,
    engines,
    ...changes,
  };
}

function plan(...models: ModelState[]): string[] {
  return new PartitionedWeightPlanner()
    .plan(models)
    .map((one) => `${one.model}:${one.engine}->${one.version} ${one.mode}`);
}

describe('the plan of weight changes', () => {
  it('loads engines whose weights are too old for the next step at once, before the others', () => {
    const engines = [engine('x', 3), engine('y', 2), engine('z', 3)];
    expect(plan(model('a', 4, engines, { waitingItems: 5 }))).toEqual(['a:y->4 wait']);
  });

  it('loads the other engines only when no item waits and none runs there', () => {
    const engines = [engine('x', 3), engine('y', 3, { running: 1 })];
    expect(plan(model('a', 4, engines, { waitingItems: 1 }))).toEqual([]);
    expect(plan(model('a', 4, engines))).toEqual(['a:x->4 wait']);
  });

  it('moves runs to other engines that have free slots', () => {
    const engines = [engine('x', 3, { running: 2, canMoveRuns: true })];
    const [change] = new PartitionedWeightPlanner().plan([model('a', 4, engines)]);
    expect(change).toMatchObject({ engine: 'x', mode: 'wait', keepsRuns: false });
  });

  it('replaces a slow or failing engine with another', () => {
    const engines = [engine('u', 3, { isDegraded: true }), engine('v', 3), engine('w', 1)];
    const other = model(
      'b',
      1,
      engines.map((one) => ({ ...one, version: version(1) })),
    );
    expect(plan(model('a', 4, engines, { waitingItems: 5 }), other)).toEqual(['a:w->4 wait']);
  });

  it('lets runs go on under the new version unless they must not mix versions', () => {
    const engines = [engine('x', 1, { running: 2 })];
    expect(plan(model('a', 4, engines))).toEqual(['a:x->4 retain']);
    expect(plan(model('a', 4, engines, { allowsMixedVersions: false }))).toEqual(['a:x->4 wait']);
  });

  it('loads only a few engines at a time', () => {
    const engines = ['u', 'v', 'w', 'x', 'y', 'z'].map((id) => engine(id, 1));
    expect(plan(model('a', 4, engines))).toHaveLength(2);
    const loading = engines.map((one) => ({ ...one, isLoading: one.id < 'w' }));
    expect(plan(model('a', 4, loading))).toEqual([]);
  });

  it('assigns each of several models a share of the engines, those that have its weights', () => {
    const engines = ['u', 'v', 'w', 'x'];
    const a = model(
      'a',
      2,
      engines.map((id) => engine(id, id >= 'w' ? 2 : 1)),
    );
    const b = model(
      'b',
      3,
      engines.map((id) => engine(id, 1)),
      { leastVersion: version(2) },
    );
    expect(plan(a, b)).toEqual(['b:u->3 wait', 'b:v->3 wait']);
  });
});
