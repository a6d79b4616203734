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

function popItems(queue: QueuePolicy<string>, maxItems = Infinity): QueueItem<string>[] {
  const popped: QueueItem<string>[] = [];
  while (popped.length < maxItems) {
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

/** The served tokens of the team that got fewest, as a multiple of an even share. */
function smallestShare(queue: QueuePolicy<string>, tokens: number, teams: string[]): number {
  const served = new Map(teams.map((team) => [team, 0]));
  let total = 0;
  while (total < tokens) {
    const item = toNullable(queue.pop()) as QueueItem<string>;
    served.set(item.team, (served.get(item.team) ?? 0) + item.costTokens);
    total += item.costTokens;
  }
  return (Math.min(...served.values()) / total) * teams.length;
}

describe('the small team behind a large backlog of another team', () => {
  const pushLargeThenSmall = (queue: QueuePolicy<string>) => {
    pushMany(queue, 'large', 500, 100);
    pushMany(queue, 'small', 400, 10);
    return smallestShare(queue, 6000, ['large', 'small']);
  };

  it('gets an even share of the tokens in a FairQueue', () => {
    expect(pushLargeThenSmall(new FairQueue(BOUNDS))).toBeGreaterThan(0.95);
  });

  it('gets nothing in a FifoQueue', () => {
    expect(pushLargeThenSmall(new FifoQueue(BOUNDS))).toBe(0);
  });
});

describe('FairQueue', () => {
  it('shares by tokens, so that few large requests get no more than many small ones', () => {
    const queue = new FairQueue<string>(BOUNDS);
    pushMany(queue, 'large', 10, 1000);
    pushMany(queue, 'small', 900, 10);
    const first = popItems(queue, 202);
    expect(first.filter(({ team }) => team === 'large')).toHaveLength(2);
  });

  it('serves backlogged teams by weight, within the cost of one largest request', () => {
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
      const remaining = teams.map(({ costs }) => costs.length);
      const served = teams.map(() => 0);
      while (remaining.every((count) => count > 0)) {
        const item = toNullable(queue.pop()) as QueueItem<string>;
        const name = Number(item.team);
        remaining[name] = (remaining[name] as number) - 1;
        served[name] = (served[name] as number) + item.costTokens / item.weight;
        teams.forEach(({ weight }, other) => {
          const gap = Math.abs((served[name] as number) - (served[other] as number));
          expect(gap).toBeLessThanOrEqual(50 / item.weight + 50 / weight);
        });
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 100 });
  });

  it('gives a team no credit for the time when it was idle', () => {
    const queue = new FairQueue<string>(BOUNDS);
    pushMany(queue, 'busy', 200, 10);
    popItems(queue, 100);
    pushMany(queue, 'idle', 100, 10);
    const next = popItems(queue, 20).filter(({ team }) => team === 'idle');
    expect(next.length).toBeLessThanOrEqual(11);
  });

  it('charges the actual cost once it is known', () => {
    const queue = new FairQueue<string>(BOUNDS);
    pushMany(queue, 'a', 50, 10);
    pushMany(queue, 'b', 50, 10);
    queue.adjustCost(toNullable(queue.pop()) as QueueItem<string>, 110);
    expect(popItems(queue, 11).map(({ team }) => team)).toEqual([...Array(11).fill('b')]);
  });

  it('drops the newest request of the team with the highest occupancy when it is full', () => {
    const queue = new FairQueue<string>({ maxItems: 4, maxTokens: 100 });
    pushMany(queue, 'large', 4, 1);
    const dropped = queue.push(createItem('b0', { team: 'b' }))._unsafeUnwrap();
    expect(dropped.map(({ id }) => id)).toEqual(['large3']);
    expect(queue.push(createItem('large9', { team: 'large' })).isErr()).toBe(true);
    expect(popItems(queue).map(({ id }) => id)).toEqual(['large0', 'b0', 'large1', 'large2']);
  });
});

describe.each(QUEUES)('%s', (_, create) => {
  it('holds exactly the items that were pushed and not yet taken out, within its bounds', () => {
    const property = fc.property(fc.integer(), (seed) => {
      const random = new RandomSource(seed);
      const queue = create({ maxItems: 20, maxTokens: 200 });
      const expectedItems = new Map<string, QueueItem<string>>();
      for (let step = 0; step < 200; step += 1) {
        const choice = random.int(0, 9);
        if (choice < 6) {
          const item = createItem(`${step}`, {
            team: random.pick(['a', 'b', 'c']) as string,
            costTokens: random.int(0, 30),
            deadline: step + random.int(0, 60),
          });
          expectedItems.set(item.id, item);
          const refused = queue.push(item).unwrapOr([item]);
          refused.forEach(({ id }) => expect(expectedItems.delete(id)).toBe(true));
        } else if (choice < 8) {
          const popped = toNullable(queue.pop());
          if (popped) expect(expectedItems.delete(popped.id)).toBe(true);
          else expect(expectedItems.size).toBe(0);
        } else if (choice < 9) {
          const [first] = expectedItems.keys();
          if (first)
            expect(isSome(queue.remove(first as AttemptId))).toBe(expectedItems.delete(first));
        } else {
          const expired = queue.takeExpired(step as MonoTime);
          const due = [...expectedItems.values()].filter(({ deadline }) => deadline <= step);
          expect(new Set(expired)).toEqual(new Set(due));
          expired.forEach(({ id }) => expectedItems.delete(id));
        }
        expect(queue.size).toBe(expectedItems.size);
        expect(queue.size).toBeLessThanOrEqual(20);
        expect(queue.tokens).toBeLessThanOrEqual(200);
      }
      expect(new Set(popItems(queue))).toEqual(new Set(expectedItems.values()));
    });
    fc.assert(property, { seed: SEED, numRuns: 100 });
  });
});
