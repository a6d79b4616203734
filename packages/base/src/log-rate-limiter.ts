/** A limit on the rate at which a process writes log lines. */
import type { Clock, Millis } from './clock';
import type { LogFields, Logger } from './logger';

const DEFAULT_LINES_PER_SECOND = 200;
const DEFAULT_BURST_LINES = 400;
const MS_PER_SECOND = 1_000;

/** The clock and the limits of {@link LogRateLimiter}. */
export interface LogRateLimiterOptions {
  readonly clock: Clock;
  readonly linesPerSecond?: number;
  /** The most lines that may be written at once after a pause. */
  readonly burstLines?: number;
}

/** A token bucket for log lines, which counts the lines that it omits. */
export class LogRateLimiter {
  readonly #clock: Clock;

  readonly #linesPerMs: number;

  readonly #burstLines: number;

  /** The lines that may be written now. */
  #availableLines: number;

  #updatedAt: Millis;

  #omittedLines = 0;

  /** @param options - the clock and the limits */
  constructor(options: LogRateLimiterOptions) {
    this.#clock = options.clock;
    this.#linesPerMs = (options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND) / MS_PER_SECOND;
    this.#burstLines = options.burstLines ?? DEFAULT_BURST_LINES;
    this.#availableLines = this.#burstLines;
    this.#updatedAt = options.clock.mono();
  }

  /**
   * Limits a logger: debug and info lines above the limit are omitted, warnings and errors are
   * always written. The next written line has the number of omitted lines in `omittedLines`.
   *
   * @param logger - the logger that writes the lines
   * @returns the limited logger
   */
  wrap(logger: Logger): Logger {
    const limit =
      (write: (message: string, fields?: LogFields) => void) =>
      (message: string, fields: LogFields = {}): void => {
        if (this.#tryTakeLine()) write(message, this.#addOmittedLines(fields));
      };
    return {
      debug: limit(logger.debug),
      info: limit(logger.info),
      warn: (message, fields = {}) => logger.warn(message, this.#addOmittedLines(fields)),
      error: (message, fields = {}) => logger.error(message, this.#addOmittedLines(fields)),
    };
  }

  /** Takes one line from the bucket, or counts it as omitted and returns false. */
  #tryTakeLine(): boolean {
    const now = this.#clock.mono();
    this.#availableLines = Math.min(
      this.#burstLines,
      this.#availableLines + (now - this.#updatedAt) * this.#linesPerMs,
    );
    this.#updatedAt = now;
    if (this.#availableLines < 1) {
      this.#omittedLines += 1;
      return false;
    }
    this.#availableLines -= 1;
    return true;
  }

  /** Adds the number of lines omitted since the last written line, and resets it. */
  #addOmittedLines(fields: LogFields): LogFields {
    if (this.#omittedLines === 0) return fields;
    const omittedLines = this.#omittedLines;
    this.#omittedLines = 0;
    return { ...fields, omittedLines };
  }
}
