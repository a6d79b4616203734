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
  newestVersionAtRequest: 2,
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
  return checkSamples({ deliveries, engineRuns: [RUN], steps, maxVersionsBehind: 1 });
}

describe('the checkers of samples', () => {
  it('accept a sample that is labelled as its engine recorded', () => {
    expect(check([DELIVERY])).toEqual([]);
  });

  it('find a label with the ordered version instead of the one that generated the token', () => {
    const segments = [{ version: 2, fromToken: 0, toToken: 3 }];
    expect(check([{ ...DELIVERY, sample: { ...DELIVERY.sample, segments } }])).toMatchSnapshot();
  });

  it('find a token without a label', () => {
    const segments = DELIVERY.sample.segments.slice(0, 1);
    expect(check([{ ...DELIVERY, sample: { ...DELIVERY.sample, segments } }])).toMatchSnapshot();
  });

  it('find a sample that is too many versions behind', () => {
    expect(check([{ ...DELIVERY, newestVersionAtRequest: 3 }])).toMatchSnapshot();
  });

  it('find a sample that was delivered twice', () => {
    const duplicate = { ...DELIVERY, sample: { ...DELIVERY.sample, number: 2 } };
    expect(check([DELIVERY, duplicate])).toMatchSnapshot();
  });

  it('find a step that did not complete', () => {
    expect(check([DELIVERY], 2)).toMatchSnapshot();
  });
});
