import { ManualClock } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { type ConfigFrame, ConfigStore, ConfigSync } from '../src';
import { createChange, createDeclarations } from './fixtures';

function createSide(): { store: ConfigStore; sync: ConfigSync; frames: ConfigFrame[] } {
  const store = new ConfigStore({ clock: new ManualClock() });
  return { store, sync: new ConfigSync(store), frames: [] };
}

const KEYS = Array.from({ length: 30 }, (_, index) => `k${index}`);

/** Delivers the frames of each side to the other until none is left; returns their number. */
function exchange(a: ReturnType<typeof createSide>, b: ReturnType<typeof createSide>): number {
  let count = 0;
  for (; a.frames.length + b.frames.length > 0 && count < 20; count += 1) {
    const [from, to] = a.frames.length > 0 ? [a, b] : [b, a];
    const frame = from.frames.shift();
    const connection = { send: (response: ConfigFrame) => to.frames.push(response) > 0 };
    if (frame?.$case === 'config') to.sync.receiveOffer(connection, frame.value);
    if (frame?.$case === 'configPull') to.sync.sendOffer(connection, frame.value.have);
  }
  return count;
}

describe('ConfigSync', () => {
  it('requests the full configuration when the deltas do not apply to its own', () => {
    const [a, b] = [createSide(), createSide()];
    a.store.apply(createChange(0, -1, createDeclarations(1, KEYS)));
    b.store.apply(createChange(0, -1, createDeclarations(2, KEYS)));
    a.store.apply(createChange(1, 0, createDeclarations(1, KEYS.slice(1))));
    b.sync.pullIfBehind({ send: (frame) => b.frames.push(frame) > 0 }, a.store.version);
    expect(exchange(a, b)).toBe(4);
    expect(b.store.state).toEqual(a.store.state);
  });

  it('does not request a full configuration again that it refused', () => {
    const [a, b] = [createSide(), createSide()];
    a.store.apply(createChange(0, -1));
    a.store.apply(createChange(1, 0));
    [createChange(0, -1), createChange(1, 7), createChange(2, 7)].forEach((each) =>
      b.store.apply(each),
    );
    b.sync.pullIfBehind({ send: (frame) => b.frames.push(frame) > 0 }, a.store.version);
    expect(exchange(a, b)).toBeLessThan(6);
    expect(b.store.version).toBe(0);
  });
});
