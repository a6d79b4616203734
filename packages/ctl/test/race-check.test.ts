import type { LogRecord } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { type RaceHistory, checkRace } from '../bench/race-check';

function change(offset: number, base: number, content: number): LogRecord {
  const bounds = { requestsPerSecond: content, tokensPerSecond: 1, inFlight: 1 };
  const payload = { base, declarations: { teams: [{ name: 'stalls', bounds }] } };
  return { offset, id: `r${offset}`, kind: 'config.change', payload, appendedAt: 0 } as never;
}

const contentOf = (payload: unknown): number =>
  (payload as { declarations: { teams: { bounds: { requestsPerSecond: number } }[] } }).declarations
    .teams[0]?.bounds.requestsPerSecond ?? 0;

function check(history: Partial<RaceHistory>): string[] {
  const records = [change(0, -1, 10), change(1, 0, 11), change(2, 0, 12)];
  return checkRace({ records, told: [], seen: [], contentOf, ...history });
}

describe('checkRace', () => {
  it('passes a race in which all were told the truth', () => {
    const told = [
      { operator: 'a', content: 11, outcome: 'accepted', version: 1 },
      { operator: 'b', content: 12, outcome: 'conflict', version: -1 },
    ];
    const seen = [0, 1].map((version) => ({ process: 'p', version }));
    expect(check({ told, seen })).toEqual([]);
  });

  it('finds an operator that was told what is not so', () => {
    const told = [
      { operator: 'a', content: 12, outcome: 'accepted', version: 2 },
      { operator: 'b', content: 11, outcome: 'conflict', version: -1 },
    ];
    expect(check({ told })).toMatchSnapshot();
  });

  it('finds a process that went back, took what never was, or stayed behind', () => {
    const seen = [
      { process: 'p', version: 1 },
      { process: 'p', version: 0 },
      { process: 'q', version: 2 },
    ];
    expect(check({ seen })).toMatchSnapshot();
  });
});
