/** Duties and leases on the log, usage windows and scaling. */
export { ClaimTracker } from './duty/claim-tracker';
export type { DutyRecordEffect, CurrentClaim } from './duty/claim-tracker';

export { DutyElector } from './duty/elector';
export type { DutyElectorOptions, DutyTimings } from './duty/elector-options';

export { Lease } from './duty/lease';

export { DutyCooldown } from './duty/cooldown';

export { TailClaimTracker } from './duty/tail-claim-tracker';

export { ProjectionReader } from './duty/projection-reader';
export type { StreamProjection } from './duty/projection-reader';

export { rankCandidates } from './duty/rank';

export { DUTY_KINDS, NO_CLAIM, parseDutyRecord } from './duty/records';
export type { Claim, DutyName, DutyRecord, ClaimUpdate } from './duty/records';

export { FencedSender } from './order/fenced-sender';
export type { FencedSenderOptions, WriteOrder } from './order/fenced-sender';

export { UsageBatcher } from './usage/batcher';
export type { AgentItem, UsageBatcherOptions } from './usage/batcher';

export { UsageReporter } from './usage/reporter';
export type { UsageReporterOptions } from './usage/reporter';

export { USAGE_DUTY, USAGE_KINDS, parseUsageRecord } from './usage/records';
export type {
  ClosedWindow,
  UsageClose,
  UsageDelta,
  UsageItem,
  UsageRecord,
  UsageSnapshot,
  WindowStart,
} from './usage/records';

export { UsageWindows } from './usage/windows';
export type { WindowFigures, UsageWindowsOptions } from './usage/windows';

export { DemandAggregator } from './scaling/demand';
export type { DemandTotals, DemandRow, EntryDemand } from './scaling/demand';

export { FixedCountPolicy, ScalingPolicy, UtilisationPolicy } from './scaling/policy';
export type { ScalingDecision, ScalingInput, UtilisationPolicyOptions } from './scaling/policy';

export { simulateScaling } from './scaling/simulation';
export type { ScalingSimulationOptions, ScalingSimulationResult } from './scaling/simulation';

export { TargetScaler } from './scaling/scaler';
export type { CountTargetRequests, TargetScalerOptions } from './scaling/scaler';

export { ControlTasks } from './tasks';
export type { ControlTasksOptions } from './tasks';
