import { describe, expect, it } from 'vitest';

import { type PlatformEvent, checkPlatformEvents } from '../src/platform-checkers';

const REPORT: PlatformEvent = {
  service: 'usage',
  op: 'report',
  window: 0,
  reportId: '0.5',
  figures: [{ team: 'valley', service: 'desk', requests: 3, tokens: 0 }],
  fencing: 4,
};

const ORDER: PlatformEvent = {
  service: 'orders',
  op: 'order',
  zone: 'ba',
  orderId: 'o1',
  fencing: 4,
};

describe('the checkers of usage reports and target orders', () => {
  it('accept repeated reports with the same figures, and a change of the holder', () => {
    expect(checkPlatformEvents([REPORT, REPORT, { ...REPORT, fencing: 9 }, ORDER])).toEqual([]);
  });

  it('find a window that was reported again with other figures', () => {
    expect(checkPlatformEvents([REPORT, { ...REPORT, figures: [] }])).toMatchSnapshot();
  });

  it("find a former holder's report after one of its successor", () => {
    expect(checkPlatformEvents([{ ...REPORT, fencing: 9 }, REPORT])).toMatchSnapshot();
  });

  it("find a former holder's order after one of its successor, in the same zone only", () => {
    const successorOrder = { ...ORDER, fencing: 9 };
    expect(
      checkPlatformEvents([successorOrder, ORDER, { ...ORDER, zone: 'nadi' }]),
    ).toMatchSnapshot();
  });
});
