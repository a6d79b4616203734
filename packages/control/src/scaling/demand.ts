/** Collects and sums the demand that the entries report to each other. */
import {
  type Failure,
  type InstanceId,
  type Millis,
  type MonoTime,
  type ServiceId,
  type ZoneId,
  createFailure,
} from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';
import { z } from 'zod';

const MAX_SUMMARY_AGE_MS = 5_000;

const nonNegative = z.number().min(0);

const DemandRow = z.object({
  service: z.string() as unknown as z.ZodType<ServiceId>,
  zone: z.string() as unknown as z.ZodType<ZoneId>,
  /** The number of running requests. */
  inFlight: nonNegative,
  /** The number of waiting requests. */
  queued: nonNegative,
  tokensPerSecond: nonNegative,
  requestsPerSecond: nonNegative,
  refusedPerSecond: nonNegative,
  /** The 95th percentile of the recent latency, in milliseconds. */
  latencyMs: nonNegative,
});

const EntryDemand = z.object({
  entry: z.string() as unknown as z.ZodType<InstanceId>,
  incarnation: z.string(),
  /** Increases with each summary of the incarnation. */
  number: z.number().int().min(0),
  rows: z.array(DemandRow),
});

const Summaries = z.array(EntryDemand);

/** The demand that one entry observes for one service in one availability zone. */
export type DemandRow = z.infer<typeof DemandRow>;

/** One entry's summary of its demand, with one row per service and availability zone. */
export type EntryDemand = z.infer<typeof EntryDemand>;

/**
 * The demand for a service in an availability zone, summed over all entries. `latencyMs` is the
 * highest of the entries' latencies; `entries` counts the entries that reported.
 */
export type DemandTotals = Omit<DemandRow, 'service' | 'zone'> & { readonly entries: number };

interface ReceivedSummary {
  readonly demand: EntryDemand;
  readonly receivedAt: MonoTime;
}

/**
 * Holds the latest demand summary of each entry. Its size is bounded by the numbers of entries,
 * services and availability zones.
 */
export class DemandAggregator {
  readonly #latest = new Map<InstanceId, ReceivedSummary>();

  readonly #maxAgeMs: Millis;

  /** @param maxAgeMs - how long a summary is used after it was received, in milliseconds */
  constructor(maxAgeMs: Millis = MAX_SUMMARY_AGE_MS) {
    this.#maxAgeMs = maxAgeMs;
  }

  /**
   * Stores an entry's summary unless a newer one is stored already.
   *
   * @param demand - the summary
   * @param now - the current time
   * @returns whether the summary was stored
   */
  merge(demand: EntryDemand, now: MonoTime): boolean {
    const known = this.#latest.get(demand.entry);
    const isSame = known?.demand.incarnation === demand.incarnation;
    if (known && isSame && known.demand.number >= demand.number) return false;
    // A summary of another incarnation replaces the stored one only when that hasn't been updated
    // for a while, since incarnations have no order.
    if (known && !isSame && now - known.receivedAt < this.#maxAgeMs / 2) return false;
    this.#latest.set(demand.entry, { demand, receivedAt: now });
    return true;
  }

  /**
   * Sums the demand for a service in an availability zone over all entries with a recent summary.
   *
   * @param service - the service
   * @param zone - the availability zone
   * @param now - the current time
   * @returns the sums; the latency is the highest of the entries'
   */
  sum(service: ServiceId, zone: ZoneId, now: MonoTime): DemandTotals {
    const rows = this.#listFresh(now).flatMap((known) =>
      known.demand.rows.filter((row) => row.service === service && row.zone === zone),
    );
    const add = (pick: (row: DemandRow) => number): number =>
      rows.reduce((sum, row) => sum + pick(row), 0);
    return {
      inFlight: add((row) => row.inFlight),
      queued: add((row) => row.queued),
      tokensPerSecond: add((row) => row.tokensPerSecond),
      requestsPerSecond: add((row) => row.requestsPerSecond),
      refusedPerSecond: add((row) => row.refusedPerSecond),
      latencyMs: Math.max(0, ...rows.map((row) => row.latencyMs)),
      entries: rows.length,
    };
  }

  /**
   * Encodes the recent summaries of all entries, to be sent to another entry.
   *
   * @param now - the current time
   * @returns a JSON array of summaries in UTF-8
   */
  encode(now: MonoTime): Uint8Array {
    return Buffer.from(JSON.stringify(this.#listFresh(now).map((known) => known.demand)));
  }

  /**
   * Decodes the summaries that another entry sent and stores those that are newer.
   *
   * @param bytes - the result of `encode`
   * @param now - the current time
   * @returns the number of summaries stored, or the failure `request_invalid`
   */
  mergeEncoded(bytes: Uint8Array, now: MonoTime): Result<number, Failure> {
    const parsed = Summaries.safeParse(parseJson(bytes));
    if (!parsed.success)
      return err(
        createFailure('request_invalid', { detail: 'the demand summaries are malformed' }),
      );
    return ok(parsed.data.filter((demand) => this.merge(demand, now)).length);
  }

  /** Removes summaries that are too old and returns the others. */
  #listFresh(now: MonoTime): ReceivedSummary[] {
    for (const [entry, known] of this.#latest) {
      if (now - known.receivedAt > this.#maxAgeMs) this.#latest.delete(entry);
    }
    return [...this.#latest.values()];
  }
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    return undefined;
  }
}
