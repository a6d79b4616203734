/** A client of the platform's instance list, which lags behind the actual state. */
import {
  type Clock,
  type Failure,
  type InstanceId,
  type Millis,
  type ServiceId,
  type TargetId,
  type WallTime,
  type ZoneId,
} from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';
import { z } from 'zod';

import { HttpClient, type HttpClientOptions, readJsonResponse } from './http-transport';

const DEFAULT_POLL_INTERVAL_MS = 1_000;

const Instance = z.object({
  id: z.string() as unknown as z.ZodType<InstanceId>,
  role: z.enum(['entry', 'agent']),
  zone: z.string() as unknown as z.ZodType<ZoneId>,
  address: z.string(),
  service: (z.string() as unknown as z.ZodType<ServiceId>).optional(),
  target: (z.string() as unknown as z.ZodType<TargetId>).optional(),
  state: z.enum(['live', 'leaving']),
  startedAt: z.number() as unknown as z.ZodType<WallTime>,
});

const ListResponse = z.object({ instances: z.array(Instance) });

/**
 * An instance as the platform lists it. `address` is its address for other instances, as
 * `host:port`; `startedAt` is in milliseconds of wall-clock time.
 */
export type ListedInstance = z.infer<typeof Instance>;

/** How long a watch lasts and how often it polls. */
export interface WatchOptions {
  readonly clock: Clock;
  /** Ends the watch. */
  readonly signal: AbortSignal;
  /** The pause between two reads, in milliseconds. */
  readonly pollIntervalMs?: Millis;
}

/** The client of the instance list. */
export class InstanceList {
  readonly #client: HttpClient;

  /** @param options - the service's URL and the deadlines in milliseconds */
  constructor(options: HttpClientOptions) {
    this.#client = new HttpClient(options);
  }

  /**
   * Reads the list.
   *
   * @returns the live and leaving instances, as of a moment in the recent past
   */
  read(): ResultAsync<ListedInstance[], Failure> {
    return this.#client
      .send({ method: 'GET', path: '/v1/instances' })
      .andThen((res) => readJsonResponse(res, ListResponse))
      .map((body) => body.instances);
  }

  /**
   * Polls the list until the signal aborts. A failed read is skipped.
   *
   * @param handle - called with each list that was read
   * @param options - the clock, the signal that ends the watch, and the polling interval
   */
  async watch(
    handle: (instances: readonly ListedInstance[]) => void,
    options: WatchOptions,
  ): Promise<void> {
    const { clock, signal, pollIntervalMs = DEFAULT_POLL_INTERVAL_MS } = options;
    while (!signal.aborted) {
      const instances = await this.read();
      if (instances.isOk() && !signal.aborted) handle(instances.value);
      await clock.sleep(pollIntervalMs, signal);
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#client.close();
  }
}
