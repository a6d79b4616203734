/** What may be set on the engine stand-in. */
import { z } from 'zod';

import { CommonSettings, NO_COMMON_FAULTS } from '../stand-in';

/** The engine's size, speed and faults. Shares are from 0 to 1. */
export const EngineSettings = CommonSettings.extend({
  /** The most requests that run at once. */
  slots: z.number().int().min(1),
  /** The time of one step of the batch, in milliseconds: one token for each running request. */
  tokenMs: z.number().min(1),
  /** How many prompt tokens a request reads in one step. */
  prefillTokens: z.number().min(1),
  /** The most tokens that the prefix cache holds. */
  cacheTokens: z.number().min(0),
  /** The share of requests that take `stragglerFactor` steps a token. */
  stragglers: z.number().min(0).max(1),
  stragglerFactor: z.number().int().min(1),
  /** How long new weights take to load, in milliseconds; their requests stand still meanwhile. */
  loadMs: z.number().min(0),
  /** The share of swaps that fail. */
  failSwaps: z.number().min(0).max(1),
  /** The share of swaps without an answer; half of them take effect. */
  unansweredSwaps: z.number().min(0).max(1),
  /** Whether orders with an older fencing number are refused. */
  checkFencing: z.boolean(),
  /** How old the load report may be, in milliseconds. */
  loadLagMs: z.number().min(1),
});

/** The engine's size, speed and faults. */
export type EngineSettings = z.infer<typeof EngineSettings>;

/** The settings when nothing is set. */
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
