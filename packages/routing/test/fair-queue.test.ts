import { type AttemptId, type MonoTime, RandomSource } from '@hibiscushill/base';
import * as fc from 'fast-check';
import { isSome, toNullable } from 'fp-ts/Option';
import { describe, expect, it } from 'vitest';

import { FairQueue, FifoQueue, type QueueBounds, type QueueItem, QueuePolicy } from '../src';
import { createItem } from './fixtures';

const SEED = 31;
const BOUNDS = { maxItems: 1000, maxTokens: 1_000_000 };
const QUEUES: [string, (bounds: QueueBounds) => QueuePolicy<string>][] = [
  ['FairQueue', (bounds) => new FairQueue<string>(bounds)],
  ['FifoQueue', (bounds) => new FifoQueue<string>(bounds)],
];

function popAll(queue: QueuePolicy<string>, most = Infinity): QueueItem<string>[] {
  const popped: QueueItem<string>[] = [];
  while (popped.length < most) {
    const item = toNullable(queue.pop());
    if (!item) return popped;
    popped.push(item);
  }
  return popped;
}

function pushMany(queue: QueuePolicy<string>, team: string, count: number, costTokens: number) {
  Array.from({ length: count }, (_, index) => createItem(`${team}${index}`, { team, costTokens }))
    .map((item) => queue.push(item))
    .forEach((result) => expect(result.isOk()).toBe(true));
}

/** The least part of the served tokens that a backlogged team got, where 1 is an even share. */
function worstServed(queue: QueuePolicy<string>, tokens: number, teams: string[]): number {
  const served = new Map(teams.map((team) => [team, 0]));
  let total = 0;
  while (total < tokens) {
    const item = toNullable(queue.pop()) as QueueItem<string>;
    served.set(item.team, (served.get(item.team) ?? 0) + item.costTokens);
    total += item.costTokens;
  }
  return (Math.min(...served.values()) / total) * teams.length;
}

describe('the worst-served team behind a flood', () => {
  const floodThenSmall = (queue: QueuePolicy<string>) => {
    pushMany(queue, 'large', 500, 100);
    pushMany(queue, 'small', 400, 10);
    return worstServed(queue, 6000, ['large', 'small']);
  };

  it('gets an even share of the tokens in a FairQueue', () => {
    expect(floodThenSmall(new FairQueue(BOUNDS))).toBeGreaterThan(0.95);
  });

  it('gets nothing in a FifoQueue', () => {
    expect(floodThenSmall(new FifoQueue(BOUNDS))).toBe(0);
  });
});

describe('FairQueue', () => {
  it('does not let few large requests win over many small ones', () => {
    const queue = new FairQueue<string>(BOUNDS);
    pushMany(queue, 'large', 10, 1000);
    pushMany(queue, 'small', 900, 10);
    const first = popAll(queue, 202);
    expect(first.filter(({ team }) => team === 'large')).toHaveLength(2);
  });

  it('serves backlogged teams by weight within one largest request', () => {
    const team = fc.record({
      weight: fc.integer({ min: 1, max: 8 }),
      costs: fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 40, maxLength: 40 }),
    });
    const property = fc.property(fc.array(team, { minLength: 2, maxLength: 5 }), (teams) => {
      const queue = new FairQueue<string>(BOUNDS);
      teams.forEach(({ weight, costs }, name) =>
        costs.forEach((costTokens, index) =>
          queue.push(createItem(`${name}-${index}`, { team: `${name}`, weight, costTokens })),
        ),
      );
      const left = teams.map(({ costs }) => costs.length);
      const served = teams.map(() => 0);
      while (left.every((count) => count > 0)) {
        const item = toNullable(queue.pop()) as QueueItem<string>;
        const name = Number(item.team);
        left[name] = (left[name] as number) - 1;
        served[name] = (served[name] as number) + item.costTokens / item.weight;
        teams.forEach(({ weight }, other) => {
          const gap = Math.abs((served[name] as number) - (served[other] as number));
          expect(gap).toBeLessThanOrEqual(50 / item.weight + 50 / weight);
        });
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 100 });
  });

  it('gives a team that was idle no credit', () => {
    const queue = new FairQueue<string>(BOUNDS);
    pushMany(queue, 'busy', 200, 10);
    popAll(queue, 100);
    pushMany(queue, 'idle', 100, 10);
    const next = popAll(queue, 20).filter(({ team }) => team === 'idle');
    expect(next.length).toBeLessThanOrEqual(11);
  });

  it('charges the actual cost', () => {
    const queue = new FairQueue<string>(BOUNDS);
    pushMany(queue, 'a', 50, 10);
    pushMany(queue, 'b', 50, 10);
    queue.settle(toNullable(queue.pop()) as QueueItem<string>, 110);
    expect(popAll(queue, 11).map(({ team }) => team)).toEqual([...Array(11).fill('b')]);
  });

  it('drops the newest requests of the largest holder when it is full', () => {
    const queue = new FairQueue<string>({ maxItems: 4, maxTokens: 100 });
    pushMany(queue, 'large', 4, 1);
    const dropped = queue.push(createItem('b0', { team: 'b' }))._unsafeUnwrap();
    expect(dropped.map(({ id }) => id)).toEqual(['large3']);
    expect(queue.push(createItem('large9', { team: 'large' })).isErr()).toBe(true);
    expect(popAll(queue).map(({ id }) => id)).toEqual(['large0', 'b0', 'large1', 'large2']);
  });
});

describe.each(QUEUES)('%s', (_, create) => {
  it('holds exactly what was pushed and not yet taken out, within its bounds', () => {
    const property = fc.property(fc.integer(), (seed) => {
      const random = new RandomSource(seed);
      const queue = create({ maxItems: 20, maxTokens: 200 });
      const inside = new Map<string, QueueItem<string>>();
      for (let step = 0; step < 200; step += 1) {
        const choice = random.int(0, 9);
        if (choice < 6) {
          const item = createItem(`${step}`, {
            team: random.pick(['a', 'b', 'c']) as string,
            costTokens: random.int(0, 30),
            deadline: step + random.int(0, 60),
          });
          inside.set(item.id, item);
          const refused = queue.push(item).unwrapOr([item]);
          refused.forEach(({ id }) => expect(inside.delete(id)).toBe(true));
        } else if (choice < 8) {
          const popped = toNullable(queue.pop());
          if (popped) expect(inside.delete(popped.id)).toBe(true);
          else expect(inside.size).toBe(0);
        } else if (choice < 9) {
          const [first] = inside.keys();
          if (first) expect(isSome(queue.remove(first as AttemptId))).toBe(inside.delete(first));
        } else {
          const expired = queue.takeExpired(step as MonoTime);
          const due = [...inside.values()].filter(({ deadline }) => deadline <= step);
          expect(new Set(expired)).toEqual(new Set(due));
          expired.forEach(({ id }) => inside.delete(id));
        }
        expect(queue.size).toBe(inside.size);
        expect(queue.size).toBeLessThanOrEqual(20);
        expect(queue.tokens).toBeLessThanOrEqual(200);
      }
      expect(new Set(popAll(queue))).toEqual(new Set(inside.values()));
    });
    fc.assert(property, { seed: SEED, numRuns: 100 });
  });
});
