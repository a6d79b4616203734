import { describe, expect, it } from 'vitest';

import { mayAcceptSubmission } from '../src';

const MB = 1_000_000;

describe('a submission', () => {
  it.each([
    ['accepted however large it is, while none is open', 0, 50 * MB, true],
    ['accepted beside others, while they fit together', 30 * MB, 10 * MB, true],
    ['refused when they would not fit', 30 * MB, 11 * MB, false],
  ])('is %s', (_, openBytes, bytes, expected) => {
    expect(mayAcceptSubmission(openBytes, bytes)).toBe(expected);
  });
});
