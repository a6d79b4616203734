import { describe, expect, it } from 'vitest';

import { parseFaultKinds } from '../src/faults';

describe('kinds of faults', () => {
  it('are read from a list with commas', () => {
    expect(parseFaultKinds('cut-link, kill-entry')._unsafeUnwrap()).toEqual([
      'cut-link',
      'kill-entry',
    ]);
  });

  it('are refused with the names that are none', () => {
    expect(parseFaultKinds('cut-link,cutlink,')._unsafeUnwrapErr()).toEqual(['cutlink', '']);
  });
});
