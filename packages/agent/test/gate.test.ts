import {
  ManualClock,
  type Offset,
  type RecordId,
  type ServiceId,
  type WallTime,
} from '@hibiscushill/base';
import { CHANGE_KIND, ConfigStore, NO_VERSION } from '@hibiscushill/config';
import { describe, expect, it } from 'vitest';

import { Gate } from '../src/gate';
import { RUN } from './support';

const AGE_MS = 2500;

function declare(state: 'active' | 'withdrawn') {
  const bounds = { requestsPerSecond: 1, tokensPerSecond: 1, inFlight: 1 };
  return {
    teams: [{ name: 'valley', weight: 1, bounds }],
    keys: [{ id: 'k1', team: 'valley', hash: 'a'.repeat(64), state }],
    services: [],
    trainers: [],
  };
}

function createGate() {
  const clock = new ManualClock(10_000);
  const config = new ConfigStore({ clock });
  let offset = 0;
  const change = (state: 'active' | 'withdrawn'): void => {
    const base = offset === 0 ? NO_VERSION : offset - 1;
    config.apply({
      id: `c${offset}` as RecordId,
      kind: CHANGE_KIND,
      payload: { base, declarations: declare(state) },
      offset: offset as Offset,
      appendedAt: 0 as WallTime,
    });
    offset += 1;
  };
  change('active');
  config.confirm(config.version, clock.mono());
  const service = 'desk' as ServiceId;
  return { gate: new Gate({ clock, config, service, configAgeMs: AGE_MS }), clock, change };
}

describe('Gate', () => {
  it('lets a request through whose key is good', () => {
    expect(createGate().gate.admit(RUN).isOk()).toBe(true);
  });

  it('starts nothing on a configuration that was not confirmed lately', () => {
    const { gate, clock } = createGate();
    clock.advance(AGE_MS + 1);
    expect(gate.admit(RUN)._unsafeUnwrapErr().code).toBe('config_stale');
  });

  it('starts nothing on an older configuration than the entry admitted it by', () => {
    const { gate } = createGate();
    expect(gate.admit({ ...RUN, configVersion: 7 })._unsafeUnwrapErr().code).toBe('config_stale');
  });

  it('ends running work of a withdrawn key even before the withdrawal is confirmed', () => {
    const { gate, clock, change } = createGate();
    clock.advance(AGE_MS + 1);
    change('withdrawn');
    expect(gate.recheckKey(RUN)._unsafeUnwrapErr().code).toBe('key_withdrawn');
  });

  it("refuses a key that is another team's", () => {
    const { gate } = createGate();
    expect(gate.admit({ ...RUN, team: 'harbour' })._unsafeUnwrapErr().code).toBe('team_mismatch');
  });

  it('takes nothing new once the target leaves', () => {
    const { gate } = createGate();
    gate.leave();
    expect(gate.admit(RUN)._unsafeUnwrapErr().code).toBe('target_leaving');
  });
});
