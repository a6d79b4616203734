/** The stand-in for the platform's log. */
import { type Offset, SystemClock } from '@hibiscushill/base';
import { type AppendEvent, MemoryLog, type NewRecord, type StreamName } from '@hibiscushill/log';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { CommonSettings, NO_COMMON_FAULTS, StandIn, type StandInOptions, refuse } from './stand-in';

const LogSettings = CommonSettings.extend({
  /** The share of appends that get no answer and take effect after `landLateMs`. */
  landLate: z.number().min(0).max(1),
  landLateMs: z.number().min(0),
  /** Appends a second beyond which the log answers 429; zero for no bound. */
  appendsPerSecond: z.number().min(0),
  /** The most records that each stream keeps. */
  keepCount: z.number().min(0),
  /** How long each record is kept, in milliseconds. */
  keepMs: z.number().min(0),
  /** Drops once the records of all streams before this offset. */
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

/** A log in memory, with counters of appends by stream, kind and outcome. */
export class FakeLog extends StandIn<LogSettings> {
  override readonly name = 'log';

  readonly #log: MemoryLog;

  readonly #streams = new Set<StreamName>();

  readonly #counts: Record<string, Record<string, number>> = {};

  readonly #outcomes: Record<string, number> = {};

  /** @param options - the seed and the faults to begin with */
  constructor(options: StandInOptions = {}) {
    super(LogSettings.partial(), DEFAULTS, options);
    this.#log = new MemoryLog({
      clock: new SystemClock(),
      random: this.random,
      onAppend: (event) => this.#note(event),
    });
    this.#log.setFaults(this.settings);
  }

  override change(settings: unknown): void {
    super.change(settings);
    this.#log.setFaults(this.settings);
    this.#streams.forEach((stream) => this.#log.trim(stream, this.settings.trimTo));
  }

  override register(app: FastifyInstance): void {
    app.post<{ Params: StreamParams }>('/v1/streams/:stream/records', (req, reply) =>
      this.#append(req, reply),
    );
    app.get<{ Params: StreamParams; Querystring: ReadQuery }>(
      '/v1/streams/:stream/records',
      (req, reply) => this.#read(req, reply),
    );
    app.get<{ Params: StreamParams }>('/v1/streams/:stream', (req, reply) =>
      this.#bounds(req, reply),
    );
    app.get('/admin/counts', async () => ({ byKind: this.#counts, outcomes: this.#outcomes }));
  }

  #note(event: AppendEvent): void {
    this.history.add({ op: 'append', ...event });
    this.#outcomes[event.outcome] = (this.#outcomes[event.outcome] ?? 0) + 1;
    if (event.offset === undefined) return;
    const kinds = this.#counts[event.stream] ?? {};
    this.#counts[event.stream] = kinds;
    new Set(event.kinds).forEach((kind) => {
      kinds[kind] = (kinds[kind] ?? 0) + 1;
    });
  }

  async #append(
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
    if (result.error.detail !== 'rate') return refuse(reply);
    return reply.code(429).header('retry-after', '1').send({ error: 'rate' });
  }

  async #read(
    req: FastifyRequest<{ Params: StreamParams; Querystring: ReadQuery }>,
    reply: FastifyReply,
  ): Promise<unknown> {
    const { from = '0', limit = String(PAGE_LIMIT), waitMs = '0' } = req.query;
    const gone = new AbortController();
    reply.raw.once('close', () => gone.abort());
    const page = await this.#log.read(req.params.stream, Number(from) as Offset, {
      limit: Number(limit),
      waitMs: Number(waitMs),
      signal: gone.signal,
    });
    if (page.isOk()) return page.value;
    if (this.settings.silent) return reply.hijack();
    if (page.error.code !== 'offset_trimmed') return refuse(reply);
    return reply.code(410).send(JSON.parse(page.error.detail));
  }

  async #bounds(
    req: FastifyRequest<{ Params: StreamParams }>,
    reply: FastifyReply,
  ): Promise<unknown> {
    const bounds = await this.#log.bounds(req.params.stream);
    if (bounds.isOk()) return bounds.value;
    return this.settings.silent ? reply.hijack() : refuse(reply);
  }
}
