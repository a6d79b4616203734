import type { InstanceId, Offset, RecordId, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { DUTY_KINDS, DutyCooldown } from '../src';

const [a, b] = ['a', 'b'] as InstanceId[];

function claim(holder: InstanceId | undefined, at: number): LogRecord {
  const body = { duty: 'd', holder, incarnation: 'i', after: -1, through: 0 };
  return {
    id: `${at}` as RecordId,
    kind: DUTY_KINDS.claim,
    payload: body,
    offset: at as Offset,
    appendedAt: at as WallTime,
  };
}

describe('DutyCooldown', () => {
  it('keeps a holder from claiming again soon after another process claimed', () => {
    const cooldown = new DutyCooldown('d', 3_000);
    cooldown.apply(claim(a, 100));
    expect(cooldown.notBefore(a as InstanceId)).toBe(0);
    cooldown.apply(claim(b, 200));
    expect(cooldown.notBefore(a as InstanceId)).toBe(3_200);
    expect(cooldown.notBefore(b as InstanceId)).toBe(0);
  });

  it('counts from the first claim of another process, not from later ones', () => {
    const cooldown = new DutyCooldown('d', 3_000);
    cooldown.apply(claim(a, 100));
    cooldown.apply(claim(b, 200));
    cooldown.apply(claim('c' as InstanceId, 2_000));
    expect(cooldown.notBefore(a as InstanceId)).toBe(3_200);
  });
});
