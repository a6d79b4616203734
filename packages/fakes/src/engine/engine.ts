/** The fake of a model engine. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { crash } from '../crash';
import { FakeService, type FakeServiceOptions } from '../fake-service';
import type { HistoryEntry } from '../history';
import { Batch } from './batch';
import { EngineWeights, SwapOrder } from './engine-weights';
import { Generation, type GenerationEnd, type GenerationSpec, type TokenSink } from './generation';
import { PrefixCache } from './prefix-cache';
import { ENGINE_DEFAULTS, EngineSettings } from './settings';
import { countPromptTokens, hashText } from './tokens';

const MAX_GENERATED_TOKENS = 100_000;

const GenerateBody = z.object({
  prompt: z.string(),
  maxTokens: z.number().int().min(0).max(MAX_GENERATED_TOKENS),
  priority: z.number().default(0),
  trainer: z.string().default(''),
  seed: z.number().optional(),
  resume: z
    .object({ tokens: z.array(z.string()).default([]), from: z.number().int().min(0) })
    .optional(),
});

type GenerateBody = z.infer<typeof GenerateBody>;

/** The load of the engine, served as JSON. */
interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  /** The number of tokens in the prefix cache. */
  readonly kvTokens: number;
}

/**
 * Streams tokens that depend only on prompt and index, and keeps in its history which weight
 * version generated each of them.
 */
export class FakeEngine extends FakeService<EngineSettings> {
  override readonly name = 'engine';

  readonly #weights = new EngineWeights(this.history, this.random);

  readonly #cache = new PrefixCache();

  readonly #batch = new Batch(this.#weights, () => this.settings);

  readonly #generationsById = new Map<string, Generation>();

  #loadReport: LoadReport;

  #refreshTimer: NodeJS.Timeout | undefined;

  /** @param options - the seed and the initial settings */
  constructor(options: FakeServiceOptions = {}) {
    const schema = EngineSettings.partial() as z.ZodType<Partial<EngineSettings>>;
    super(schema, ENGINE_DEFAULTS, options);
    this.#loadReport = this.#measureLoad();
    this.#refreshLoad();
  }

  override registerRoutes(app: FastifyInstance): void {
    this.addFaultHook(app);
    app.post('/generate', (req, reply) => this.#handleGenerate(req, reply));
    app.delete<{ Params: { id: string } }>('/generate/:id', async (req) => {
      const generation = this.#generationsById.get(req.params.id);
      if (generation) this.#batch.end(generation, 'cancelled');
      return { cancelled: generation !== undefined };
    });
    app.post('/weights', (req, reply) => this.#handleSwap(req, reply));
    app.get<{ Querystring: { trainer?: string } }>('/weights', async (req) =>
      this.#weights.describe(req.query.trainer ?? ''),
    );
    app.get('/load', async () => this.#loadReport);
    app.post<{ Body: { downMs?: number } | undefined }>('/admin/crash', async (req) => {
      setImmediate(() => this.#crash(app, req.body?.downMs ?? 0));
      return {};
    });
  }

  /** The history, and the generations that are still running or queued. */
  override listHistory(): readonly HistoryEntry[] {
    const running = this.#batch.generations.map((generation) =>
      describeGeneration(generation, 'running'),
    );
    return [...this.history.entries, ...running];
  }

  override stop(): void {
    this.#batch.clear('crashed');
    clearTimeout(this.#refreshTimer);
  }

  #handleGenerate(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const body = GenerateBody.safeParse(req.body);
    if (!body.success) return reply.code(400).send({ error: body.error.message });
    const requestId = String(req.headers['x-request-id'] ?? '');
    reply.hijack();
    reply.raw.writeHead(200, {
      'content-type': 'application/x-ndjson',
      'x-request-id': requestId,
    });
    reply.raw.flushHeaders();
    const generation = new Generation(
      this.#createSpec(requestId, body.data),
      this.#createSink(reply),
    );
    this.history.add({
      op: 'start',
      requestId,
      headers: req.headers,
      priority: body.data.priority,
    });
    this.#generationsById.set(requestId, generation);
    reply.raw.once('close', () => this.#batch.end(generation, 'cancelled'));
    this.#batch.add(generation);
    return reply;
  }

  #createSpec(requestId: string, body: GenerateBody): GenerationSpec {
    const { trainer, prompt, priority, maxTokens, resume } = body;
    const firstIndex = resume?.from ?? 0;
    const cachedTokens = this.#cache.lookUp(trainer, prompt, this.settings.cacheTokens);
    const isStraggler = this.random.fraction() < this.settings.stragglers;
    return {
      requestId,
      trainer,
      promptHash: hashText(prompt),
      priority,
      firstIndex,
      endIndex: maxTokens,
      prefillTokens: Math.max(0, countPromptTokens(prompt) - cachedTokens) + firstIndex,
      stepsPerToken: isStraggler ? this.settings.stragglerFactor : 1,
    };
  }

  #createSink({ raw }: FastifyReply): TokenSink {
    return {
      send: (i, t, v) => raw.write(`${JSON.stringify({ i, t, v })}\n`),
      canSend: () => !raw.writableNeedDrain,
      finish: (generation, end) => {
        this.#recordEnd(generation, end);
        if (end !== 'done') raw.destroy();
        else raw.end(`${JSON.stringify({ done: true, tokens: generation.nextIndex })}\n`);
      },
    };
  }

  #recordEnd(generation: Generation, end: GenerationEnd): void {
    const { requestId } = generation.spec;
    if (this.#generationsById.get(requestId) === generation)
      this.#generationsById.delete(requestId);
    this.history.add(describeGeneration(generation, end));
  }

  async #handleSwap(req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const order = SwapOrder.safeParse(req.body);
    if (!order.success) return reply.code(400).send({ error: order.error.message });
    const { status, body } = await this.#weights.swap(order.data, this.settings);
    if (status === undefined) return reply.hijack();
    this.respond(reply, status, body);
    return reply;
  }

  #crash(app: FastifyInstance, downMs: number): void {
    this.#batch.clear('crashed');
    this.#weights.clear();
    this.#cache.clear();
    this.history.add({ op: 'crash', downMs });
    crash(app.server, downMs);
  }

  #measureLoad(): LoadReport {
    const { running, queued } = this.#batch;
    return { running, queued, slots: this.settings.slots, kvTokens: this.#cache.tokens };
  }

  #refreshLoad(): void {
    this.#loadReport = this.#measureLoad();
    this.#refreshTimer = setTimeout(() => this.#refreshLoad(), this.settings.loadLagMs);
    this.#refreshTimer.unref();
  }
}

function describeGeneration(generation: Generation, end: GenerationEnd | 'running'): HistoryEntry {
  const { requestId, trainer, promptHash, firstIndex } = generation.spec;
  const { nextIndex, segments } = generation;
  return {
    op: 'generate',
    requestId,
    trainer,
    promptHash,
    from: firstIndex,
    next: nextIndex,
    segments,
    end,
  };
}
