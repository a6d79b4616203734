import {
  ManualClock,
  type Offset,
  type RecordId,
  type ServiceId,
  type WallTime,
} from '@hibiscushill/base';
import { CHANGE_KIND, ConfigStore, NO_VERSION } from '@hibiscushill/config';
import { describe, expect, it } from 'vitest';

import { AdmissionController } from '../src/admission-controller';
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

function createController() {
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
  return {
    controller: new AdmissionController({ clock, config, service, configAgeMs: AGE_MS }),
    clock,
    change,
  };
}

describe('AdmissionController', () => {
  it('admits a request with a valid key', () => {
    expect(createController().controller.admit(RUN).isOk()).toBe(true);
  });

  it('admits nothing when the configuration was not confirmed recently', () => {
    const { controller, clock } = createController();
    clock.advance(AGE_MS + 1);
    expect(controller.admit(RUN)._unsafeUnwrapErr().code).toBe('config_stale');
  });

  it('admits nothing when the entry used a newer configuration', () => {
    const { controller } = createController();
    expect(controller.admit({ ...RUN, configVersion: 7 })._unsafeUnwrapErr().code).toBe(
      'config_stale',
    );
  });

  it('rejects a running attempt with a withdrawn key before the withdrawal is confirmed', () => {
    const { controller, clock, change } = createController();
    clock.advance(AGE_MS + 1);
    change('withdrawn');
    expect(controller.recheckKey(RUN)._unsafeUnwrapErr().code).toBe('key_withdrawn');
  });

  it('refuses a key of another team', () => {
    const { controller } = createController();
    expect(controller.admit({ ...RUN, team: 'harbour' })._unsafeUnwrapErr().code).toBe(
      'team_mismatch',
    );
  });

  it('admits nothing once the target is leaving', () => {
    const { controller } = createController();
    controller.markLeaving();
    expect(controller.admit(RUN)._unsafeUnwrapErr().code).toBe('target_leaving');
  });
});
