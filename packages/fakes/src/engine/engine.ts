/** The stand-in for a model engine. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { crash } from '../crash';
import type { HistoryEntry } from '../history';
import { StandIn, type StandInOptions } from '../stand-in';
import { Batch } from './batch';
import { EngineWeights, SwapOrder } from './engine-weights';
import { Generation, type GenerationEnd, type GenerationSpec, type TokenSink } from './generation';
import { PrefixCache } from './prefix-cache';
import { ENGINE_DEFAULTS, EngineSettings } from './settings';
import { countPromptTokens, hashText } from './tokens';

const MAX_TOKENS = 100_000;

const GenerateBody = z.object({
  prompt: z.string(),
  maxTokens: z.number().int().min(0).max(MAX_TOKENS),
  priority: z.number().default(0),
  trainer: z.string().default(''),
  seed: z.number().optional(),
  resume: z
    .object({ tokens: z.array(z.string()).default([]), from: z.number().int().min(0) })
    .optional(),
});

type GenerateBody = z.infer<typeof GenerateBody>;

interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly kvTokens: number;
}

/** Streams tokens that are known beforehand, and keeps the true record of who made them. */
export class FakeEngine extends StandIn<EngineSettings> {
  override readonly name = 'engine';

  readonly #weights = new EngineWeights(this.history, this.random);

  readonly #cache = new PrefixCache();

  readonly #batch = new Batch(this.#weights, () => this.settings);

  readonly #byId = new Map<string, Generation>();

  #load: LoadReport;

  #loadTimer: NodeJS.Timeout | undefined;

  /** @param options - the seed and the settings to begin with */
  constructor(options: StandInOptions = {}) {
    const schema = EngineSettings.partial() as z.ZodType<Partial<EngineSettings>>;
    super(schema, ENGINE_DEFAULTS, options);
    this.#load = this.#measure();
    this.#refreshLoad();
  }

  override register(app: FastifyInstance): void {
    this.guard(app);
    app.post('/generate', (req, reply) => this.#generate(req, reply));
    app.delete<{ Params: { id: string } }>('/generate/:id', async (req) => {
      const generation = this.#byId.get(req.params.id);
      if (generation) this.#batch.end(generation, 'cancelled');
      return { cancelled: generation !== undefined };
    });
    app.post('/weights', (req, reply) => this.#swap(req, reply));
    app.get<{ Querystring: { trainer?: string } }>('/weights', async (req) =>
      this.#weights.describe(req.query.trainer ?? ''),
    );
    app.get('/load', async () => this.#load);
    app.post<{ Body: { downMs?: number } | undefined }>('/admin/crash', async (req) => {
      setImmediate(() => this.#crash(app, req.body?.downMs ?? 0));
      return {};
    });
  }

  /** The ended generations and swaps, and the generations that still run. */
  override report(): readonly HistoryEntry[] {
    const running = this.#batch.generations.map((generation) => describe(generation, 'running'));
    return [...this.history.entries, ...running];
  }

  override stop(): void {
    this.#batch.clear('crashed');
    clearTimeout(this.#loadTimer);
  }

  #generate(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const body = GenerateBody.safeParse(req.body);
    if (!body.success) return reply.code(400).send({ error: body.error.message });
    const requestId = String(req.headers['x-request-id'] ?? '');
    reply.hijack();
    reply.raw.writeHead(200, {
      'content-type': 'application/x-ndjson',
      'x-request-id': requestId,
    });
    reply.raw.flushHeaders();
    const generation = new Generation(this.#specify(requestId, body.data), this.#createSink(reply));
    this.history.add({
      op: 'start',
      requestId,
      headers: req.headers,
      priority: body.data.priority,
    });
    this.#byId.set(requestId, generation);
    reply.raw.once('close', () => this.#batch.end(generation, 'cancelled'));
    this.#batch.add(generation);
    return reply;
  }

  #specify(requestId: string, body: GenerateBody): GenerationSpec {
    const { trainer, prompt, priority, maxTokens, resume } = body;
    const from = resume?.from ?? 0;
    const hits = this.#cache.take(trainer, prompt, this.settings.cacheTokens);
    const isStraggler = this.random.fraction() < this.settings.stragglers;
    return {
      requestId,
      trainer,
      promptHash: hashText(prompt),
      priority,
      from,
      maxTokens,
      prefill: Math.max(0, countPromptTokens(prompt) - hits) + from,
      pace: isStraggler ? this.settings.stragglerFactor : 1,
    };
  }

  #createSink({ raw }: FastifyReply): TokenSink {
    return {
      send: (i, t, v) => raw.write(`${JSON.stringify({ i, t, v })}\n`),
      canSend: () => !raw.writableNeedDrain,
      finish: (generation, end) => {
        this.#forget(generation, end);
        if (end !== 'done') raw.destroy();
        else raw.end(`${JSON.stringify({ done: true, tokens: generation.next })}\n`);
      },
    };
  }

  #forget(generation: Generation, end: GenerationEnd): void {
    const { requestId } = generation.spec;
    if (this.#byId.get(requestId) === generation) this.#byId.delete(requestId);
    this.history.add(describe(generation, end));
  }

  async #swap(req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const order = SwapOrder.safeParse(req.body);
    if (!order.success) return reply.code(400).send({ error: order.error.message });
    const { status, body } = await this.#weights.swap(order.data, this.settings);
    if (status === undefined) return reply.hijack();
    this.answer(reply, status, body);
    return reply;
  }

  #crash(app: FastifyInstance, downMs: number): void {
    this.#batch.clear('crashed');
    this.#weights.clear();
    this.#cache.clear();
    this.history.add({ op: 'crash', downMs });
    crash(app.server, downMs);
  }

  #measure(): LoadReport {
    const { running, queued } = this.#batch;
    return { running, queued, slots: this.settings.slots, kvTokens: this.#cache.tokens };
  }

  #refreshLoad(): void {
    this.#load = this.#measure();
    this.#loadTimer = setTimeout(() => this.#refreshLoad(), this.settings.loadLagMs);
    this.#loadTimer.unref();
  }
}

function describe(generation: Generation, end: GenerationEnd | 'running'): HistoryEntry {
  const { requestId, trainer, promptHash, from } = generation.spec;
  const { next, segments } = generation;
  return { op: 'generate', requestId, trainer, promptHash, from, next, segments, end };
}
