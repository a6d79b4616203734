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
