/** Counters, gauges and latency histograms, served as text. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { Metrics } from './metrics';

// Upper bounds in milliseconds, from a hop inside an availability zone to the longest step.
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

/** Metrics that a collector fetches, in place of datagrams. */
export class ServedMetrics extends Metrics {
  readonly #registry = new Registry();

  readonly #counter: Counter<'name'>;

  readonly #gauge: Gauge<'name'>;

  readonly #histogram: Histogram<'name'>;

  /** @param prefix - begins the name of every family */
  constructor(prefix: string) {
    super({ prefix });
    const registers = [this.#registry];
    const labelNames = ['name'] as const;
    this.#counter = new Counter({
      name: `${prefix}_events_total`,
      help: 'Events by name.',
      labelNames,
      registers,
    });
    this.#gauge = new Gauge({
      name: `${prefix}_value`,
      help: 'Present values by name.',
      labelNames,
      registers,
    });
    this.#histogram = new Histogram({
      name: `${prefix}_duration_ms`,
      help: 'Durations by name, in milliseconds.',
      labelNames,
      buckets: BUCKETS_MS,
      registers,
    });
  }

  override count(name: string, by = 1): void {
    super.count(name, by);
    this.#counter.inc({ name }, by);
  }

  override time(name: string, ms: number): void {
    this.#histogram.observe({ name }, ms);
  }

  override gauge(name: string, value: number): void {
    this.#gauge.set({ name }, value);
  }

  /**
   * Renders all metrics.
   *
   * @returns the text and its content type
   */
  async render(): Promise<{ readonly contentType: string; readonly text: string }> {
    return { contentType: this.#registry.contentType, text: await this.#registry.metrics() };
  }
}
