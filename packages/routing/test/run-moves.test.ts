import type { RegionId, SoftwareVersion, WeightVersion, ZoneId } from '@hibiscushill/base';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { AllowedRegions, type RunNeeds, type SlotGroup, assignSlots, canMoveTo } from '../src';

const OLD = '1.4.0' as SoftwareVersion;
const NEW = '1.5.0' as SoftwareVersion;
const EU = 'zone-eu' as ZoneId;
const US = 'zone-us' as ZoneId;
const ONLY_EU = new AllowedRegions(
  new Map([
    [EU, 'eu' as RegionId],
    [US, 'us' as RegionId],
  ]),
  [['eu' as RegionId]],
);

function needs(changes: Partial<RunNeeds> = {}): RunNeeds {
  return {
    software: OLD,
    leastVersion: 1 as WeightVersion,
    requiredVersion: undefined,
    regions: undefined,
    ...changes,
  };
}

function group(slots: number, changes: Partial<SlotGroup> = {}): SlotGroup {
  return { software: OLD, version: 1 as WeightVersion, zone: EU, slots, ...changes };
}

function countAssigned(runs: readonly RunNeeds[], groups: readonly SlotGroup[]): number {
  return assignSlots(
    runs.map((one, run) => ({ run, needs: one })),
    groups,
  ).length;
}

/** The most runs that can have slots of their own, by trying all assignments. */
function countAtMost(runs: readonly RunNeeds[], groups: readonly SlotGroup[]): number {
  const [first, ...others] = runs;
  if (!first) return 0;
  const choices = groups
    .map((one, index) => ({ one, index }))
    .filter(({ one }) => one.slots > 0 && canMoveTo(first, one))
    .map(({ index }) => {
      const left = groups.map((one, at) => (at === index ? { ...one, slots: one.slots - 1 } : one));
      return 1 + countAtMost(others, left);
    });
  return Math.max(countAtMost(others, groups), ...choices);
}

describe('runs that are to leave their engines', () => {
  // review/3: runs were moved off the last engine with their weight version, for slots of another.
  it('have no place at engines of another weight version if they must not mix versions', () => {
    const run = needs({ requiredVersion: 1 as WeightVersion });
    expect(countAssigned([run], [group(8, { version: 2 as WeightVersion })])).toBe(0);
    expect(countAssigned([run, run], [group(1), group(8, { version: 2 as WeightVersion })])).toBe(
      1,
    );
    expect(countAssigned([needs()], [group(8, { version: 2 as WeightVersion })])).toBe(1);
  });

  it('have no place at engines of other software or older weights, or in other regions', () => {
    expect(countAssigned([needs()], [group(8, { software: NEW })])).toBe(0);
    expect(countAssigned([needs({ leastVersion: 2 as WeightVersion })], [group(8)])).toBe(0);
    expect(countAssigned([needs({ regions: ONLY_EU })], [group(8, { zone: US })])).toBe(0);
  });

  it('leave the slots that few can use to those that can use no others', () => {
    const bound = needs({ requiredVersion: 1 as WeightVersion });
    const groups = [group(1), group(1, { version: 2 as WeightVersion })];
    expect(countAssigned([needs(), bound], groups)).toBe(2);
    expect(countAssigned([bound, needs()], groups)).toBe(2);
  });

  it('have slots of their own at the same time', () => {
    const version = fc.integer({ min: 1, max: 3 }).map((one) => one as WeightVersion);
    const software = fc.constantFrom(OLD, NEW, undefined);
    const run: fc.Arbitrary<RunNeeds> = fc.record({
      software,
      leastVersion: version,
      requiredVersion: fc.option(version, { nil: undefined }),
      regions: fc.constantFrom(undefined, ONLY_EU),
    });
    const slots: fc.Arbitrary<SlotGroup> = fc.record({
      software,
      version,
      zone: fc.constantFrom(EU, US),
      slots: fc.integer({ min: 0, max: 3 }),
    });
    fc.assert(
      fc.property(
        fc.array(run, { maxLength: 5 }),
        fc.array(slots, { maxLength: 5 }),
        (runs, groups) => {
          const assigned = assignSlots(
            runs.map((one, index) => ({ run: index, needs: one })),
            groups,
          );
          const chosen = assigned.map(({ needs: one }) => one);
          expect(countAtMost(chosen, groups)).toBe(chosen.length);
        },
      ),
      { numRuns: 500 },
    );
  });
});
