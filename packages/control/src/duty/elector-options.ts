/** What a duty's keeper runs on, and its times. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Metrics,
  Millis,
  RandomSource,
  WallTime,
} from '@hibiscushill/base';
import type { Log, LogTail, StreamName } from '@hibiscushill/log';

import { rankCandidates } from './rank';
import type { DutyName } from './records';

const TTL_MS = 7_500;
const ORDER_DEADLINE_MS = 1_000;
const DRIFT_MS = 500;
const RENEWALS_PER_TTL = 3;
const RANK_STEP_MS = 250;
const RANKS = 8;

/** How a duty is kept. */
export interface DutyKeeperOptions {
  readonly log: Log;
  /** A tail of the stream; the keeper subscribes to it and doesn't start it. */
  readonly tail: LogTail;
  readonly stream: StreamName;
  readonly duty: DutyName;
  readonly holder: InstanceId;
  readonly incarnation: IncarnationId;
  readonly clock: Clock;
  /** How long a lease runs from before its claim or renewal was sent. */
  readonly ttlMs?: Millis;
  /** The longest deadline of an order under the lease. */
  readonly orderDeadlineMs?: Millis;
  /** How far two processes' clocks may drift apart over a lease. */
  readonly driftMs?: Millis;
  /** The period of the renewals; a third of the lease when left out. */
  readonly renewMs?: Millis;
  /** The step between challengers by their rank. */
  readonly rankStepMs?: Millis;
  /** The instances that may claim the duty; an empty list spreads claims at random. */
  readonly candidates?: () => readonly InstanceId[];
  /** Tells whether an incarnation is known to have ended, so that its lease needs no waiting. */
  readonly isEnded?: (incarnation: IncarnationId) => boolean;
  /** Before when this process may not claim, so that a duty doesn't return to it too soon. */
  readonly notBefore?: () => WallTime;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/** The times of a duty, in milliseconds. */
export interface DutyTimes {
  readonly ttlMs: Millis;
  readonly renewMs: Millis;
  /** How long a challenger waits from when it read the last record that counted. */
  readonly patienceMs: Millis;
}

/**
 * Reads a duty's times from its options.
 *
 * @param options - the keeper's options
 * @returns the times, with defaults for what is left out
 */
export function readTimes(options: DutyKeeperOptions): DutyTimes {
  const { ttlMs = TTL_MS, orderDeadlineMs = ORDER_DEADLINE_MS, driftMs = DRIFT_MS } = options;
  const { renewMs = ttlMs / RENEWALS_PER_TTL } = options;
  return { ttlMs, renewMs, patienceMs: ttlMs + orderDeadlineMs + driftMs };
}

/**
 * Picks how long a challenger holds its claim back, so that challengers don't claim together.
 *
 * @param options - the keeper's options
 * @param random - chance, for a process that isn't among the candidates
 * @returns a duration in milliseconds; zero for the duty's preferred candidate
 */
export function pickSpread(options: DutyKeeperOptions, random: RandomSource): Millis {
  const { duty, holder, candidates, rankStepMs = RANK_STEP_MS } = options;
  const rank = rankCandidates(duty, candidates?.() ?? []).indexOf(holder);
  if (rank < 0) return random.fraction() * rankStepMs * RANKS;
  if (rank >= RANKS) return (RANKS + random.fraction() * RANKS) * rankStepMs;
  return rank * rankStepMs;
}
