/** The settings of the fake engine. */
import { z } from 'zod';

import { CommonSettings, NO_COMMON_FAULTS } from '../fake-service';

/** The size, speed and faults of the fake engine. Fractions are from 0 to 1. */
export const EngineSettings = CommonSettings.extend({
  /** The maximum number of requests that run at the same time. */
  slots: z.number().int().min(1),
  /** The time of one step of the batch, in milliseconds. Each running request gets one token. */
  tokenMs: z.number().min(1),
  /** The number of input tokens that a request reads in one step. */
  prefillTokens: z.number().min(1),
  /** The maximum number of tokens that the prefix cache holds. */
  cacheTokens: z.number().min(0),
  /** The fraction of requests that take `stragglerFactor` steps per token. */
  stragglers: z.number().min(0).max(1),
  stragglerFactor: z.number().int().min(1),
  /** The time to load weights, in milliseconds. The trainer's requests pause meanwhile. */
  loadMs: z.number().min(0),
  /** The fraction of swaps that fail. */
  failSwaps: z.number().min(0).max(1),
  /** The fraction of swaps that get no response; half of them take effect. */
  unansweredSwaps: z.number().min(0).max(1),
  /** Whether orders with an older fencing number are refused. */
  checkFencing: z.boolean(),
  /** The interval at which the load report is refreshed, in milliseconds. */
  loadLagMs: z.number().min(1),
});

/** The size, speed and faults of the fake engine. */
export type EngineSettings = z.infer<typeof EngineSettings>;

/** The default settings. */
export const ENGINE_DEFAULTS: EngineSettings = {
  ...NO_COMMON_FAULTS,
  slots: 8,
  tokenMs: 5,
  prefillTokens: 256,
  cacheTokens: 65_536,
  stragglers: 0,
  stragglerFactor: 10,
  loadMs: 100,
  failSwaps: 0,
  unansweredSwaps: 0,
  checkFencing: true,
  loadLagMs: 200,
};
