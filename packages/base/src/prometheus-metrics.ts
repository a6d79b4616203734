/** Metrics in the Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { Metrics } from './metrics';

// Upper bounds, from a network hop within an availability zone to the longest step of a request.
const LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

/** Metrics that a collector scrapes, instead of datagrams that are sent to it. */
export class PrometheusMetrics extends Metrics {
  readonly #registry = new Registry();

  readonly #counter: Counter<'name'>;

  readonly #gauge: Gauge<'name'>;

  readonly #histogram: Histogram<'name'>;

  /** @param prefix - precedes the name of each metric, separated by an underscore */
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
      buckets: LATENCY_BUCKETS_MS,
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
   * Renders all metrics in the Prometheus text format.
   *
   * @returns the text and its content type
   */
  async render(): Promise<{ readonly contentType: string; readonly text: string }> {
    return { contentType: this.#registry.contentType, text: await this.#registry.metrics() };
  }
}
