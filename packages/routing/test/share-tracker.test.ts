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
const GOSSIP_MS = 500;

/** Entries that exchange demand, with links that can be cut. */
class Fleet {
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
      if (this.clock.mono() % GOSSIP_MS === 0) this.#gossip();
      check();
    }
  }

  #gossip(): void {
    const summaries = this.trackers.map((tracker) => tracker.localDemands());
    this.trackers.forEach((tracker, to) =>
      summaries.forEach((summary, from) => {
        const atMono = this.clock.mono();
        if (this.isLinked(from, to)) {
          tracker.takePeerSummary(this.ids[from] as InstanceId, summary, atMono);
        }
      }),
    );
  }
}

function settle(demand: number[]): Fleet {
  const fleet = new Fleet(demand.length);
  fleet.demand.splice(0, demand.length, ...demand);
  fleet.run(15_000);
  return fleet;
}

describe('ShareTracker', () => {
  it('follows demand above the bound, with a floor for every entry', () => {
    const fleet = settle([3, 1, 0]);
    const rounded = fleet.shares.map((share) => Math.round(share * 100) / 100);
    expect(rounded).toEqual([0.71, 0.26, 0.03]);
    expect(fleet.sum).toBeCloseTo(1, 2);
  });

  it('leaves demand within the bound room, and splits the spare part evenly', () => {
    const shares = settle([0.6, 0, 0]).shares.map((share) => Math.round(share * 100) / 100);
    expect(shares).toEqual([0.69, 0.15, 0.15]);
  });

  it('starts with an even part of the entries that it has to expect', () => {
    const tracker = new ShareTracker({ clock: new ManualClock(), entry: 'x' as InstanceId });
    expect(tracker.share(TEAM)).toBe(0.25);
  });

  it('raises a share only when it was due twice, and lowers it at once', () => {
    const createTracker = (settlePeriods: number) => {
      const clock = new ManualClock();
      const entry = 'x' as InstanceId;
      const tracker = new ShareTracker({ clock, entry, settlePeriods });
      tracker.setEntries([entry, 'y' as InstanceId]);
      const shares = [0, 9, 9, 0, 0].map((demand) => {
        tracker.takePeerSummary('y' as InstanceId, new Map([[TEAM, demand]]), clock.mono());
        clock.advance(500);
        return Math.round(tracker.share(TEAM) * 100) / 100;
      });
      return shares;
    };
    expect(createTracker(1)).toEqual([0.5, 0.05, 0.05, 0.05, 0.5]);
    expect(createTracker(0)).toEqual([0.5, 0.05, 0.05, 0.5, 0.5]);
  });

  it('does not multiply the bound under a full cut, and evens the shares out', () => {
    const fleet = settle([4, 1, 1]);
    fleet.isLinked = () => false;
    fleet.run(30_000, () => expect(fleet.sum).toBeLessThanOrEqual(1.05));
    fleet.shares.forEach((share) => expect(share).toBeCloseTo(1 / 3, 2));
  });

  it('gives each side of a cut the parts of its members', () => {
    const fleet = settle([4, 1, 1, 0]);
    fleet.isLinked = (from, to) => from < 2 === to < 2;
    fleet.demand.splice(0, 4, 0, 4, 4, 4);
    fleet.run(30_000);
    expect(fleet.sum).toBeCloseTo(1, 2);
    expect(fleet.shares[1] as number).toBeGreaterThan(0.45);
  });

  it('keeps the sum near one while demand shifts, links fail one way and heal', () => {
    const property = fc.property(fc.integer(), fc.integer({ min: 2, max: 8 }), (seed, size) => {
      const random = new RandomSource(seed);
      const fleet = settle(Array.from({ length: size }, () => random.fraction() * 3));
      const sums: number[] = [];
      for (let phase = 0; phase < 8; phase += 1) {
        const cut = new Set(fleet.ids.map((_, at) => at).filter(() => random.fraction() < 0.3));
        fleet.isLinked = (from, to) => from === to || !cut.has(to);
        fleet.demand.forEach((_, at) => {
          fleet.demand[at] = random.fraction() < 0.5 ? 0 : random.fraction() * 3;
        });
        fleet.run(8000, () => sums.push(fleet.sum));
      }
      expect(Math.max(...sums)).toBeLessThanOrEqual(2);
      expect(sums.reduce((total, sum) => total + sum, 0) / sums.length).toBeLessThanOrEqual(1.1);
    });
    fc.assert(property, { seed: SEED, numRuns: 30 });
  });

  it('hands the part of an entry that left the instance list to the others', () => {
    const fleet = settle([1, 1]);
    fleet.isLinked = () => false;
    fleet.run(5000);
    const [first] = fleet.trackers as [ShareTracker];
    first.setEntries(fleet.ids.slice(0, 1));
    fleet.run(3000);
    expect(first.share(TEAM)).toBeCloseTo(1, 2);
  });

  it('publishes the demand that its own share goes by', () => {
    const fleet = settle([2, 0]);
    const [first] = fleet.trackers as [ShareTracker];
    expect(first.localDemand(TEAM)).toBeCloseTo(2, 0);
    expect([...first.localDemands().keys()]).toEqual([TEAM]);
    first.takePeerSummary(fleet.ids[0] as InstanceId, new Map([[TEAM, 99]]), 0 as MonoTime);
    expect(first.share(TEAM)).toBeGreaterThan(0.9);
  });
});
