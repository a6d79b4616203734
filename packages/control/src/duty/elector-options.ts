/** The options of an elector, and the durations and delays derived from them. */
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
const CLOCK_DRIFT_MS = 500;
const RENEWALS_PER_TTL = 3;
const RANK_STEP_MS = 250;
const RANKS_WITH_FIXED_DELAY = 8;

/** The log, the duty, this process's identity, and the timing of claims and leases. */
export interface DutyElectorOptions {
  readonly log: Log;
  /** A tail of the stream. The elector subscribes to it; the caller starts and stops it. */
  readonly tail: LogTail;
  readonly stream: StreamName;
  readonly duty: DutyName;
  /** This process's instance, which its records name as the holder. */
  readonly holder: InstanceId;
  readonly incarnation: IncarnationId;
  readonly clock: Clock;
  /** How long a lease lasts, counted from before its claim or renewal was sent. */
  readonly ttlMs?: Millis;
  /** The longest deadline of an order that is sent under the lease. */
  readonly orderDeadlineMs?: Millis;
  /** How far the clocks of two processes may drift apart during a lease. */
  readonly driftMs?: Millis;
  /** The time between renewals; a third of `ttlMs` by default. */
  readonly renewMs?: Millis;
  /** How much longer a candidate delays its claim than the candidate that ranks before it. */
  readonly rankStepMs?: Millis;
  /** The instances that may claim the duty. One that isn't listed delays its claim at random. */
  readonly candidates?: () => readonly InstanceId[];
  /**
   * Tells whether an incarnation has ended, so that nobody has to wait for the end of its lease.
   */
  readonly isEnded?: (incarnation: IncarnationId) => boolean;
  /** The time before which this process may not claim, see `DutyCooldown`. */
  readonly notBefore?: () => WallTime;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/** The durations that an elector uses, in milliseconds. */
export interface DutyTimings {
  /** How long a lease lasts. */
  readonly ttlMs: Millis;
  /** The time between renewals. */
  readonly renewMs: Millis;
  /**
   * How long a candidate waits after it read the last valid record of another holder: the lease,
   * an order sent at its end, and the clocks' drift.
   */
  readonly takeoverWaitMs: Millis;
}

/**
 * Derives the durations from the options and their defaults.
 *
 * @param options - the elector's options
 * @returns the durations, in milliseconds
 */
export function resolveTimings(options: DutyElectorOptions): DutyTimings {
  const { ttlMs = TTL_MS, orderDeadlineMs = ORDER_DEADLINE_MS, driftMs = CLOCK_DRIFT_MS } = options;
  const { renewMs = ttlMs / RENEWALS_PER_TTL } = options;
  return { ttlMs, renewMs, takeoverWaitMs: ttlMs + orderDeadlineMs + driftMs };
}

/**
 * Picks how long this process delays its claim, so that candidates don't claim at the same time.
 * The first candidates by rank have fixed delays. Lower ranks have random delays beyond those, and
 * a process that isn't a candidate has a random delay in the range of the fixed ones.
 *
 * @param options - the elector's options
 * @param random - the source of random delays
 * @returns the delay in milliseconds; zero for the preferred candidate of the duty
 */
export function pickClaimDelay(options: DutyElectorOptions, random: RandomSource): Millis {
  const { duty, holder, candidates, rankStepMs = RANK_STEP_MS } = options;
  const rank = rankCandidates(duty, candidates?.() ?? []).indexOf(holder);
  if (rank < 0) return random.fraction() * rankStepMs * RANKS_WITH_FIXED_DELAY;
  if (rank >= RANKS_WITH_FIXED_DELAY)
    return (RANKS_WITH_FIXED_DELAY + random.fraction() * RANKS_WITH_FIXED_DELAY) * rankStepMs;
  return rank * rankStepMs;
}
