/** What this entry sees of the demand, by service and availability zone. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  MonoTime,
  ServiceId,
  ZoneId,
} from '@hibiscushill/base';
import type { EntryDemand } from '@hibiscushill/control';

interface Seen {
  requests: number;
  tokens: number;
  refused: number;
  inFlight: number;
  latencies: number[];
}

const MS_PER_SECOND = 1000;
const MOST_LATENCIES = 200;
const QUANTILE = 0.95;

/** Counts of one availability zone. */
export class EntryDemandMeter {
  readonly #clock: Clock;

  readonly #name: { entry: InstanceId; incarnation: IncarnationId; zone: ZoneId };

  readonly #seen = new Map<ServiceId, Seen>();

  #number = 0;

  #since: MonoTime;

  /**
   * @param clock - the process's clock
   * @param name - this entry and its availability zone
   */
  constructor(clock: Clock, name: { entry: InstanceId; incarnation: IncarnationId; zone: ZoneId }) {
    this.#clock = clock;
    this.#name = name;
    this.#since = clock.mono();
  }

  /** Counts a request that was admitted. */
  recordStart(service: ServiceId): void {
    this.#find(service).inFlight += 1;
  }

  /** Counts a request that has ended. */
  recordEnd(service: ServiceId, latencyMs: number, tokens: number): void {
    const seen = this.#find(service);
    seen.inFlight -= 1;
    seen.requests += 1;
    seen.tokens += tokens;
    if (seen.latencies.length < MOST_LATENCIES) seen.latencies.push(latencyMs);
  }

  /** Counts a request that was refused. */
  recordRefusal(service: ServiceId): void {
    this.#find(service).refused += 1;
  }

  /**
   * Sums what was seen since the last call.
   *
   * @returns the summary
   */
  take(): EntryDemand {
    const seconds = Math.max(0.001, (this.#clock.mono() - this.#since) / MS_PER_SECOND);
    this.#since = this.#clock.mono();
    this.#number += 1;
    const { entry, incarnation, zone } = this.#name;
    const rows = [...this.#seen].map(([service, seen]) => ({
      service,
      zone,
      inFlight: Math.max(0, seen.inFlight),
      queued: 0,
      tokensPerSecond: seen.tokens / seconds,
      requestsPerSecond: seen.requests / seconds,
      refusedPerSecond: seen.refused / seconds,
      latencyMs: quantile(seen.latencies),
    }));
    this.#seen.forEach((seen) => Object.assign(seen, EMPTY, { latencies: [] }));
    return { entry, incarnation, number: this.#number, rows };
  }

  #find(service: ServiceId): Seen {
    const known = this.#seen.get(service);
    if (known !== undefined) return known;
    const seen: Seen = { ...EMPTY, inFlight: 0, latencies: [] };
    this.#seen.set(service, seen);
    return seen;
  }
}

const EMPTY = { requests: 0, tokens: 0, refused: 0 };

function quantile(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * QUANTILE)] ?? 0;
}
