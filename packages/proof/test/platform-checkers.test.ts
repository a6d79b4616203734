import { describe, expect, it } from 'vitest';

import { type PlatformEvent, checkPlatform } from '../src/platform-checkers';

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

describe('the checkers of the platform', () => {
  it('pass repeated reports with the same figures and a change of the holder', () => {
    expect(checkPlatform([REPORT, REPORT, { ...REPORT, fencing: 9 }, ORDER])).toEqual([]);
  });

  it('find a window that was reported with other figures', () => {
    expect(checkPlatform([REPORT, { ...REPORT, figures: [] }])).toMatchSnapshot();
  });

  it("find an older holder's report after a newer holder's", () => {
    expect(checkPlatform([{ ...REPORT, fencing: 9 }, REPORT])).toMatchSnapshot();
  });

  it("find an older holder's order after a newer holder's in the same zone only", () => {
    const newer = { ...ORDER, fencing: 9 };
    expect(checkPlatform([newer, ORDER, { ...ORDER, zone: 'nadi' }])).toMatchSnapshot();
  });
});
