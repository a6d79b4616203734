/** Demand by service and availability zone, as the entries tell one another. */
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

const FRESH_MS = 5_000;

const amount = z.number().min(0);

const DemandRow = z.object({
  service: z.string() as unknown as z.ZodType<ServiceId>,
  zone: z.string() as unknown as z.ZodType<ZoneId>,
  /** Requests that run. */
  inFlight: amount,
  /** Requests that wait. */
  queued: amount,
  tokensPerSecond: amount,
  requestsPerSecond: amount,
  refusedPerSecond: amount,
  /** The 95th percentile of the latency lately, in milliseconds. */
  latencyMs: amount,
});

const EntryDemand = z.object({
  entry: z.string() as unknown as z.ZodType<InstanceId>,
  incarnation: z.string(),
  /** Rises with each summary of the incarnation. */
  number: z.number().int().min(0),
  rows: z.array(DemandRow),
});

const Summaries = z.array(EntryDemand);

/** What one entry sees of one service in one availability zone. */
export type DemandRow = z.infer<typeof DemandRow>;

/** What one entry sees: one row a service and availability zone. */
export type EntryDemand = z.infer<typeof EntryDemand>;

/** The demand of a service in an availability zone over all entries. */
export type Demand = Omit<DemandRow, 'service' | 'zone'> & { readonly entries: number };

interface Known {
  readonly demand: EntryDemand;
  readonly heardAt: MonoTime;
}

/** The freshest summary of each entry. Its size depends on entries, services and zones alone. */
export class DemandSummary {
  readonly #known = new Map<InstanceId, Known>();

  readonly #freshMs: Millis;

  /** @param freshMs - for how long a summary counts after it was heard, in milliseconds */
  constructor(freshMs: Millis = FRESH_MS) {
    this.#freshMs = freshMs;
  }

  /**
   * Takes an entry's summary, unless a newer one is known.
   *
   * @param demand - the summary
   * @param now - the present time
   * @returns whether it was new
   */
  merge(demand: EntryDemand, now: MonoTime): boolean {
    const known = this.#known.get(demand.entry);
    const isSame = known?.demand.incarnation === demand.incarnation;
    if (known && isSame && known.demand.number >= demand.number) return false;
    // Of two incarnations the one last heard for the first time is taken while the other is silent.
    if (known && !isSame && now - known.heardAt < this.#freshMs / 2) return false;
    this.#known.set(demand.entry, { demand, heardAt: now });
    return true;
  }

  /**
   * Sums the demand of a service in an availability zone over the entries heard lately.
   *
   * @param service - the service
   * @param zone - the availability zone
   * @param now - the present time
   * @returns the sums; the latency is the greatest of the entries'
   */
  sum(service: ServiceId, zone: ZoneId, now: MonoTime): Demand {
    const rows = this.#fresh(now).flatMap((known) =>
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
   * Encodes the fresh summaries for another entry.
   *
   * @param now - the present time
   * @returns the bytes
   */
  encode(now: MonoTime): Uint8Array {
    return Buffer.from(JSON.stringify(this.#fresh(now).map((known) => known.demand)));
  }

  /**
   * Takes over what another entry sent.
   *
   * @param bytes - what `encode` made
   * @param now - the present time
   * @returns how many summaries were new
   */
  decode(bytes: Uint8Array, now: MonoTime): Result<number, Failure> {
    const parsed = Summaries.safeParse(parseJson(bytes));
    if (!parsed.success) return err(createFailure('request_invalid', { detail: 'summary' }));
    return ok(parsed.data.filter((demand) => this.merge(demand, now)).length);
  }

  #fresh(now: MonoTime): Known[] {
    for (const [entry, known] of this.#known) {
      if (now - known.heardAt > this.#freshMs) this.#known.delete(entry);
    }
    return [...this.#known.values()];
  }
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    return undefined;
  }
}
