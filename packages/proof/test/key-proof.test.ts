import { describe, expect, it } from 'vitest';

import { KEY_SITUATIONS, proveWithdrawal } from '../src/key-proof';

const TEST_TIMEOUT_MS = 120_000;

describe('a withdrawn key', () => {
  it.each(KEY_SITUATIONS)(
    'stops working within the time limit: %s',
    async (situation) => {
      const result = await proveWithdrawal(situation, 41);
      expect(result.violations).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
