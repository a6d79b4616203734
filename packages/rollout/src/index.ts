/** The public interface of the package: trainers, their steps and samples, and weight swaps. */
export { SegmentCollector, digestTokens, coversEveryToken, readResumeFrom } from './segments';
export type { Segment, SegmentCollectorOptions, LabelledTokens } from './segments';

export { SampleRunner, encodeGenerateBody, formatSampleId } from './sample-runner';
export type { PayloadRef, RunOptions, GeneratedSample, SampleSpec } from './sample-runner';

export { RECORD_KINDS, SampleGroup } from './records';
export type { NumberedSample } from './records';

export { TrainerState } from './trainer-state';
export type { ClaimReader } from './trainer-state';
export { DutyClaims, formatDutyName, formatStreamName, readHighestFencing } from './fencing';
export { StepState } from './step-state';

export { isStale, measureStaleness } from './staleness';
export type { PublishedVersion, Staleness } from './staleness';

export { NoHedging, StragglerPolicy, TailHedging } from './stragglers';
export type { RunningSample, StepProgress, TailHedgingOptions } from './stragglers';

export { TrainerCoordinator } from './trainer-coordinator';
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

export { EngineWeightsClient, WeightFetcher } from './engine-weights';
export type { LoadOrder } from './engine-weights';
export { WeightLoader } from './weight-loader';
export type { ServedVersion, WeightLoaderDeps } from './weight-loader';
export { WeightOrderSender } from './weight-orders';
export type { SwapTarget, WeightOrder, WeightState } from './weight-orders';
export { AllAtOnce, RollingUpdate, SwapPolicy } from './swap-policy';
export type { SwapCounts } from './swap-policy';
export { WeightSwapper } from './weight-swapper';
export type { SwapProgress, SwapperOptions, WeightSwapperDeps } from './weight-swapper';
