import {
  type InstanceId,
  ManualClock,
  type MonoTime,
  RandomSource,
  type TeamId,
} from '@hibiscushill/base';
import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { ShareTracker } from '../src';

const SEED = 53;
const TEAM = 'a' as TeamId;
const TICK_MS = 20;
const EXCHANGE_PERIOD_MS = 500;

/** Simulated entries that exchange demand over links which a test can interrupt. */
class EntryCluster {
  readonly clock = new ManualClock();

  readonly ids: InstanceId[];

  readonly trackers: ShareTracker[];

  readonly demand: number[];

  isLinked: (from: number, to: number) => boolean = () => true;

  constructor(size: number) {
    this.ids = Array.from({ length: size }, (_, index) => `entry-${index}` as InstanceId);
    this.trackers = this.ids.map((entry) => new ShareTracker({ clock: this.clock, entry }));
    this.trackers.forEach((tracker) => tracker.setEntries(this.ids));
    this.demand = this.ids.map(() => 0);
  }

  get shares(): number[] {
    return this.trackers.map((tracker) => tracker.share(TEAM));
  }

  get sum(): number {
    return this.shares.reduce((total, share) => total + share, 0);
  }

  run(ms: number, check: () => void = () => undefined): void {
    for (let elapsed = 0; elapsed < ms; elapsed += TICK_MS) {
      this.clock.advance(TICK_MS / 2);
      this.trackers.forEach((tracker, index) =>
        tracker.recordDemand(TEAM, ((this.demand[index] as number) * TICK_MS) / 1000),
      );
      this.clock.advance(TICK_MS / 2);
      if (this.clock.mono() % EXCHANGE_PERIOD_MS === 0) this.#exchangeDemand();
      check();
    }
  }

  #exchangeDemand(): void {
    const demands = this.trackers.map((tracker) => tracker.localDemands());
    this.trackers.forEach((tracker, to) =>
      demands.forEach((demandByTeam, from) => {
        const receivedAt = this.clock.mono();
        if (this.isLinked(from, to)) {
          tracker.recordPeerDemand(this.ids[from] as InstanceId, demandByTeam, receivedAt);
        }
      }),
    );
  }
}

function runUntilStable(demand: number[]): EntryCluster {
  const cluster = new EntryCluster(demand.length);
  cluster.demand.splice(0, demand.length, ...demand);
  cluster.run(15_000);
  return cluster;
}

describe('ShareTracker', () => {
  it('splits by demand above the bound, with a minimum share for every entry', () => {
    const cluster = runUntilStable([3, 1, 0]);
    const rounded = cluster.shares.map((share) => Math.round(share * 100) / 100);
    expect(rounded).toEqual([0.71, 0.26, 0.03]);
    expect(cluster.sum).toBeCloseTo(1, 2);
  });

  it('covers demand within the bound, and splits the rest evenly', () => {
    const shares = runUntilStable([0.6, 0, 0]).shares.map((share) => Math.round(share * 100) / 100);
    expect(shares).toEqual([0.69, 0.15, 0.15]);
  });

  it('starts with an even share among the initially assumed entries', () => {
    const tracker = new ShareTracker({ clock: new ManualClock(), entry: 'x' as InstanceId });
    expect(tracker.share(TEAM)).toBe(0.25);
  });

  it('raises a share only after two updates that allow it, and lowers it at once', () => {
    const createTracker = (increaseDelayPeriods: number) => {
      const clock = new ManualClock();
      const entry = 'x' as InstanceId;
      const tracker = new ShareTracker({ clock, entry, increaseDelayPeriods });
      tracker.setEntries([entry, 'y' as InstanceId]);
      const shares = [0, 9, 9, 0, 0].map((demand) => {
        tracker.recordPeerDemand('y' as InstanceId, new Map([[TEAM, demand]]), clock.mono());
        clock.advance(500);
        return Math.round(tracker.share(TEAM) * 100) / 100;
      });
      return shares;
    };
    expect(createTracker(1)).toEqual([0.5, 0.05, 0.05, 0.05, 0.5]);
    expect(createTracker(0)).toEqual([0.5, 0.05, 0.05, 0.5, 0.5]);
  });

  it('keeps the sum of shares near one in a full partition, and makes the shares even', () => {
    const cluster = runUntilStable([4, 1, 1]);
    cluster.isLinked = () => false;
    cluster.run(30_000, () => expect(cluster.sum).toBeLessThanOrEqual(1.05));
    cluster.shares.forEach((share) => expect(share).toBeCloseTo(1 / 3, 2));
  });

  it('gives each side of a network partition the shares of its members', () => {
    const cluster = runUntilStable([4, 1, 1, 0]);
    cluster.isLinked = (from, to) => from < 2 === to < 2;
    cluster.demand.splice(0, 4, 0, 4, 4, 4);
    cluster.run(30_000);
    expect(cluster.sum).toBeCloseTo(1, 2);
    expect(cluster.shares[1] as number).toBeGreaterThan(0.45);
  });

  it('keeps the sum near one while demand shifts and links fail in one direction', () => {
    const property = fc.property(fc.integer(), fc.integer({ min: 2, max: 8 }), (seed, size) => {
      const random = new RandomSource(seed);
      const cluster = runUntilStable(Array.from({ length: size }, () => random.fraction() * 3));
      const sums: number[] = [];
      for (let phase = 0; phase < 8; phase += 1) {
        const unreachable = new Set(
          cluster.ids.map((_, at) => at).filter(() => random.fraction() < 0.3),
        );
        cluster.isLinked = (from, to) => from === to || !unreachable.has(to);
        cluster.demand.forEach((_, at) => {
          cluster.demand[at] = random.fraction() < 0.5 ? 0 : random.fraction() * 3;
        });
        cluster.run(8000, () => sums.push(cluster.sum));
      }
      expect(Math.max(...sums)).toBeLessThanOrEqual(2);
      expect(sums.reduce((total, sum) => total + sum, 0) / sums.length).toBeLessThanOrEqual(1.1);
    });
    fc.assert(property, { seed: SEED, numRuns: 30 });
  });

  it('gives the share of an entry that left the instance list to the others', () => {
    const cluster = runUntilStable([1, 1]);
    cluster.isLinked = () => false;
    cluster.run(5000);
    const [first] = cluster.trackers as [ShareTracker];
    first.setEntries(cluster.ids.slice(0, 1));
    cluster.run(3000);
    expect(first.share(TEAM)).toBeCloseTo(1, 2);
  });

  it('publishes the demand from which its own share is computed', () => {
    const cluster = runUntilStable([2, 0]);
    const [first] = cluster.trackers as [ShareTracker];
    expect(first.localDemand(TEAM)).toBeCloseTo(2, 0);
    expect([...first.localDemands().keys()]).toEqual([TEAM]);
    first.recordPeerDemand(cluster.ids[0] as InstanceId, new Map([[TEAM, 99]]), 0 as MonoTime);
    expect(first.share(TEAM)).toBeGreaterThan(0.9);
  });
});
