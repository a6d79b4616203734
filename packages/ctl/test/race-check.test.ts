import type { LogRecord } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { type RaceHistory, checkRace } from '../bench/race-check';

function createChange(offset: number, base: number, content: number): LogRecord {
  const bounds = { requestsPerSecond: content, tokensPerSecond: 1, inFlight: 1 };
  const payload = { base, declarations: { teams: [{ name: 'stalls', bounds }] } };
  return { offset, id: `r${offset}`, kind: 'config.change', payload, appendedAt: 0 } as never;
}

const contentOf = (payload: unknown): number =>
  (payload as { declarations: { teams: { bounds: { requestsPerSecond: number } }[] } }).declarations
    .teams[0]?.bounds.requestsPerSecond ?? 0;

function check(history: Partial<RaceHistory>): string[] {
  const records = [createChange(0, -1, 10), createChange(1, 0, 11), createChange(2, 0, 12)];
  return checkRace({ records, reported: [], applied: [], contentOf, ...history });
}

describe('checkRace', () => {
  it('accepts a race in which every reported outcome was right', () => {
    const reported = [
      { operator: 'a', content: 11, outcome: 'accepted', version: 1 },
      { operator: 'b', content: 12, outcome: 'conflict', version: -1 },
    ];
    const applied = [0, 1].map((version) => ({ process: 'p', version }));
    expect(check({ reported, applied })).toEqual([]);
  });

  it('finds an operator that a wrong outcome was reported to', () => {
    const reported = [
      { operator: 'a', content: 12, outcome: 'accepted', version: 2 },
      { operator: 'b', content: 11, outcome: 'conflict', version: -1 },
    ];
    expect(check({ reported })).toMatchSnapshot();
  });

  it('finds a process that went back to an older version, applied a version that was not accepted, or ended at an older version', () => {
    const applied = [
      { process: 'p', version: 1 },
      { process: 'p', version: 0 },
      { process: 'q', version: 2 },
    ];
    expect(check({ applied })).toMatchSnapshot();
  });
});
