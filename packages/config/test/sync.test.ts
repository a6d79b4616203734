import { ManualClock } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { type ConfigFrame, ConfigStore, ConfigSync } from '../src';
import { change, sample } from './samples';

function createSide(): { store: ConfigStore; sync: ConfigSync; frames: ConfigFrame[] } {
  const store = new ConfigStore({ clock: new ManualClock() });
  return { store, sync: new ConfigSync(store), frames: [] };
}

const KEYS = Array.from({ length: 30 }, (_, index) => `k${index}`);

/** Delivers the frames of each side to the other until none is left. */
function exchange(a: ReturnType<typeof createSide>, b: ReturnType<typeof createSide>): number {
  let count = 0;
  for (; a.frames.length + b.frames.length > 0 && count < 20; count += 1) {
    const [from, to] = a.frames.length > 0 ? [a, b] : [b, a];
    const frame = from.frames.shift();
    const peer = { send: (reply: ConfigFrame) => to.frames.push(reply) > 0 };
    if (frame?.$case === 'config') to.sync.take(peer, frame.value);
    if (frame?.$case === 'configPull') to.sync.answer(peer, frame.value.have);
  }
  return count;
}

describe('ConfigSync', () => {
  it('asks for the whole when deltas start from content that it does not have', () => {
    const [a, b] = [createSide(), createSide()];
    a.store.apply(change(0, -1, sample(1, KEYS)));
    b.store.apply(change(0, -1, sample(2, KEYS)));
    a.store.apply(change(1, 0, sample(1, KEYS.slice(1))));
    b.sync.meet({ send: (frame) => b.frames.push(frame) > 0 }, a.store.version);
    expect(exchange(a, b)).toBe(4);
    expect(b.store.state).toEqual(a.store.state);
  });

  it('does not go on asking for a whole that it refuses', () => {
    const [a, b] = [createSide(), createSide()];
    a.store.apply(change(0, -1));
    a.store.apply(change(1, 0));
    [change(0, -1), change(1, 7), change(2, 7)].forEach((each) => b.store.apply(each));
    b.sync.meet({ send: (frame) => b.frames.push(frame) > 0 }, a.store.version);
    expect(exchange(a, b)).toBeLessThan(6);
    expect(b.store.version).toBe(0);
  });
});
