import { describe, expect, it } from 'vitest';

import { type Delivery, type EngineRun, checkSamples } from '../src/sample-checkers';

const RUN: EngineRun = {
  requestId: 't/s/g/0',
  segments: [
    { v: 1, from: 0, to: 2 },
    { v: 2, from: 2, to: 3 },
  ],
};

const DELIVERY: Delivery = {
  trainer: 't',
  step: 's',
  newestBefore: 2,
  sample: {
    number: 1,
    id: 't/s/g/0',
    tokens: ['a', 'b', 'c'],
    segments: [
      { version: 1, fromToken: 0, toToken: 2 },
      { version: 2, fromToken: 2, toToken: 3 },
    ],
  },
};

function check(deliveries: readonly Delivery[], samples = deliveries.length) {
  const steps = [{ trainer: 't', step: 's', samples }];
  return checkSamples({ deliveries, engineRuns: [RUN], steps, versionBound: 1 });
}

describe('the checkers of samples', () => {
  it('pass a sample that is labelled as its engine recorded', () => {
    expect(check([DELIVERY])).toEqual([]);
  });

  it('find a label taken from the order instead of the engine', () => {
    const segments = [{ version: 2, fromToken: 0, toToken: 3 }];
    expect(check([{ ...DELIVERY, sample: { ...DELIVERY.sample, segments } }])).toMatchSnapshot();
  });

  it('find a token without a label', () => {
    const segments = DELIVERY.sample.segments.slice(0, 1);
    expect(check([{ ...DELIVERY, sample: { ...DELIVERY.sample, segments } }])).toMatchSnapshot();
  });

  it('find a sample that is older than the bound', () => {
    expect(check([{ ...DELIVERY, newestBefore: 3 }])).toMatchSnapshot();
  });

  it('find a sample that was delivered twice', () => {
    const again = { ...DELIVERY, sample: { ...DELIVERY.sample, number: 2 } };
    expect(check([DELIVERY, again])).toMatchSnapshot();
  });

  it('find a step that did not complete', () => {
    expect(check([DELIVERY], 2)).toMatchSnapshot();
  });
});
