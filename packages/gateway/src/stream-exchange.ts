/** The exchange, over the log, of what the processes know of where streams began. */
import {
  type Clock,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RecordId,
  type ServiceId,
  type SoftwareVersion,
  type StreamKey,
  createId,
} from '@hibiscushill/base';
import type { Log, LogRecord, LogTail } from '@hibiscushill/log';
import { BegunStreams, type StreamOrigin, decideContinuation } from '@hibiscushill/routing';
import { z } from 'zod';

import type { DeclaredOrigins } from './declared-origins';
import type { ServingRoute } from './serving-config';
import type { TargetRegistration } from './target-directory';

const BEGUN_KIND = 'streams.begun';
const APPEND_TIMEOUT_MS = 1_000;
// Streams that begin within this time share a record.
const WRITE_INTERVAL_MS = 50;
const RETRY_INTERVAL_MS = 100;
// How often the versions of all targets are looked through.
const UPDATE_INTERVAL_MS = 200;
// Streams that the log doesn't take are kept up to this number; the oldest are lost first.
const MAX_PENDING = 16_384;
const MAX_PER_RECORD = 1_000;
// A stream that is taken up at once may be ahead of its record.
const KNOWLEDGE_TIMEOUT_MS = 400;

const BegunSchema = z.object({
  service: z.string() as unknown as z.ZodType<ServiceId>,
  software: (z.string() as unknown as z.ZodType<SoftwareVersion>).optional(),
  streams: z.array(z.string() as unknown as z.ZodType<StreamKey>),
});
const RecordSchema = z.object({ begun: z.array(BegunSchema) });

/** The log and what is exchanged. */
export interface StreamExchangeOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly log: Log;
  /** The reader of the stream that has the exchanged records. */
  readonly tail: LogTail;
  readonly origins: DeclaredOrigins;
}

/** A stream that this process has begun. */
interface OwnStream {
  readonly stream: StreamKey;
  readonly origin: StreamOrigin;
}

/**
 * Publishes where this process's streams began, once streams of their route may begin at several
 * origins, and tells where any stream began.
 */
export class StreamExchange {
  readonly #options: StreamExchangeOptions;

  readonly #begun = new BegunStreams();

  /** This process's streams that no record names yet, by route. */
  readonly #unrecorded = new Map<string, OwnStream[]>();

  #pending: OwnStream[] = [];

  #isWriting = false;

  #writtenAt = -Infinity as MonoTime;

  #failedAt = -Infinity as MonoTime;

  #updatedAt = -Infinity as MonoTime;

  /** Called when the origin of a stream becomes known. */
  readonly #waits = new Map<StreamKey, Set<() => void>>();

  /** @param options - the log and what is exchanged */
  constructor(options: StreamExchangeOptions) {
    this.#options = options;
    options.tail.subscribe((record) => this.#apply(record));
  }

  /** The origins that are declared. */
  get origins(): DeclaredOrigins {
    return this.#options.origins;
  }

  /** Records that a stream of a route has begun at a target. */
  recordBegun(stream: StreamKey, route: ServingRoute, target: TargetRegistration): void {
    const { service, software } = target;
    const origin = { service, software };
    this.#learn(stream, origin);
    const own = this.#unrecorded.get(route.name) ?? [];
    this.#unrecorded.set(route.name, own);
    own.push({ stream, origin });
    if (this.#options.origins.isMixed(route)) this.#publish(route.name);
    else if (own.length > MAX_PENDING) own.shift();
  }

  /**
   * Finds where a stream of a route began.
   *
   * @param stream - the stream; undefined if its caller doesn't name it
   * @param maxMs - how long the caller can wait, in milliseconds
   * @returns undefined if that can't be told in time
   */
  async findOrigin(
    stream: StreamKey | undefined,
    route: ServingRoute,
    maxMs: Millis,
  ): Promise<StreamOrigin | undefined> {
    const { clock, origins } = this.#options;
    const known = stream === undefined ? undefined : this.#begun.find(stream);
    if (known) return known;
    const timeout = new AbortController();
    const expired = clock
      .sleep(Math.min(maxMs, KNOWLEDGE_TIMEOUT_MS), timeout.signal)
      .then(() => undefined);
    const declared = await Promise.race([origins.read(route), expired]);
    const only = decideContinuation(undefined, declared);
    if (!only && stream !== undefined) await Promise.race([this.#waitFor(stream), expired]);
    timeout.abort();
    const begunAt = stream === undefined ? undefined : this.#begun.find(stream);
    if (stream !== undefined) this.#waits.delete(stream);
    return decideContinuation(begunAt, declared);
  }

  /** Publishes what could not be published yet; called repeatedly. */
  run(routes: readonly ServingRoute[]): void {
    const { clock, origins, metrics } = this.#options;
    if (routes.length === 0 && this.#unrecorded.size === 0 && this.#pending.length === 0) return;
    if (clock.mono() - this.#updatedAt >= UPDATE_INTERVAL_MS) {
      this.#updatedAt = clock.mono();
      origins.update();
    }
    metrics.gauge('streams.known', this.#begun.size);
    routes.filter((route) => origins.isMixed(route)).forEach(({ name }) => this.#publish(name));
    this.#write();
  }

  #publish(route: string): void {
    const own = this.#unrecorded.get(route);
    if (!own || own.length === 0) return;
    this.#unrecorded.delete(route);
    this.#pending.push(...own);
    this.#dropOldest();
    this.#write();
  }

  #dropOldest(): void {
    const dropped = this.#pending.length - MAX_PENDING;
    if (dropped <= 0) return;
    this.#pending.splice(0, dropped);
    this.#options.metrics.count('streams.unrecorded', dropped);
  }

  #write(): void {
    const { clock } = this.#options;
    if (this.#isWriting || this.#pending.length === 0) return;
    const now = clock.mono();
    if (now - this.#failedAt < RETRY_INTERVAL_MS) return;
    this.#isWriting = true;
    const waitMs = Math.max(0, WRITE_INTERVAL_MS - (now - this.#writtenAt));
    void this.#writeAfter(waitMs).finally(() => {
      this.#isWriting = false;
      this.#write();
    });
  }

  async #writeAfter(waitMs: Millis): Promise<void> {
    const { clock, metrics, log, logger } = this.#options;
    if (waitMs > 0) await clock.sleep(waitMs);
    this.#writtenAt = clock.mono();
    const written = this.#pending.splice(0, MAX_PER_RECORD);
    const record = {
      id: createId<RecordId>(),
      kind: BEGUN_KIND,
      payload: { begun: groupByOrigin(written) },
    };
    const done = await log.append('usage', [record], { timeoutMs: APPEND_TIMEOUT_MS });
    if (done.isOk()) {
      metrics.count('streams.recorded', written.length);
      return;
    }
    metrics.countRetry(done.error.code);
    logger.warn('The origins of streams were not recorded and will be retried.', {
      streams: written.length,
      code: done.error.code,
    });
    this.#failedAt = clock.mono();
    // Streams that are on the log already change nothing when they are read again.
    this.#pending = [...written, ...this.#pending];
    this.#dropOldest();
  }

  #apply({ kind, payload }: LogRecord): void {
    if (kind !== BEGUN_KIND) return;
    const parsed = RecordSchema.safeParse(payload);
    if (!parsed.success) return;
    parsed.data.begun.forEach(({ service, software, streams }) =>
      streams.forEach((stream) => this.#learn(stream, { service, software })),
    );
  }

  #learn(stream: StreamKey, origin: StreamOrigin): void {
    this.#begun.record(stream, origin, this.#options.clock.mono());
    this.#waits.get(stream)?.forEach((resolve) => resolve());
  }

  #waitFor(stream: StreamKey): Promise<void> {
    return new Promise((resolve) => {
      const waits = this.#waits.get(stream) ?? new Set();
      this.#waits.set(stream, waits.add(resolve));
      if (this.#begun.find(stream)) resolve();
    });
  }
}

function groupByOrigin(streams: readonly OwnStream[]): z.infer<typeof BegunSchema>[] {
  const groups = new Map<string, z.infer<typeof BegunSchema>>();
  streams.forEach(({ stream, origin }) => {
    const key = JSON.stringify([origin.service, origin.software ?? null]);
    const group = groups.get(key) ?? { ...origin, streams: [] };
    groups.set(key, group);
    group.streams.push(stream);
  });
  return [...groups.values()];
}
