/** Metrics sent as StatsD datagrams. Counters are also kept in memory for `/status`. */
import { StatsD } from 'hot-shots';

import type { CodeName } from './codes';

/** The prefix of all metrics and the address of the StatsD server. */
export interface MetricsOptions {
  /** Precedes each metric's name, separated by a dot. */
  readonly prefix: string;
  readonly host?: string;
  /** The UDP port; without it nothing is sent. */
  readonly port?: number;
}

/** The counters, timings and gauges of one process. */
export class Metrics {
  readonly #client: StatsD;

  readonly #counts = new Map<string, number>();

  /** @param options - the prefix and the address */
  constructor(options: MetricsOptions) {
    this.#client = new StatsD({
      prefix: `${options.prefix}.`,
      host: options.host ?? '127.0.0.1',
      port: options.port ?? 8125,
      mock: options.port === undefined,
      // Bytes; a datagram fits into one Ethernet frame.
      maxBufferSize: 1400,
      bufferFlushInterval: 1000,
      errorHandler: () => undefined,
    });
  }

  /**
   * Adds to a counter.
   *
   * @param name - the counter's name, such as `refused.team_rate_exceeded`
   * @param by - the amount to add
   */
  count(name: string, by = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + by);
    this.#client.increment(name, by);
  }

  /**
   * Counts a refusal by its result code.
   *
   * @param code - the result code's name
   */
  countRefusal(code: CodeName): void {
    this.count(`refused.${code}`);
  }

  /**
   * Counts a retry by the result code of the failed attempt.
   *
   * @param code - the result code's name
   */
  countRetry(code: CodeName): void {
    this.count(`retried.${code}`);
  }

  /**
   * Records a duration.
   *
   * @param name - the name of the timing
   * @param ms - the duration in milliseconds
   */
  time(name: string, ms: number): void {
    this.#client.timing(name, ms);
  }

  /**
   * Sets a gauge.
   *
   * @param name - the gauge's name
   * @param value - its current value
   */
  gauge(name: string, value: number): void {
    this.#client.gauge(name, value);
  }

  /**
   * Returns all counters.
   *
   * @returns the counts by name, sorted by name
   */
  counts(): Record<string, number> {
    return Object.fromEntries([...this.#counts.entries()].sort(([a], [b]) => a.localeCompare(b)));
  }

  /** Sends the buffered metrics and closes the socket. */
  close(): void {
    this.#client.close(() => undefined);
  }
}
