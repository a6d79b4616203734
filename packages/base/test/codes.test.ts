import { describe, expect, it } from 'vitest';

import { findCodeName, listCodes } from '../src';

describe('the table of result codes', () => {
  it('gives each number once', () => {
    const numbers = listCodes().map((entry) => entry.code);
    expect(new Set(numbers).size).toBe(numbers.length);
  });

  it('finds a name by its number', () => {
    expect(findCodeName(2003)).toBe('team_rate_exceeded');
    expect(findCodeName(1)).toBeUndefined();
  });
});
