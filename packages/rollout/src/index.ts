/** Trainers, steps, samples and weight versions. */
export { SegmentCollector, digestRun, isLabelled, readResumeFrom } from './segments';
export type { Segment, SegmentCollectorOptions, TokenRun } from './segments';

export { SampleRunner, encodeGenerate, nameSample } from './samples';
export type { PayloadRef, RunOptions, SampleAnswer, SampleSpec } from './samples';

export { RECORD_KINDS, SampleGroup } from './records';
export type { NumberedSample } from './records';

export { TrainerHistory } from './history';
export type { ClaimReader } from './history';
export { DutyClaims, nameDuty, nameStream, readFencing } from './fencing';
export { StepHistory } from './step-history';

export { isStale, measureStaleness } from './staleness';
export type { PublishedVersion, Staleness } from './staleness';

export { NoHedging, StragglerPolicy, TailHedging } from './stragglers';
export type { RunningSample, StragglerView, TailHedgingOptions } from './stragglers';

export { TrainerDesk } from './desk';
export type {
  OwnerLease,
  SampleQuery,
  StepCreated,
  TrainerDeskDeps,
  WeightsPublished,
} from './desk-types';
export { DEFAULT_OWNER_BOUNDS } from './owner-term';
export type { OwnerBounds } from './owner-term';
export type { DeliveredSample, SamplePage } from './sample-page';

export { OwnerDirectory, TrainerService } from './trainer-service';
export type { TrainerCall, TrainerReply, TrainerServiceDeps } from './trainer-service';
export { registerTrainerRoutes } from './routes';
export type { TrainerRoutesDeps } from './routes';

export { EngineWeights, WeightSource } from './engine-weights';
export type { LoadOrder } from './engine-weights';
export { WeightApplier } from './applier';
export type { ServedVersion, WeightApplierDeps } from './applier';
export { WeightOrders } from './weight-orders';
export type { SwapTarget, WeightOrder, WeightState } from './weight-orders';
export { AllAtOnce, SlidingWaves, WavePolicy } from './waves';
export type { WaveView } from './waves';
export { WaveSwapper } from './swapper';
export type { SwapProgress, SwapperBounds, WaveSwapperDeps } from './swapper';
