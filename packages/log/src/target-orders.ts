/** A client of the platform's target orders, which start and stop targets in a zone. */
import {
  type Failure,
  type FencingNumber,
  type Millis,
  type ServiceId,
  type TargetId,
  type ZoneId,
  createFailure,
} from '@hibiscushill/base';
import { type Result, ResultAsync, err } from 'neverthrow';
import { z } from 'zod';

import { GuardedSender } from './guarded-sender';
import {
  type HttpResponse,
  HttpClient,
  type HttpClientOptions,
  readJsonResponse,
} from './http-transport';

/** An order to start or stop one target. */
export interface TargetOrder {
  /** Identifies the order; the platform executes each order id at most once. */
  readonly orderId: string;
  /** The fencing number of the duty's holder; the platform refuses a lower one than it has seen. */
  readonly fencing: FencingNumber;
  readonly service: ServiceId;
  readonly action: 'start' | 'stop';
  /** The target to stop; absent in a start order, whose target the platform names. */
  readonly target?: TargetId;
}

/** The lease check before a request is written, and the request's deadline. */
export interface GuardOptions {
  /** How long after the write the connection is reset, in milliseconds. */
  readonly deadlineMs: Millis;
  /** Tells whether the lease covers `deadlineMs` from now; called in the tick of the write. */
  readonly mayWrite: () => boolean;
}

const targetId = z.string() as unknown as z.ZodType<TargetId>;
const serviceId = z.string() as unknown as z.ZodType<ServiceId>;

const OrderResponse = z.object({ orderId: z.string(), target: targetId.optional() });
const ZoneResponse = z.object({
  targets: z.array(
    z.object({
      target: targetId,
      service: serviceId,
      state: z.enum(['starting', 'live', 'leaving']),
      address: z.string().optional(),
    }),
  ),
  highestFencing: z.number(),
  orders: z.array(z.string()),
});

/** The platform's response to an order; `target` is the target that it started or stops. */
export type OrderReceipt = z.infer<typeof OrderResponse>;

/**
 * The targets of an availability zone, the highest fencing number that the platform has seen there,
 * and the ids of the orders that it has executed.
 */
export type ZoneTargets = z.infer<typeof ZoneResponse>;

/** The client of the target orders. Each availability zone has a sender of its own. */
export class TargetOrders {
  readonly #options: HttpClientOptions;

  readonly #client: HttpClient;

  readonly #senders = new Map<ZoneId, GuardedSender>();

  /** @param options - the service's URL and the deadlines in milliseconds */
  constructor(options: HttpClientOptions) {
    this.#options = options;
    this.#client = new HttpClient(options);
  }

  /**
   * Sends an order. Fails with `lease_short` when the order wasn't written, with `fencing_stale`
   * when the platform has seen a higher fencing number, and with `platform_down` and
   * `may-have-run` when only `readZone` can tell whether the order was executed.
   *
   * @param zone - the availability zone
   * @param order - the order
   * @param guard - the order's deadline and the lease check before it is written
   * @returns the platform's response
   */
  order(zone: ZoneId, order: TargetOrder, guard: GuardOptions): ResultAsync<OrderReceipt, Failure> {
    const path = formatZonePath(zone);
    return this.#sender(zone)
      .send({
        method: 'POST',
        path: `${path}/orders`,
        body: order,
        ...guard,
      })
      .andThen((res) => readReceipt(res));
  }

  /**
   * Reads the state of an availability zone.
   *
   * @param zone - the availability zone
   * @returns its targets, the highest fencing number seen, and the ids of the executed orders
   */
  readZone(zone: ZoneId): ResultAsync<ZoneTargets, Failure> {
    return this.#client
      .send({ method: 'GET', path: `${formatZonePath(zone)}/targets` })
      .andThen((res) => readJsonResponse(res, ZoneResponse));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    const senders = [...this.#senders.values()];
    await Promise.all([this.#client.close(), ...senders.map((sender) => sender.close())]);
  }

  #sender(zone: ZoneId): GuardedSender {
    let sender = this.#senders.get(zone);
    if (!sender) {
      sender = new GuardedSender(this.#options);
      this.#senders.set(zone, sender);
    }
    return sender;
  }
}

function formatZonePath(zone: ZoneId): string {
  return `/v1/zones/${encodeURIComponent(zone)}`;
}

function readReceipt(res: HttpResponse): Result<OrderReceipt, Failure> {
  if (res.status !== 409) return readJsonResponse(res, OrderResponse);
  const detail = Buffer.from(res.body).toString('utf8');
  return err(createFailure('fencing_stale', { detail }));
}
