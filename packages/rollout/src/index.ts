/** The public interface of the package: trainers, their steps and samples, and weight swaps. */
export { SegmentCollector, digestTokens, coversEveryToken, readResumeFrom } from './segments';
export type { Segment, SegmentCollectorOptions, TokenRun } from './segments';

export { SampleRunner, encodeGenerateBody, formatSampleId } from './sample-runner';
export type { PayloadRef, RunOptions, SampleAnswer, SampleSpec } from './sample-runner';

export { RECORD_KINDS, SampleGroup } from './records';
export type { NumberedSample } from './records';

export { TrainerState } from './trainer-state';
export type { ClaimReader } from './trainer-state';
export { DutyClaims, formatDutyName, formatStreamName, readFencing } from './fencing';
export { StepState } from './step-state';

export { isStale, measureStaleness } from './staleness';
export type { PublishedVersion, Staleness } from './staleness';

export { NoHedging, StragglerPolicy, TailHedging } from './stragglers';
export type { RunningSample, StepProgress, TailHedgingOptions } from './stragglers';

export { TrainerDesk } from './trainer-coordinator';
export type {
  OwnerLease,
  SampleQuery,
  StepCreated,
  TrainerCoordinatorDeps,
  WeightsPublished,
} from './trainer-coordinator-types';
export { DEFAULT_OWNER_LIMITS } from './owner-term';
export type { OwnerLimits } from './owner-term';
export type { DeliveredSample, SamplePage } from './sample-page';

export { OwnerDirectory, TrainerService } from './trainer-service';
export type { TrainerCall, TrainerReply, TrainerServiceDeps } from './trainer-service';
export { registerTrainerRoutes } from './routes';
export type { TrainerRoutesDeps } from './routes';

export { EngineWeights, WeightSource } from './engine-weights';
export type { LoadOrder } from './engine-weights';
export { WeightApplier } from './weight-loader';
export type { ServedVersion, WeightLoaderDeps } from './weight-loader';
export { WeightOrders } from './weight-orders';
export type { SwapTarget, WeightOrder, WeightState } from './weight-orders';
export { AllAtOnce, SlidingWaves, SwapPolicy } from './swap-policy';
export type { SwapCounts } from './swap-policy';
export { WaveSwapper } from './weight-swapper';
export type { SwapProgress, SwapperOptions, WeightSwapperDeps } from './weight-swapper';
