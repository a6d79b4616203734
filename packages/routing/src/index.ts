/** Target choice, admission control, queues, retries, hedging and outlier ejection. */
export { BegunStreams, decideContinuation, isSameOrigin } from './begun-streams';
export type { StreamOrigin } from './begun-streams';

export { estimateAttempts, estimateLoad, isAvailable } from './target-view';
export type { ReportedLoad, TargetView } from './target-view';

export { RandomTargetPolicy, TargetPolicy, listCandidates } from './target-policy';
export type { TargetChoiceRequest } from './target-policy';

export { AffinityTargetPolicy } from './affinity-target-policy';
export type { AffinityTargetPolicyOptions } from './affinity-target-policy';

export { ByteBudget } from './byte-budget';

export { mayAcceptSubmission } from './submission-admission';

export { listStalledResponses } from './unread-responses';
export type { UnreadResponse } from './unread-responses';

export { decideAccess, mayAccessWork } from './caller-access';
export type { AccessBasis, AccessDecision, AccessFacts, CallerAccess } from './caller-access';

export { CallerMemory, MAX_SMALL_BYTES, MemoryClaim, chooseYielding } from './caller-memory';
export type { ArrivingRequest, CallerMemoryLimits } from './caller-memory';

export { findLongestInactive, listExcessHeads } from './connection-limit';
export type { ConnectionView } from './connection-limit';

export {
  computeCallerMemory,
  computeConnectionLimits,
  computeResponseMemory,
} from './machine-shares';
export type { ConnectionLimits, MachineLimits } from './machine-shares';

export { RendezvousKey } from './rendezvous-key';

export { chooseTargetSubset } from './target-subset';

export { AdmissionPolicy, UnboundedAdmission } from './admission-policy';
export type { Admission, AdmissionRequest } from './admission-policy';

export { BoundedAdmission } from './bounded-admission';
export type { BoundedAdmissionOptions } from './bounded-admission';

export { jitterRetryAfter } from './retry-after';

export { RateMeter } from './rate-meter';

export { ShareTracker } from './share-tracker';
export type { ShareTrackerOptions } from './share-tracker';

export { WaitEstimator } from './wait-estimator';
export type { QueueReport } from './wait-estimator';

export { FifoQueue, QueuePolicy } from './queue-policy';
export type { QueueBounds, QueueItem } from './queue-policy';

export { FairQueue } from './fair-queue';

export { findPartialEvent, findTruncation } from './response-end';
export type { ResponseEnd, StreamEnd } from './response-end';

export { RetryBudget } from './retry-budget';
export type { RetryBudgetOptions } from './retry-budget';

export { NoRetryPolicy, RetryPolicy, SafeRetryPolicy } from './retry-policy';
export type { RetryContext, RetryDecision, SafeRetryPolicyOptions } from './retry-policy';

export { HedgePolicy, NoHedgePolicy, QuantileHedgePolicy } from './hedge-policy';
export type { HedgeRequest, QuantileHedgePolicyOptions } from './hedge-policy';

export { SpeedHedge, findOverdueMs } from './speed-hedge';
export type { HedgeDecision, HedgeTarget, OpenRequest } from './speed-hedge';

export { StepOrder } from './step-order';
export type { GroupClass, RankedGroup, StepEngines, StepGroup, TrainingStep } from './step-order';

export { TargetSpeeds } from './target-speeds';

export { OutlierEjector } from './outlier-ejector';
export type { OutlierEjectorOptions, TargetOutcome } from './outlier-ejector';

export { IndexedHeap } from './indexed-heap';

export { LeavingStatements } from './leaving-statements';
export type { LeavingStatement, RegisteredIncarnation } from './leaving-statements';
export { AllowedRegions } from './allowed-regions';
export { ColdTargets, computeColdRate } from './cold-targets';
export type { ColdBound, ColdPeriod, ColdReason } from './cold-targets';

export { LeavingTargets } from './leaving-targets';

export { LimitShares } from './limit-shares';
export type { DemandByTarget, LimitSharesOptions } from './limit-shares';

export type { LimitChange } from './named-limits';

export { TargetLimits } from './target-limits';
export type { ColdLimit, LimitedTarget, TargetLimitsOptions } from './target-limits';

export { SuspectRequests } from './suspect-requests';
export type {
  KnownSuspect,
  RunPermit,
  SuspectChange,
  SuspectFact,
  TrialClaim,
} from './suspect-requests';

export { assignSlots, canMoveTo } from './run-moves';
export type { LeavingRun, RunNeeds, SlotGroup } from './run-moves';

export { chooseServiceAtRandom, chooseServiceForKey, listServing } from './service-split';
export type { CanServe, SplitService } from './service-split';

export { ShutdownSchedule } from './shutdown-schedule';

export { describeMismatch, judgeAnswer } from './answer-owner';
export type { AnswerHead, AnswerKind } from './answer-owner';

export { AdaptivePace, PacePolicy } from './target-pace';
export type { AdaptivePaceOptions, PacedResponse } from './target-pace';
