/** Structured logs on standard output: one JSON object a line, with a prefix for each component. */
import { Roarr } from 'roarr';

/** The fields of a log line in addition to its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines with a fixed prefix. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/**
 * Creates a logger for one component. Lines are written if the environment has `ROARR_LOG=true`.
 *
 * @param prefix - the component's name, such as `entry.link`
 * @returns the logger
 */
export function createLogger(prefix: string): Logger {
  const log = Roarr.child({ prefix });
  return {
    debug: (message, fields = {}) => log.debug(omitUndefined(fields), `[${prefix}] ${message}`),
    info: (message, fields = {}) => log.info(omitUndefined(fields), `[${prefix}] ${message}`),
    warn: (message, fields = {}) => log.warn(omitUndefined(fields), `[${prefix}] ${message}`),
    error: (message, fields = {}) => log.error(omitUndefined(fields), `[${prefix}] ${message}`),
  };
}

function omitUndefined(fields: LogFields): Record<string, string | number | boolean> {
  return Object.fromEntries(
    Object.entries(fields).filter(([, value]) => value !== undefined),
  ) as Record<string, string | number | boolean>;
}
