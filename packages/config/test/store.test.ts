import { type ConfigVersion, ManualClock, type MonoTime, type Offset } from '@hibiscushill/base';
import { isNone, toUndefined } from 'fp-ts/Option';
import { describe, expect, it } from 'vitest';

import { ConfigStore } from '../src';
import { change, record, sample, snapshot } from './samples';

function create(): ConfigStore {
  return new ConfigStore({ clock: new ManualClock() });
}

function requestsOf(store: ConfigStore): number | undefined {
  return toUndefined(store.view)?.declarations.teams[0]?.bounds.requestsPerSecond;
}

describe('the acceptance rule', () => {
  it('accepts a change on the version in force and refuses the one that came second', () => {
    const store = create();
    store.apply(change(0, -1));
    const first = store.apply(change(1, 0));
    const second = store.apply(change(2, 0));
    expect(first[0]?.verdict).toEqual({ type: 'accepted', version: 1 });
    expect(second[0]?.verdict).toEqual({ type: 'conflict', winner: 1 });
    expect(store.version).toBe(1);
  });

  it('refuses an invalid change and a repeated one', () => {
    const store = create();
    store.apply(change(0, -1));
    const invalid = store.apply(change(1, 0, { teams: [{ name: 'x' }] }));
    expect(invalid[0]?.verdict.type).toBe('invalid');
    const malformed = store.apply(record(2, 'config.change', { base: 0 }));
    expect(malformed[0]?.verdict.type).toBe('invalid');
    const repeated = store.apply({ ...change(0, -1), offset: 3 as Offset });
    expect(repeated[0]?.verdict).toEqual({ type: 'conflict', winner: 0 });
  });

  it('is not lowered by a stale or forged snapshot', () => {
    const store = create();
    store.apply(change(0, -1, sample(7)));
    store.apply(change(1, 0, sample(8)));
    store.apply(snapshot(2, 0, 0, sample(7)));
    store.apply(snapshot(3, 2, 2, sample(9)));
    store.apply(snapshot(4, 1, 1, sample(9)));
    expect([store.version, requestsOf(store)]).toEqual([1, 8]);
  });

  it('knows no configuration on a trimmed log without a snapshot', () => {
    const store = create();
    store.readFrom(5 as Offset);
    store.apply(change(5, -1));
    store.apply(change(6, 4));
    expect(isNone(store.view)).toBe(true);
    expect(store.isAttached).toBe(false);
  });

  it('takes a snapshot only if it has read every record since the snapshot was made', () => {
    const store = create();
    store.readFrom(5 as Offset);
    store.apply(snapshot(5, 2, 3, sample(3)));
    expect(store.version).toBe(-1);
    store.apply(change(6, 4, sample(4)));
    store.apply(change(7, 4, sample(5)));
    const settled = store.apply(snapshot(8, 4, 4, sample(2)));
    expect(settled.map((entry) => entry.verdict.type)).toEqual([
      'ignored',
      'accepted',
      'conflict',
      'ignored',
    ]);
    expect([store.version, requestsOf(store)]).toEqual([6, 4]);
  });

  it('judges covered records by the bases that lead to the snapshot', () => {
    const store = create();
    store.readFrom(5 as Offset);
    store.apply(change(5, 3));
    store.apply(change(6, 3));
    store.apply(change(7, 5));
    const settled = store.apply(snapshot(8, 7, 7, sample(8)));
    expect(settled.map((entry) => entry.verdict.type)).toEqual([
      'accepted',
      'conflict',
      'accepted',
      'snapshot',
    ]);
  });

  it('keeps its version, and judges nothing, when records were trimmed before it read them', () => {
    const store = create();
    store.apply(change(0, -1, sample(1)));
    store.readFrom(9 as Offset);
    store.apply(change(9, 0, sample(2)));
    expect([store.version, store.isAttached]).toEqual([0, false]);
    store.apply(snapshot(10, 7, 8, sample(3)));
    expect([store.version, requestsOf(store)]).toEqual([7, 3]);
  });
});

describe('the spread between processes', () => {
  function createPair(): [ConfigStore, ConfigStore] {
    const ahead = create();
    const behind = create();
    const first = change(0, -1, sample(1, ['k1', 'k2']));
    [ahead, behind].forEach((store) => store.apply(first));
    ahead.apply(change(1, 0, sample(1, ['k2', 'k3'])));
    ahead.apply(change(2, 1, sample(5, ['k2', 'k3', 'k4'])));
    return [ahead, behind];
  }

  it('sends the latest changes to a process that is close and the whole to others', () => {
    const [ahead, behind] = createPair();
    const text = (have: number) => Buffer.from(toUndefined(ahead.offerFor(have))!).toString();
    expect(text(-1)).toContain('"state"');
    expect(ahead.offerFor(2)).toEqual(behind.offerFor(0));
    expect(behind.takeOffer(toUndefined(ahead.offerFor(0))!)._unsafeUnwrap()).toBe(true);
    expect(behind.state).toEqual(ahead.state);
    const newcomer = create();
    expect(newcomer.takeOffer(Buffer.from(text(-1)))._unsafeUnwrap()).toBe(true);
    expect(newcomer.state).toEqual(ahead.state);
  });

  it('sends deltas where they are smaller', () => {
    const keys = Array.from({ length: 50 }, (_, index) => `k${index}`);
    const store = create();
    store.apply(change(0, -1, sample(1, keys)));
    store.apply(change(1, 0, sample(1, keys.slice(1))));
    const bytes = toUndefined(store.offerFor(0))!;
    expect(JSON.parse(Buffer.from(bytes).toString())).toEqual({
      version: 1,
      asOf: 1,
      digest: expect.any(String),
      from: 0,
      deltas: [{ set: {}, drop: { keys: ['k0'] } }],
    });
  });

  it('never lowers the version, and skips the records that an offer covers', () => {
    const [ahead, behind] = createPair();
    const low = toUndefined(behind.offerFor(-1))!;
    expect(ahead.takeOffer(low)._unsafeUnwrap()).toBe(false);
    behind.takeOffer(toUndefined(ahead.offerFor(0))!);
    expect(behind.apply(change(1, 0))).toEqual([]);
    expect(behind.apply(change(3, 2))[0]?.verdict.type).toBe('accepted');
  });

  it('refuses an invalid offer, one with another digest, and one that the log contradicts', () => {
    const [ahead, behind] = createPair();
    const offer = JSON.parse(Buffer.from(toUndefined(ahead.offerFor(-1))!).toString());
    const take = (changes: object) =>
      behind.takeOffer(Buffer.from(JSON.stringify({ ...offer, ...changes })));
    expect(take({ digest: 'x' })._unsafeUnwrapErr().code).toBe('config_invalid');
    expect(take({ asOf: 1 })._unsafeUnwrapErr().detail).toContain('before its own version');
    expect(behind.takeOffer(Buffer.from('{'))._unsafeUnwrapErr().detail).toContain('not JSON');
    behind.apply(change(1, 7));
    behind.apply(change(2, 7));
    expect(take({})._unsafeUnwrapErr().detail).toContain('holds no such version');
    expect(behind.version).toBe(0);
  });
});

describe('freshness', () => {
  it('is lost by a pause and comes back with a confirmation asked for afterwards', () => {
    const clock = new ManualClock(100);
    const store = new ConfigStore({ clock });
    expect(store.isFresh(1_000)).toBe(false);
    store.apply(change(0, -1));
    expect(store.confirm(0, clock.mono())).toBe(true);
    expect(store.isFresh(1_000)).toBe(true);
    const askedAt = clock.mono();
    clock.advance(60_000);
    expect(store.confirm(0, askedAt)).toBe(true);
    expect(store.isFresh(1_000)).toBe(false);
    store.confirm(0, clock.mono());
    expect(store.isFresh(1_000)).toBe(true);
  });

  it('is not given by another version or before there is a configuration', () => {
    const store = create();
    expect(store.confirm(-1 as ConfigVersion, 0 as MonoTime)).toBe(false);
    store.apply(change(0, -1));
    expect(store.confirm(3, 0 as MonoTime)).toBe(false);
    expect(store.confirmedAt).toBeUndefined();
  });
});
