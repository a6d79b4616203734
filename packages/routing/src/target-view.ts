/** What an entry knows about a target when it chooses one. */
import type { MonoTime, TargetId, TrainerId, WeightVersion, ZoneId } from '@hibiscushill/base';

/** The load that a target's agent reported last. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  readonly queuedTokens: number;
  readonly slots: number;
  /** When this entry received the report. */
  readonly atMono: MonoTime;
}

/** A target, as one entry sees it. */
export interface TargetView {
  readonly id: TargetId;
  readonly zone: ZoneId;
  /** Attempts of this entry that are open at the target. */
  readonly inFlight: number;
  readonly reported: ReportedLoad;
  /** Attempts that this entry has sent since it received the report. */
  readonly sentSinceReport: number;
  /** Attempts of this entry that have ended since it received the report. */
  readonly endedSinceReport?: number;
  readonly leaving: boolean;
  readonly ejected: boolean;
  readonly ready: boolean;
  /** The weight version that the target serves for each trainer. */
  readonly weights?: ReadonlyMap<TrainerId, WeightVersion>;
}

/**
 * Tells whether a target may take new work.
 *
 * @param target - the target
 * @returns false when it is leaving, ejected or not ready
 */
export function isAvailable(target: TargetView): boolean {
  return target.ready && !target.leaving && !target.ejected;
}

/**
 * Estimates the attempts at a target: the reported ones, changed by those sent and ended since, and never fewer
 * than this entry's own.
 *
 * @param target - the target
 * @returns a number of attempts
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
 * @returns attempts for each slot; 1 when every slot is taken
 */
export function estimateLoad(target: TargetView): number {
  return estimateAttempts(target) / Math.max(1, target.reported.slots);
}
