import type { TargetId, WeightVersion } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { type EngineView, BalancedPlacement, type WaitingItem } from '../src/placement';
import { version } from './support';

function engine(id: string, changes: Partial<EngineView> = {}): EngineView {
  return {
    id: id as TargetId,
    running: 0,
    slots: 2,
    version: version(3),
    isLoading: false,
    msPerEvent: 35,
    isSpeedFresh: true,
    ...changes,
  };
}

function item(group: string, changes: Partial<WaitingItem> = {}): WaitingItem {
  return {
    group,
    leastVersion: version(2),
    requiredVersion: undefined,
    avoidedEngines: new Set(),
    ...changes,
  };
}

function place(items: readonly WaitingItem[], engines: readonly EngineView[]): string[] {
  return new BalancedPlacement()
    .place(items, engines)
    .map((one) => `${one.item.group}@${one.engine}`);
}

describe('the placement of items', () => {
  it('starts no more than the engines have slots for; the rest waits here', () => {
    const items = ['a', 'b', 'c', 'd', 'e'].map((group) => item(group));
    expect(place(items, [engine('x'), engine('y')])).toEqual(['a@x', 'b@y', 'c@x', 'd@y']);
  });

  it('sends the items of a group to the engine that has read their prompt', () => {
    const engines = [engine('x', { slots: 8 }), engine('y', { slots: 8 })];
    expect(place([item('a'), item('b'), item('a'), item('a')], engines)).toEqual([
      'a@x',
      'b@y',
      'a@x',
      'a@x',
    ]);
  });

  it('starts nothing under weights that are too old, or while they are changed', () => {
    const engines = [engine('x', { version: version(1) }), engine('y', { isLoading: true })];
    expect(place([item('a')], engines)).toEqual([]);
  });

  it('goes on with a text that must not mix versions under its own version only', () => {
    const engines = [engine('x', { version: version(4) }), engine('y')];
    const only = item('a', { requiredVersion: 3 as WeightVersion });
    expect(place([only], engines)).toEqual(['a@y']);
  });

  it('leaves a slow engine alone while the fast ones will soon have room', () => {
    const engines = [engine('x', { running: 2 }), engine('slow', { msPerEvent: 140 })];
    expect(place([item('a')], engines)).toEqual([]);
  });

  it('uses slow engines as well under a long backlog', () => {
    const items = Array.from({ length: 6 }, (_, index) => item(`g${index}`));
    const engines = [engine('x', { running: 2 }), engine('slow', { msPerEvent: 140 })];
    expect(place(items, engines)).toEqual(['g0@slow', 'g1@slow']);
  });

  it('tries an engine that was slow some time ago with one item', () => {
    const stale = engine('was-slow', { msPerEvent: 140, isSpeedFresh: false });
    const items = ['a', 'b', 'c', 'd'].map((group) => item(group));
    expect(place(items, [engine('x'), stale])).toEqual(['a@x', 'b@x', 'c@was-slow']);
  });

  it('avoids an engine that failed the item, unless it is the only one', () => {
    const avoid = new Set(['x' as TargetId]);
    expect(place([item('a', { avoidedEngines: avoid })], [engine('x'), engine('y')])).toEqual([
      'a@y',
    ]);
    expect(place([item('a', { avoidedEngines: avoid })], [engine('x')])).toEqual(['a@x']);
  });
});
