/** The gateway: forwards requests, runs submissions, and loads weights into model engines. */
export { CallerHandler, CallerReply } from './caller-port';
export type {
  CallerRequest,
  ItemResult,
  ItemSpec,
  Outcome,
  GatewayAnswer,
  ResultPage,
  RewardSpec,
  Screening,
  SubmissionCall,
  SubmissionSpec,
} from './caller-port';

export {
  ByteBudget,
  CallerMemory,
  MAX_SMALL_BYTES,
  computeCallerMemory,
  computeConnectionLimits,
  findLongestInactive,
  jitterRetryAfter,
  listExcessHeads,
  listStalledResponses,
} from '@hibiscushill/routing';
export type {
  CallerMemoryLimits,
  ConnectionLimits,
  ConnectionView,
  MachineLimits,
  MemoryClaim,
  UnreadResponse,
} from '@hibiscushill/routing';

export { ConfigTracker } from './config-tracker';
export type { ConfigTrackerOptions, FreshnessSource } from './config-tracker';

export { ConfigView } from './config-view';

export { EngineControl, UsageSink } from './control-port';
export type {
  EngineReport,
  FencingToken,
  OrderOutcome,
  TeamCounts,
  WeightOrder,
} from './control-port';

export { TargetDirectory } from './target-directory';
export type { LeaveNotice, TargetRegistration } from './target-directory';

export { ColdTargetTracker } from './cold-target-tracker';
export type { ColdNotice } from './cold-target-tracker';
export { TargetLimiter } from './target-limiter';
export type { LimitNotice } from './target-limiter';

export { Gateway } from './gateway';
export type { GatewayOptions } from './gateway';

export { ExchangeSink, HttpExchanger } from './http-exchange';
export type { AbortExchange, ExchangeError, ExchangeRequest } from './http-exchange';

export { CONTROL_DUTY } from './control-duty';

export { GatewayNode } from './gateway-node';
export type { GatewayNodeBounds, GatewayNodeOptions, StatementReceivers } from './gateway-node';

export { createGatewayAnswer } from './gateway-answer';

export type {
  CallerLimits,
  ModelId,
  RouteBackend,
  RouteKind,
  ServingConfig,
  ServingRoute,
  ServingService,
  ServingTeam,
  ServingVersion,
  WarmUp,
} from './serving-config';

export type { ItemId, SubmissionId } from './submission';

export { EventReader, TargetResponseSink, TargetClient } from './target-port';
export type {
  AbortCall,
  CallFailure,
  StreamEnd,
  StreamEvent,
  ResponseFlow,
  TargetResponseHead,
  TargetCall,
  ReportedLoad,
} from './target-port';

export type { WeightChangeMode } from './weight-planner';
