/** The fake of the platform's log. */
import { type Offset, SystemClock } from '@hibiscushill/base';
import { type AppendEvent, MemoryLog, type NewRecord, type StreamName } from '@hibiscushill/log';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import {
  CommonSettings,
  FakeService,
  type FakeServiceOptions,
  NO_COMMON_FAULTS,
  sendOutage,
} from './fake-service';

const LogSettings = CommonSettings.extend({
  /** The fraction of appends that get no response and take effect after `landLateMs`. */
  landLate: z.number().min(0).max(1),
  /** In milliseconds. */
  landLateMs: z.number().min(0),
  /** The rate limit in appends per second; further ones get 429. Zero for no limit. */
  appendsPerSecond: z.number().min(0),
  /** The maximum number of records that each stream keeps. */
  keepCount: z.number().min(0),
  /** How long each record is kept, in milliseconds. */
  keepMs: z.number().min(0),
  /** Each change of settings removes the records before this offset from all streams. */
  trimTo: z.number().min(0),
});

type LogSettings = z.infer<typeof LogSettings>;

const DEFAULTS: LogSettings = {
  ...NO_COMMON_FAULTS,
  landLate: 0,
  landLateMs: 1_000,
  appendsPerSecond: 0,
  keepCount: Number.MAX_SAFE_INTEGER,
  keepMs: Number.MAX_SAFE_INTEGER,
  trimTo: 0,
};

const AppendBody = z.object({
  records: z
    .array(
      z.object({ id: z.string().min(1), kind: z.string(), payload: z.unknown().default(null) }),
    )
    .min(1),
});

interface StreamParams {
  stream: StreamName;
}

interface ReadQuery {
  from?: string;
  limit?: string;
  waitMs?: string;
}

const PAGE_LIMIT = 500;

/** Serves a log in memory and counts its appends by stream and kind, and by outcome. */
export class FakeLog extends FakeService<LogSettings> {
  override readonly name = 'log';

  readonly #log: MemoryLog;

  readonly #streams = new Set<StreamName>();

  readonly #countsByStream: Record<string, Record<string, number>> = {};

  readonly #countsByOutcome: Record<string, number> = {};

  /** @param options - the seed and the initial settings */
  constructor(options: FakeServiceOptions = {}) {
    super(LogSettings.partial(), DEFAULTS, options);
    this.#log = new MemoryLog({
      clock: new SystemClock(),
      random: this.random,
      onAppend: (event) => this.#recordAppend(event),
    });
    this.#log.setFaults(this.settings);
  }

  override changeSettings(settings: unknown): void {
    super.changeSettings(settings);
    this.#log.setFaults(this.settings);
    this.#streams.forEach((stream) => this.#log.trim(stream, this.settings.trimTo));
  }

  override registerRoutes(app: FastifyInstance): void {
    app.post<{ Params: StreamParams }>('/v1/streams/:stream/records', (req, reply) =>
      this.#handleAppend(req, reply),
    );
    app.get<{ Params: StreamParams; Querystring: ReadQuery }>(
      '/v1/streams/:stream/records',
      (req, reply) => this.#handleRead(req, reply),
    );
    app.get<{ Params: StreamParams }>('/v1/streams/:stream', (req, reply) =>
      this.#handleBounds(req, reply),
    );
    app.get('/admin/counts', async () => ({
      byKind: this.#countsByStream,
      outcomes: this.#countsByOutcome,
    }));
  }

  /** Adds an append to the history and to the counts. */
  #recordAppend(event: AppendEvent): void {
    this.history.add({ op: 'append', ...event });
    this.#countsByOutcome[event.outcome] = (this.#countsByOutcome[event.outcome] ?? 0) + 1;
    if (event.offset === undefined) return;
    const kinds = this.#countsByStream[event.stream] ?? {};
    this.#countsByStream[event.stream] = kinds;
    new Set(event.kinds).forEach((kind) => {
      kinds[kind] = (kinds[kind] ?? 0) + 1;
    });
  }

  async #handleAppend(
    req: FastifyRequest<{ Params: StreamParams }>,
    reply: FastifyReply,
  ): Promise<unknown> {
    const body = AppendBody.safeParse(req.body);
    if (!body.success) return reply.code(400).send({ error: body.error.message });
    const { stream } = req.params;
    this.#streams.add(stream);
    const result = await this.#log.append(stream, body.data.records as unknown as NewRecord[]);
    if (result.isOk()) return { offset: result.value };
    if (result.error.run === 'may-have-run') return reply.hijack();
    if (result.error.detail !== 'rate limit exceeded') return sendOutage(reply);
    return reply.code(429).header('retry-after', '1').send({ error: 'rate' });
  }

  async #handleRead(
    req: FastifyRequest<{ Params: StreamParams; Querystring: ReadQuery }>,
    reply: FastifyReply,
  ): Promise<unknown> {
    const { from = '0', limit = String(PAGE_LIMIT), waitMs = '0' } = req.query;
    const closed = new AbortController();
    reply.raw.once('close', () => closed.abort());
    const page = await this.#log.read(req.params.stream, Number(from) as Offset, {
      limit: Number(limit),
      waitMs: Number(waitMs),
      signal: closed.signal,
    });
    if (page.isOk()) return page.value;
    if (this.settings.silent) return reply.hijack();
    if (page.error.code !== 'offset_trimmed') return sendOutage(reply);
    return reply.code(410).send(JSON.parse(page.error.detail));
  }

  async #handleBounds(
    req: FastifyRequest<{ Params: StreamParams }>,
    reply: FastifyReply,
  ): Promise<unknown> {
    const bounds = await this.#log.bounds(req.params.stream);
    if (bounds.isOk()) return bounds.value;
    return this.settings.silent ? reply.hijack() : sendOutage(reply);
  }
}
