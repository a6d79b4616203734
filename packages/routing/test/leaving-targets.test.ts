import type { TargetId } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { LeavingTargets } from '../src';

const TARGET = 't1' as TargetId;

describe('targets that have said that they are leaving', () => {
  it('are left out in the incarnation that said so, and in no other', () => {
    const leaving = new LeavingTargets<number>();
    expect(leaving.isLeaving(TARGET, 1)).toBe(false);
    expect(leaving.record(TARGET, 1)).toBe(true);
    expect(leaving.isLeaving(TARGET, 1)).toBe(true);
    expect(leaving.isLeaving(TARGET, 2)).toBe(false);
    expect(leaving.isLeaving('t2' as TargetId, 1)).toBe(false);
  });

  it('stay left out when an earlier incarnation says so later', () => {
    const leaving = new LeavingTargets<number>();
    leaving.record(TARGET, 2);
    expect(leaving.record(TARGET, 1)).toBe(true);
    expect(leaving.isLeaving(TARGET, 2)).toBe(true);
  });

  it('are reported as new once', () => {
    const leaving = new LeavingTargets<number>();
    leaving.record(TARGET, 1);
    expect(leaving.record(TARGET, 1)).toBe(false);
  });

  it('are remembered up to a bound', () => {
    const leaving = new LeavingTargets<number>();
    for (let incarnation = 0; incarnation <= 4_096; incarnation += 1) {
      leaving.record(TARGET, incarnation);
    }
    expect(leaving.isLeaving(TARGET, 0)).toBe(false);
    expect(leaving.isLeaving(TARGET, 1)).toBe(true);
  });
});
