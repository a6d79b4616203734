/** The interface that starts and stops targets, by availability zone. */
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
import { type HttpAnswer, HttpClient, type HttpClientOptions, readAnswer } from './http-client';

/** An order to start or stop one target. */
export interface TargetOrder {
  /** Names the order; the platform carries an order out once. */
  readonly orderId: string;
  readonly fencing: FencingNumber;
  readonly service: ServiceId;
  readonly action: 'start' | 'stop';
  /** The target to stop; the platform names a target that it starts. */
  readonly target?: TargetId;
}

/** When a call may be written, and when it is abandoned. */
export interface GuardOptions {
  /** When the call's connection is reset, in milliseconds from the write. */
  readonly deadlineMs: Millis;
  /** Asked in the tick of the write: whether the lease covers `deadlineMs` from now. */
  readonly mayWrite: () => boolean;
}

const targetId = z.string() as unknown as z.ZodType<TargetId>;
const serviceId = z.string() as unknown as z.ZodType<ServiceId>;

const OrderAnswer = z.object({ orderId: z.string(), target: targetId.optional() });
const ZoneAnswer = z.object({
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

/** What the platform answered to an order. */
export type OrderReceipt = z.infer<typeof OrderAnswer>;

/** The targets of an availability zone, and the orders that the platform has carried out. */
export type ZoneTargets = z.infer<typeof ZoneAnswer>;

/** The client of the target orders. */
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
   * Sends an order. `lease_short` means that it wasn't written; `fencing_stale` that a newer holder
   * has given orders; `platform_down` with `may-have-run` that `readZone` has to be asked.
   *
   * @param zone - the availability zone
   * @param order - the order
   * @param guard - the order's deadline and the check before it is written
   * @returns the platform's receipt
   */
  order(zone: ZoneId, order: TargetOrder, guard: GuardOptions): ResultAsync<OrderReceipt, Failure> {
    const path = zonePath(zone);
    return this.#sender(zone)
      .send({
        method: 'POST',
        path: `${path}/orders`,
        body: order,
        ...guard,
      })
      .andThen((answer) => readReceipt(answer));
  }

  /**
   * Reads the state of an availability zone.
   *
   * @param zone - the availability zone
   * @returns its targets, the highest fencing number seen, and the ids of the orders carried out
   */
  readZone(zone: ZoneId): ResultAsync<ZoneTargets, Failure> {
    return this.#client
      .send({ method: 'GET', path: `${zonePath(zone)}/targets` })
      .andThen((answer) => readAnswer(answer, ZoneAnswer));
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

function zonePath(zone: ZoneId): string {
  return `/v1/zones/${encodeURIComponent(zone)}`;
}

function readReceipt(answer: HttpAnswer): Result<OrderReceipt, Failure> {
  if (answer.status !== 409) return readAnswer(answer, OrderAnswer);
  const detail = Buffer.from(answer.body).toString('utf8');
  return err(createFailure('fencing_stale', { detail }));
}
