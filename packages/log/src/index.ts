/**
 * Typed clients of the platform's services: the log, target orders, usage reports, the instance
 * list and the weight store.
 */
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

export { KeyedRecordHandler, KeyedTail } from './keyed-tail';
export type { KeyedTailOptions } from './keyed-tail';

export { GuardedSender } from './guarded-sender';
export type { GuardedRequest } from './guarded-sender';

export { RelayFallbackTransport } from './relay-fallback-transport';
export type { RelayFallbackOptions } from './relay-fallback-transport';

export { MeteredTransport } from './metered-transport';
export type { MeteredTransportOptions } from './metered-transport';

export { LogRelay } from './log-relay';

export { HttpLog } from './http-log';
export type { HttpLogOptions } from './http-log';
export { HttpTransport, HttpClient, createStatusFailure, readJsonResponse } from './http-transport';
export type { HttpResponse, HttpRequest, HttpClientOptions } from './http-transport';

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
