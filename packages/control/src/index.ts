/** Duties and leases on the log, usage windows and scaling. */
export { ClaimHistory } from './duty/history';
export type { DutyVerdict, PresentClaim } from './duty/history';

export { DutyKeeper } from './duty/keeper';
export type { DutyKeeperOptions } from './duty/keeper';

export { Lease } from './duty/lease';

export { rankCandidates } from './duty/rank';

export { DUTY_KINDS, NO_CLAIM, parseDutyRecord } from './duty/records';
export type { Claim, DutyName, DutyRecord, Sign } from './duty/records';
