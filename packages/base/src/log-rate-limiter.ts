/** A bound on how much a process logs. */
import type { Clock, Millis } from './clock';
import type { LogFields, Logger } from './logger';

const LINES_PER_SECOND = 200;
const BURST_LINES = 400;
const MS_PER_SECOND = 1_000;

/** How much may be logged. */
export interface LogRateLimiterOptions {
  readonly clock: Clock;
  readonly linesPerSecond?: number;
  readonly burstLines?: number;
}

/** Lets a bounded number of lines through and counts what it left out. */
export class LineBudget {
  readonly #clock: Clock;

  readonly #perMs: number;

  readonly #burst: number;

  #lines: number;

  #readAt: Millis;

  #omitted = 0;

  /** @param options - the clock and the bounds */
  constructor(options: LogRateLimiterOptions) {
    this.#clock = options.clock;
    this.#perMs = (options.linesPerSecond ?? LINES_PER_SECOND) / MS_PER_SECOND;
    this.#burst = options.burstLines ?? BURST_LINES;
    this.#lines = this.#burst;
    this.#readAt = options.clock.mono();
  }

  /**
   * Bounds a log: debug and info lines are left out when the budget is spent, warnings and errors
   * pass. The next line that passes tells how many were left out.
   *
   * @param logger - where the lines go
   * @returns the bounded log
   */
  bound(logger: Logger): Logger {
    const pass =
      (write: (message: string, fields?: LogFields) => void) =>
      (message: string, fields: LogFields = {}): void => {
        if (this.#take()) write(message, this.#withOmitted(fields));
      };
    return {
      debug: pass(logger.debug),
      info: pass(logger.info),
      warn: (message, fields = {}) => logger.warn(message, this.#withOmitted(fields)),
      error: (message, fields = {}) => logger.error(message, this.#withOmitted(fields)),
    };
  }

  #take(): boolean {
    const now = this.#clock.mono();
    this.#lines = Math.min(this.#burst, this.#lines + (now - this.#readAt) * this.#perMs);
    this.#readAt = now;
    if (this.#lines < 1) {
      this.#omitted += 1;
      return false;
    }
    this.#lines -= 1;
    return true;
  }

  #withOmitted(fields: LogFields): LogFields {
    if (this.#omitted === 0) return fields;
    const omittedLines = this.#omitted;
    this.#omitted = 0;
    return { ...fields, omittedLines };
  }
}
