import { type ConfigVersion, ManualClock, type MonoTime, type Offset } from '@hibiscushill/base';
import { isNone, toUndefined } from 'fp-ts/Option';
import { describe, expect, it } from 'vitest';

import { ConfigStore } from '../src';
import { createChange, createRecord, createDeclarations, createSnapshot } from './fixtures';

function createStore(): ConfigStore {
  return new ConfigStore({ clock: new ManualClock() });
}

function requestsOf(store: ConfigStore): number | undefined {
  return toUndefined(store.view)?.declarations.teams[0]?.bounds.requestsPerSecond;
}

describe('the acceptance rule', () => {
  it('accepts a change of the current version and refuses the second one of the same version', () => {
    const store = createStore();
    store.apply(createChange(0, -1));
    const first = store.apply(createChange(1, 0));
    const second = store.apply(createChange(2, 0));
    expect(first[0]?.effect).toEqual({ type: 'accepted', version: 1 });
    expect(second[0]?.effect).toEqual({ type: 'conflict', winner: 1 });
    expect(store.version).toBe(1);
  });

  it('refuses an invalid change and a repeated one', () => {
    const store = createStore();
    store.apply(createChange(0, -1));
    const invalid = store.apply(createChange(1, 0, { teams: [{ name: 'x' }] }));
    expect(invalid[0]?.effect.type).toBe('invalid');
    const malformed = store.apply(createRecord(2, 'config.change', { base: 0 }));
    expect(malformed[0]?.effect.type).toBe('invalid');
    const repeated = store.apply({ ...createChange(0, -1), offset: 3 as Offset });
    expect(repeated[0]?.effect).toEqual({ type: 'conflict', winner: 0 });
  });

  it('never lowers the version for a stale or forged snapshot', () => {
    const store = createStore();
    store.apply(createChange(0, -1, createDeclarations(7)));
    store.apply(createChange(1, 0, createDeclarations(8)));
    store.apply(createSnapshot(2, 0, 0, createDeclarations(7)));
    store.apply(createSnapshot(3, 2, 2, createDeclarations(9)));
    store.apply(createSnapshot(4, 1, 1, createDeclarations(9)));
    expect([store.version, requestsOf(store)]).toEqual([1, 8]);
  });

  it('knows no configuration on a trimmed log without a snapshot', () => {
    const store = createStore();
    store.seek(5 as Offset);
    store.apply(createChange(5, -1));
    store.apply(createChange(6, 4));
    expect(isNone(store.view)).toBe(true);
    expect(store.isAttached).toBe(false);
  });

  it('uses a snapshot only if it has read every record since the snapshot was made', () => {
    const store = createStore();
    store.seek(5 as Offset);
    store.apply(createSnapshot(5, 2, 3, createDeclarations(3)));
    expect(store.version).toBe(-1);
    store.apply(createChange(6, 4, createDeclarations(4)));
    store.apply(createChange(7, 4, createDeclarations(5)));
    const applied = store.apply(createSnapshot(8, 4, 4, createDeclarations(2)));
    expect(applied.map((entry) => entry.effect.type)).toEqual([
      'ignored',
      'accepted',
      'conflict',
      'ignored',
    ]);
    expect([store.version, requestsOf(store)]).toEqual([6, 4]);
  });

  it('infers the effects of covered changes from the bases that lead to the snapshot', () => {
    const store = createStore();
    store.seek(5 as Offset);
    store.apply(createChange(5, 3));
    store.apply(createChange(6, 3));
    store.apply(createChange(7, 5));
    const applied = store.apply(createSnapshot(8, 7, 7, createDeclarations(8)));
    expect(applied.map((entry) => entry.effect.type)).toEqual([
      'accepted',
      'conflict',
      'accepted',
      'snapshot',
    ]);
  });

  it('keeps its version and applies no changes when records were trimmed before it read them', () => {
    const store = createStore();
    store.apply(createChange(0, -1, createDeclarations(1)));
    store.seek(9 as Offset);
    store.apply(createChange(9, 0, createDeclarations(2)));
    expect([store.version, store.isAttached]).toEqual([0, false]);
    store.apply(createSnapshot(10, 7, 8, createDeclarations(3)));
    expect([store.version, requestsOf(store)]).toEqual([7, 3]);
  });
});

describe('offers between processes', () => {
  function createPair(): [ConfigStore, ConfigStore] {
    const ahead = createStore();
    const behind = createStore();
    const first = createChange(0, -1, createDeclarations(1, ['k1', 'k2']));
    [ahead, behind].forEach((store) => store.apply(first));
    ahead.apply(createChange(1, 0, createDeclarations(1, ['k2', 'k3'])));
    ahead.apply(createChange(2, 1, createDeclarations(5, ['k2', 'k3', 'k4'])));
    return [ahead, behind];
  }

  it('offers deltas to a process that is few versions behind and the full state to others', () => {
    const [ahead, behind] = createPair();
    const text = (have: number) => Buffer.from(toUndefined(ahead.createOffer(have))!).toString();
    expect(text(-1)).toContain('"state"');
    expect(ahead.createOffer(2)).toEqual(behind.createOffer(0));
    expect(behind.applyOffer(toUndefined(ahead.createOffer(0))!)._unsafeUnwrap()).toBe(true);
    expect(behind.state).toEqual(ahead.state);
    const newStore = createStore();
    expect(newStore.applyOffer(Buffer.from(text(-1)))._unsafeUnwrap()).toBe(true);
    expect(newStore.state).toEqual(ahead.state);
  });

  it('offers deltas where they are smaller', () => {
    const keys = Array.from({ length: 50 }, (_, index) => `k${index}`);
    const store = createStore();
    store.apply(createChange(0, -1, createDeclarations(1, keys)));
    store.apply(createChange(1, 0, createDeclarations(1, keys.slice(1))));
    const bytes = toUndefined(store.createOffer(0))!;
    expect(JSON.parse(Buffer.from(bytes).toString())).toEqual({
      version: 1,
      asOf: 1,
      digest: expect.any(String),
      from: 0,
      deltas: [{ set: {}, drop: { keys: ['k0'] } }],
    });
  });

  it('never lowers the version, and ignores the records that an offer covers', () => {
    const [ahead, behind] = createPair();
    const oldOffer = toUndefined(behind.createOffer(-1))!;
    expect(ahead.applyOffer(oldOffer)._unsafeUnwrap()).toBe(false);
    behind.applyOffer(toUndefined(ahead.createOffer(0))!);
    expect(behind.apply(createChange(1, 0))).toEqual([]);
    expect(behind.apply(createChange(3, 2))[0]?.effect.type).toBe('accepted');
  });

  it('refuses an invalid offer, one with another digest, and one that the log contradicts', () => {
    const [ahead, behind] = createPair();
    const offer = JSON.parse(Buffer.from(toUndefined(ahead.createOffer(-1))!).toString());
    const applyWith = (changes: object) =>
      behind.applyOffer(Buffer.from(JSON.stringify({ ...offer, ...changes })));
    expect(applyWith({ digest: 'x' })._unsafeUnwrapErr().code).toBe('config_invalid');
    expect(applyWith({ asOf: 1 })._unsafeUnwrapErr().detail).toContain(
      'asOf is lower than the offered version',
    );
    expect(behind.applyOffer(Buffer.from('{'))._unsafeUnwrapErr().detail).toContain('not JSON');
    behind.apply(createChange(1, 7));
    behind.apply(createChange(2, 7));
    expect(applyWith({})._unsafeUnwrapErr().detail).toContain('contains no such version');
    expect(behind.version).toBe(0);
  });
});

describe('freshness', () => {
  it('is lost by a pause and returns with a confirmation that was requested afterwards', () => {
    const clock = new ManualClock(100);
    const store = new ConfigStore({ clock });
    expect(store.isFresh(1_000)).toBe(false);
    store.apply(createChange(0, -1));
    expect(store.confirm(0, clock.mono())).toBe(true);
    expect(store.isFresh(1_000)).toBe(true);
    const requestedAt = clock.mono();
    clock.advance(60_000);
    expect(store.confirm(0, requestedAt)).toBe(true);
    expect(store.isFresh(1_000)).toBe(false);
    store.confirm(0, clock.mono());
    expect(store.isFresh(1_000)).toBe(true);
  });

  it('is not confirmed by another version or before a configuration is known', () => {
    const store = createStore();
    expect(store.confirm(-1 as ConfigVersion, 0 as MonoTime)).toBe(false);
    store.apply(createChange(0, -1));
    expect(store.confirm(3, 0 as MonoTime)).toBe(false);
    expect(store.confirmedAt).toBeUndefined();
  });
});
