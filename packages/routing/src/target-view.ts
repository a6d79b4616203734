/** What an entry knows about a target when it chooses one. */
import type { MonoTime, TargetId, TrainerId, WeightVersion, ZoneId } from '@hibiscushill/base';

/** The latest load report of a target's agent. */
export interface ReportedLoad {
  /** Attempts that occupy a slot. */
  readonly running: number;
  /** Attempts that wait for a slot. */
  readonly queued: number;
  /** The estimated cost of the queued attempts, in tokens. */
  readonly queuedTokens: number;
  /** Attempts that the target can run at once. */
  readonly slots: number;
  /** When this entry received the report. */
  readonly receivedAt: MonoTime;
}

/** The state of a target as one entry sees it. */
export interface TargetView {
  readonly id: TargetId;
  readonly zone: ZoneId;
  /** This entry's open attempts at the target. */
  readonly inFlight: number;
  readonly reported: ReportedLoad;
  /** Attempts that this entry has sent since it received the report. */
  readonly sentSinceReport: number;
  /** This entry's attempts that have ended since it received the report. */
  readonly endedSinceReport?: number;
  /** Whether the target is being taken out of service. */
  readonly leaving: boolean;
  /** Whether the target is excluded for a time because it failed. */
  readonly ejected: boolean;
  /** Whether the agent has reported that the target is ready. */
  readonly ready: boolean;
  /** The weight version that the target serves for each trainer. */
  readonly weights?: ReadonlyMap<TrainerId, WeightVersion>;
}

/**
 * Checks whether a target may take new work.
 *
 * @param target - the target
 * @returns false when it is leaving, ejected or not ready
 */
export function isAvailable(target: TargetView): boolean {
  return target.ready && !target.leaving && !target.ejected;
}

/**
 * Estimates the number of attempts at a target, running and queued: the reported number, corrected
 * by this entry's attempts that were sent or ended since, and at least this entry's open attempts.
 *
 * @param target - the target
 * @returns the estimated number of attempts
 */
export function estimateAttempts(target: TargetView): number {
  const { inFlight, reported, sentSinceReport, endedSinceReport = 0 } = target;
  const { running, queued } = reported;
  return Math.max(inFlight, running + queued + sentSinceReport - endedSinceReport);
}

/**
 * Estimates a target's load.
 *
 * @param target - the target
 * @returns the estimated number of attempts for each slot; 1 when every slot is occupied
 */
export function estimateLoad(target: TargetView): number {
  return estimateAttempts(target) / Math.max(1, target.reported.slots);
}
