/** Structured logs on standard output: one JSON line each, with a prefix for each part. */
import { Roarr } from 'roarr';

/** The fields of a log line beside its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A log with a fixed prefix. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/**
 * Makes a log for one part. Lines appear when the environment has `ROARR_LOG=true`.
 *
 * @param prefix - the part's name, such as `entry.link`
 * @returns the log
 */
export function createLogger(prefix: string): Logger {
  const log = Roarr.child({ prefix });
  return {
    debug: (message, fields = {}) => log.debug(clean(fields), `[${prefix}] ${message}`),
    info: (message, fields = {}) => log.info(clean(fields), `[${prefix}] ${message}`),
    warn: (message, fields = {}) => log.warn(clean(fields), `[${prefix}] ${message}`),
    error: (message, fields = {}) => log.error(clean(fields), `[${prefix}] ${message}`),
  };
}

function clean(fields: LogFields): Record<string, string | number | boolean> {
  return Object.fromEntries(
    Object.entries(fields).filter(([, value]) => value !== undefined),
  ) as Record<string, string | number | boolean>;
}
