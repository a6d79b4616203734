import { describe, expect, it } from 'vitest';

import { findCodeName, listCodes } from '../src';

describe('result codes', () => {
  it('have distinct numbers', () => {
    const numbers = listCodes().map((entry) => entry.code);
    expect(new Set(numbers).size).toBe(numbers.length);
  });

  it('are found by their numbers', () => {
    expect(findCodeName(2003)).toBe('team_rate_exceeded');
    expect(findCodeName(1)).toBeUndefined();
  });
});
