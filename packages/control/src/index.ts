/** Duties and leases on the log, usage windows and scaling. */
export { ClaimHistory } from './duty/history';
export type { DutyVerdict, PresentClaim } from './duty/history';

export { DutyKeeper } from './duty/keeper';
export type { DutyKeeperOptions, DutyTimes } from './duty/keeper-options';

export { Lease } from './duty/lease';

export { DutyTurns } from './duty/turns';

export { TailClaims } from './duty/tail-claims';

export { FoldReader } from './duty/reading';
export type { RecordFold } from './duty/reading';

export { rankCandidates } from './duty/rank';

export { DUTY_KINDS, NO_CLAIM, parseDutyRecord } from './duty/records';
export type { Claim, DutyName, DutyRecord, Sign } from './duty/records';

export { FencedSender } from './order/sender';
export type { FencedSenderOptions, WriteOrder } from './order/sender';

export { UsageLedger } from './usage/ledger';
export type { AgentItem, UsageLedgerOptions } from './usage/ledger';

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
export type { Closing, UsageWindowsOptions } from './usage/windows';

export { DemandSummary } from './scaling/demand';
export type { Demand, DemandRow, EntryDemand } from './scaling/demand';

export { FixedCountPolicy, ScalingPolicy, TargetUtilisationPolicy } from './scaling/policy';
export type { ScalingDecision, ScalingInput, TargetUtilisationOptions } from './scaling/policy';

export { runScalingExperiment } from './scaling/experiment';
export type { ScalingExperiment, ScalingOutcome } from './scaling/experiment';

export { TargetScaler } from './scaling/scaler';
export type { RunningWork, TargetScalerOptions } from './scaling/scaler';

export { ControlTasks } from './tasks';
export type { ControlTasksOptions } from './tasks';
