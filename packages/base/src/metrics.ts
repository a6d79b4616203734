/** Counters and timings, sent as statsd datagrams and kept for `/status`. */
import { StatsD } from 'hot-shots';

import type { CodeName } from './codes';

/** Where the metrics go. */
export interface MetricsOptions {
  readonly prefix: string;
  readonly host?: string;
  readonly port?: number;
}

/** The metrics of one process. */
export class Metrics {
  readonly #client: StatsD;

  readonly #counts = new Map<string, number>();

  /** @param options - prefix of every name, and the statsd address; without a port nothing is sent */
  constructor(options: MetricsOptions) {
    this.#client = new StatsD({
      prefix: `${options.prefix}.`,
      host: options.host ?? '127.0.0.1',
      port: options.port ?? 8125,
      mock: options.port === undefined,
      maxBufferSize: 1400,
      bufferFlushInterval: 1000,
      errorHandler: () => undefined,
    });
  }

  /**
   * Adds to a counter.
   *
   * @param name - the counter's name, such as `refused.team_rate_exceeded`
   * @param by - how much to add
   */
  count(name: string, by = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + by);
    this.#client.increment(name, by);
  }

  /**
   * Counts a refusal by its reason.
   *
   * @param reason - the result code's name
   */
  countRefusal(reason: CodeName): void {
    this.count(`refused.${reason}`);
  }

  /**
   * Counts a retry by its reason.
   *
   * @param reason - the result code's name of the try that failed
   */
  countRetry(reason: CodeName): void {
    this.count(`retried.${reason}`);
  }

  /**
   * Records a duration.
   *
   * @param name - the timing's name
   * @param ms - the duration in milliseconds
   */
  time(name: string, ms: number): void {
    this.#client.timing(name, ms);
  }

  /**
   * Sets a gauge.
   *
   * @param name - the gauge's name
   * @param value - its present value
   */
  gauge(name: string, value: number): void {
    this.#client.gauge(name, value);
  }

  /**
   * Reads all counters.
   *
   * @returns the counts by name, in the order of the names
   */
  counts(): Record<string, number> {
    return Object.fromEntries([...this.#counts.entries()].sort(([a], [b]) => a.localeCompare(b)));
  }

  /** Sends what is buffered and closes the socket. */
  close(): void {
    this.#client.close(() => undefined);
  }
}
