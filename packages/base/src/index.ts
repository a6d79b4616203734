/** Clocks, ids, result codes, settings, logs, metrics, connections, buffers and random numbers. */
export { Clock, ManualClock, SystemClock } from './clock';
export type { Millis, MonoTime, WallTime } from './clock';

export { SuspendAwareClock } from './suspend-aware-clock';

export { createId } from './ids';
export type {
  AttemptId,
  Brand,
  ConfigVersion,
  ContentDigest,
  FencingNumber,
  IncarnationId,
  InstanceId,
  KeyId,
  Offset,
  RecordId,
  RequestId,
  SampleId,
  ServiceId,
  SoftwareVersion,
  StreamKey,
  StepId,
  TargetId,
  TeamId,
  TrainerId,
  WeightVersion,
  RegionId,
  ZoneId,
} from './ids';

export { RESULT_CODES, createFailure, findCodeName, listCodes } from './codes';
export type { CodeName, Failure, ResultCode, RunState } from './codes';

export { createSetting, integerText, listText, readSettings, requiredText } from './settings';
export type { Setting, SettingProblem, SettingTable, SettingValues } from './settings';

export { createLogger } from './logger';
export type { LogFields, Logger } from './logger';

export { GrowingBuffer } from './growing-buffer';

export { onConnectionReset } from './connection-reset';

export { HOP_BY_HOP_HEADERS } from './hop-by-hop-headers';

export { LogRateLimiter } from './log-rate-limiter';
export type { LogRateLimiterOptions } from './log-rate-limiter';

export { LogWriter, installLogWriter } from './log-writer';
export type { WriteChunk } from './log-writer';

export { PrometheusMetrics } from './prometheus-metrics';

export { Metrics } from './metrics';
export type { MetricsOptions } from './metrics';

export { RandomSource, createRandomSource } from './random';
