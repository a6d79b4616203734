import { describe, expect, it } from 'vitest';

import type { FaultKind } from '../src/faults';
import { proveRequests } from '../src/request-proof';

const RUN_MS = 4000;
const TEST_TIMEOUT_MS = 120_000;

// Each run starts real processes and checks invariants, never latencies.
const RUNS: readonly { seed: number; kinds: readonly FaultKind[] }[] = [
  { seed: 11, kinds: ['kill-agent', 'crash-target'] },
  { seed: 12, kinds: ['silence-link', 'cut-link'] },
  { seed: 13, kinds: ['freeze-agent', 'freeze-entry', 'kill-entry'] },
  { seed: 14, kinds: ['platform-outage', 'lose-answers', 'leave-target'] },
];

describe('requests under faults', () => {
  it.each(RUNS)(
    'get one complete response, run at most once, and are refused truthfully: $kinds (seed $seed)',
    async ({ seed, kinds }) => {
      const result = await proveRequests({
        seed,
        faultKinds: kinds,
        spanMs: RUN_MS,
        faultCount: 3,
      });
      expect(result.violations).toEqual([]);
      expect(result.summary.calls).toBeGreaterThan(0);
    },
    TEST_TIMEOUT_MS,
  );
});
