/** The platform's lagging list of live and leaving instances. */
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

import { HttpClient, type HttpClientOptions, readAnswer } from './http-client';

const POLL_MS = 1_000;

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

const ListAnswer = z.object({ instances: z.array(Instance) });

/** An instance as the platform lists it. `address` is its inner address, `host:port`. */
export type ListedInstance = z.infer<typeof Instance>;

/** How a list is watched. */
export interface WatchOptions {
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly pollMs?: Millis;
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
   * @returns the instances as the platform saw them some time ago
   */
  read(): ResultAsync<ListedInstance[], Failure> {
    return this.#client
      .send({ method: 'GET', path: '/v1/instances' })
      .andThen((answer) => readAnswer(answer, ListAnswer))
      .map((answer) => answer.instances);
  }

  /**
   * Reads the list again and again; a failed read leaves the last list in force.
   *
   * @param handle - takes every list that was read
   * @param options - the clock, the end of the watch, and the period in milliseconds
   */
  async watch(
    handle: (instances: readonly ListedInstance[]) => void,
    options: WatchOptions,
  ): Promise<void> {
    const { clock, signal, pollMs = POLL_MS } = options;
    while (!signal.aborted) {
      const instances = await this.read();
      if (instances.isOk() && !signal.aborted) handle(instances.value);
      await clock.sleep(pollMs, signal);
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#client.close();
  }
}
