/** Typed clients of the platform interfaces. */
export { Log } from './log';
export type {
  AppendOptions,
  AppendOutcome,
  LogPage,
  LogRecord,
  NewRecord,
  ReadOptions,
  StreamBounds,
  StreamName,
} from './log';

export { Backoff } from './backoff';
export type { BackoffOptions } from './backoff';

export { KeyedLog } from './keyed-log';
export type { KeyedPage, KeyedReadOptions, KeyedRecord, KeyedSnapshot } from './keyed-log';

export { KeyedReader, KeyedTail } from './keyed-tail';
export type { KeyedTailOptions } from './keyed-tail';

export { GuardedSender } from './guarded-sender';
export type { GuardedCall } from './guarded-sender';

export { DetourClient } from './detour-client';
export type { DetourOptions } from './detour-client';

export { MeteredCaller } from './metered-caller';
export type { MeteredOptions } from './metered-caller';

export { LogRelay } from './relay';

export { HttpLog } from './http-log';
export type { HttpLogOptions } from './http-log';
export { HttpCaller, HttpClient, classifyRefusal, readAnswer } from './http-client';
export type { HttpAnswer, HttpCall, HttpClientOptions } from './http-client';

export { MemoryLog } from './memory-log';
export type { AppendEvent, LogFaults, MemoryLogOptions } from './memory-log';

export { LogTail } from './log-tail';
export type { LogTailOptions, TrimGap } from './log-tail';

export { appendOnce } from './append-once';
export type { AppendOnceOptions } from './append-once';

export { TargetOrders } from './target-orders';
export type { GuardOptions, OrderReceipt, TargetOrder, ZoneTargets } from './target-orders';

export { UsageReports } from './usage-reports';
export type { ReportedWindow, UsageFigure, UsageReport } from './usage-reports';

export { InstanceList } from './instance-list';
export type { ListedInstance, WatchOptions } from './instance-list';

export { WeightStore } from './weight-store';
export type { FetchOptions } from './weight-store';
