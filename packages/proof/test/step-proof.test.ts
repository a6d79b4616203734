import { describe, expect, it } from 'vitest';

import { proveSteps } from '../src/step-proof';

const TEST_TIMEOUT_MS = 180_000;

describe('samples under faults', () => {
  it(
    'are labelled correctly, fresh, and delivered once (seed 21)',
    async () => {
      const result = await proveSteps({
        seed: 21,
        stepCount: 3,
        faultCount: 3,
        spanMs: 5000,
        faultKinds: ['kill-agent', 'crash-target', 'kill-entry', 'silence-link'],
      });
      expect(result.violations).toEqual([]);
      expect(result.summary.steps).toBe(9);
    },
    TEST_TIMEOUT_MS,
  );
});
