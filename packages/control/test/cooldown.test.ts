import type { InstanceId, Offset, RecordId, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { DUTY_KINDS, DutyTurns } from '../src';

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

describe('the turns of a duty', () => {
  it('keep a holder from claiming again soon after another took over', () => {
    const turns = new DutyTurns('d', 3_000);
    turns.apply(claim(a, 100));
    expect(turns.notBefore(a as InstanceId)).toBe(0);
    turns.apply(claim(b, 200));
    expect(turns.notBefore(a as InstanceId)).toBe(3_200);
    expect(turns.notBefore(b as InstanceId)).toBe(0);
  });

  it('count from the first takeover, not from later ones', () => {
    const turns = new DutyTurns('d', 3_000);
    turns.apply(claim(a, 100));
    turns.apply(claim(b, 200));
    turns.apply(claim('c' as InstanceId, 2_000));
    expect(turns.notBefore(a as InstanceId)).toBe(3_200);
  });
});
