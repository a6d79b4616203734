import { describe, expect, it } from 'vitest';

import { FixedCountPolicy, type ScalingPolicy, UtilisationPolicy, simulateScaling } from '../src';

const SEEDS = [1, 2, 3];

function runAll(create: () => ScalingPolicy) {
  return SEEDS.map((seed) => {
    const { targetHours, lateRequests, lateShare, orders, peakTargets } = simulateScaling(
      create(),
      {
        seed,
      },
    );
    return `${targetHours} h, late ${lateRequests} (${lateShare}), ${orders} orders, peak ${peakTargets}`;
  });
}

describe('the cost of targets and the late requests', () => {
  it('are simulated for a fixed count and for a desired utilisation with the same demand', () => {
    expect({
      fixed6: runAll(() => new FixedCountPolicy(6)),
      fixed8: runAll(() => new FixedCountPolicy(8)),
      fixed12: runAll(() => new FixedCountPolicy(12)),
      utilisation: runAll(() => new UtilisationPolicy()),
      withoutHysteresis: runAll(
        () =>
          new UtilisationPolicy({
            scaleDownUtilisation: 0.7,
            scaleDownDelayMs: 0,
            maxStopsPerDecision: 12,
          }),
      ),
    }).toMatchInlineSnapshot(`
      {
        "fixed12": [
          "288 h, late 0 (0), 11 orders, peak 12",
          "288 h, late 15 (0.00002), 11 orders, peak 12",
          "288 h, late 442 (0.00056), 11 orders, peak 12",
        ],
        "fixed6": [
          "144 h, late 153783 (0.18989), 5 orders, peak 6",
          "144 h, late 60705 (0.07532), 5 orders, peak 6",
          "144 h, late 62263 (0.0786), 5 orders, peak 6",
        ],
        "fixed8": [
          "192 h, late 69765 (0.08615), 7 orders, peak 8",
          "192 h, late 23614 (0.0293), 7 orders, peak 8",
          "192 h, late 30412 (0.03839), 7 orders, peak 8",
        ],
        "utilisation": [
          "178.92 h, late 0 (0), 36 orders, peak 12",
          "187.16 h, late 15 (0.00002), 72 orders, peak 12",
          "179.09 h, late 645 (0.00081), 48 orders, peak 12",
        ],
        "withoutHysteresis": [
          "153.54 h, late 60134 (0.07425), 2869 orders, peak 12",
          "158.03 h, late 47468 (0.0589), 3109 orders, peak 12",
          "151.03 h, late 36021 (0.04547), 2787 orders, peak 12",
        ],
      }
    `);
  });
});
