/** Target choice, limits, queues, retries and ejection. */
export { estimateAttempts, estimateLoad, isAvailable } from './target-view';
export type { ReportedLoad, TargetView } from './target-view';

export { RandomTargetPolicy, TargetPolicy, listCandidates } from './target-policy';
export type { ChoiceRequest } from './target-policy';

export { AffinityTargetPolicy } from './affinity-policy';
export type { AffinityOptions } from './affinity-policy';

export { RendezvousKey } from './hashing';

export { chooseSubset } from './subset';

export { AdmissionPolicy, OpenAdmission } from './admission-policy';
export type { Admission, AdmissionRequest } from './admission-policy';

export { BoundedAdmission } from './bounded-admission';
export type { BoundedAdmissionOptions } from './bounded-admission';

export { spreadRetryAfter } from './retry-after';

export { ShareTracker } from './share-tracker';
export type { ShareOptions } from './share-tracker';

export { WaitEstimator } from './wait-estimator';
export type { ServedReport } from './wait-estimator';

export { FifoQueue, QueuePolicy } from './queue-policy';
export type { QueueBounds, QueueItem } from './queue-policy';

export { FairQueue } from './fair-queue';

export { RetryBudget } from './retry-budget';
export type { RetryBudgetOptions } from './retry-budget';

export { NoRetry, RetryPolicy, SafeRetryPolicy } from './retry-policy';
export type { RetryContext, RetryDecision, SafeRetryOptions } from './retry-policy';

export { HedgePolicy, NoHedge, QuantileHedge } from './hedge-policy';
export type { HedgeRequest, QuantileHedgeOptions } from './hedge-policy';

export { Ejector } from './ejector';
export type { EjectorOptions, TargetOutcome } from './ejector';

export { IndexedHeap } from './indexed-heap';
