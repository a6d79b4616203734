/** Measures the demand that this entry serves, by service. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  MonoTime,
  ServiceId,
  ZoneId,
} from '@hibiscushill/base';
import type { EntryDemand } from '@hibiscushill/control';

/** Counts of one service since the last `takeDemand`; `inFlight` is the current number. */
interface ServiceCounts {
  requests: number;
  tokens: number;
  refused: number;
  inFlight: number;
  latencies: number[];
}

const MS_PER_SECOND = 1000;
const MAX_LATENCY_SAMPLES = 200;
const LATENCY_QUANTILE = 0.95;

/** Measures the demand for each service in the entry's availability zone. */
export class EntryDemandMeter {
  readonly #clock: Clock;

  readonly #identity: { entry: InstanceId; incarnation: IncarnationId; zone: ZoneId };

  readonly #countsByService = new Map<ServiceId, ServiceCounts>();

  #sequenceNumber = 0;

  #since: MonoTime;

  /**
   * @param clock - the process's clock
   * @param identity - this entry and its availability zone
   */
  constructor(
    clock: Clock,
    identity: { entry: InstanceId; incarnation: IncarnationId; zone: ZoneId },
  ) {
    this.#clock = clock;
    this.#identity = identity;
    this.#since = clock.mono();
  }

  /** Counts a request that was admitted. */
  recordStart(service: ServiceId): void {
    this.#findCounts(service).inFlight += 1;
  }

  /** Counts a request that has ended, with its latency in milliseconds and its tokens. */
  recordEnd(service: ServiceId, latencyMs: number, tokens: number): void {
    const counts = this.#findCounts(service);
    counts.inFlight -= 1;
    counts.requests += 1;
    counts.tokens += tokens;
    if (counts.latencies.length < MAX_LATENCY_SAMPLES) counts.latencies.push(latencyMs);
  }

  /** Counts a request that was refused. */
  recordRefusal(service: ServiceId): void {
    this.#findCounts(service).refused += 1;
  }

  /**
   * Computes the rates since the last call, and resets the counts.
   *
   * @returns the demand, one row for each service
   */
  takeDemand(): EntryDemand {
    const seconds = Math.max(0.001, (this.#clock.mono() - this.#since) / MS_PER_SECOND);
    this.#since = this.#clock.mono();
    this.#sequenceNumber += 1;
    const { entry, incarnation, zone } = this.#identity;
    const rows = [...this.#countsByService].map(([service, counts]) => ({
      service,
      zone,
      inFlight: Math.max(0, counts.inFlight),
      queued: 0,
      tokensPerSecond: counts.tokens / seconds,
      requestsPerSecond: counts.requests / seconds,
      refusedPerSecond: counts.refused / seconds,
      latencyMs: getLatencyQuantile(counts.latencies),
    }));
    this.#countsByService.forEach((counts) =>
      Object.assign(counts, ZERO_COUNTS, { latencies: [] }),
    );
    return { entry, incarnation, number: this.#sequenceNumber, rows };
  }

  #findCounts(service: ServiceId): ServiceCounts {
    const known = this.#countsByService.get(service);
    if (known !== undefined) return known;
    const counts: ServiceCounts = { ...ZERO_COUNTS, inFlight: 0, latencies: [] };
    this.#countsByService.set(service, counts);
    return counts;
  }
}

const ZERO_COUNTS = { requests: 0, tokens: 0, refused: 0 };

function getLatencyQuantile(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * LATENCY_QUANTILE)] ?? 0;
}
