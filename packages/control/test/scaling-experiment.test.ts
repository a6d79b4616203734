import { describe, expect, it } from 'vitest';

import {
  FixedCountPolicy,
  type ScalingPolicy,
  TargetUtilisationPolicy,
  runScalingExperiment,
} from '../src';

const SEEDS = [1, 2, 3];

function runAll(create: () => ScalingPolicy) {
  return SEEDS.map((seed) => {
    const { targetHours, late, lateShare, orders, peakTargets } = runScalingExperiment(create(), {
      seed,
    });
    return `${targetHours} h, late ${late} (${lateShare}), ${orders} orders, peak ${peakTargets}`;
  });
}

describe('target cost against late requests', () => {
  it('is measured for a fixed count and for a target utilisation on the same days', () => {
    expect({
      fixed4: runAll(() => new FixedCountPolicy(4)),
      fixed6: runAll(() => new FixedCountPolicy(6)),
      fixed8: runAll(() => new FixedCountPolicy(8)),
      utilisation70: runAll(() => new TargetUtilisationPolicy()),
      utilisation60: runAll(
        () => new TargetUtilisationPolicy({ utilisation: 0.6, lowUtilisation: 0.45 }),
      ),
      utilisation50: runAll(
        () => new TargetUtilisationPolicy({ utilisation: 0.5, lowUtilisation: 0.4 }),
      ),
      noTrend: runAll(() => new TargetUtilisationPolicy({ warmUpMs: 0 })),
      noHysteresis: runAll(
        () => new TargetUtilisationPolicy({ lowUtilisation: 0.7, surplusMs: 0, stopStep: 12 }),
      ),
    }).toMatchInlineSnapshot(`
      {
        "fixed4": [
          "96 h, late 608514 (0.7514), 3 orders, peak 4",
          "96 h, late 608162 (0.75463), 3 orders, peak 4",
          "96 h, late 586109 (0.73988), 3 orders, peak 4",
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
        "noHysteresis": [
          "156.1 h, late 47148 (0.05822), 2871 orders, peak 12",
          "161.18 h, late 36461 (0.04524), 3057 orders, peak 12",
          "156.87 h, late 39314 (0.04963), 2877 orders, peak 12",
        ],
        "noTrend": [
          "178.92 h, late 0 (0), 36 orders, peak 12",
          "187.16 h, late 15 (0.00002), 72 orders, peak 12",
          "179.09 h, late 645 (0.00081), 48 orders, peak 12",
        ],
        "utilisation50": [
          "213.93 h, late 0 (0), 61 orders, peak 12",
          "222.3 h, late 15 (0.00002), 107 orders, peak 12",
          "215.01 h, late 489 (0.00062), 57 orders, peak 12",
        ],
        "utilisation60": [
          "198.7 h, late 0 (0), 44 orders, peak 12",
          "206.11 h, late 15 (0.00002), 90 orders, peak 12",
          "201.25 h, late 496 (0.00063), 50 orders, peak 12",
        ],
        "utilisation70": [
          "182.76 h, late 0 (0), 44 orders, peak 12",
          "193.51 h, late 15 (0.00002), 90 orders, peak 12",
          "181.25 h, late 645 (0.00081), 46 orders, peak 12",
        ],
      }
    `);
  });
});
