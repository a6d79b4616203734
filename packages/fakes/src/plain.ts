/** The stand-in for a plain service, with orders that take effect each time they come. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { crash } from './crash';
import { CommonSettings, NO_COMMON_FAULTS, StandIn, type StandInOptions, sleep } from './stand-in';

const CHUNK = 16_384;

const PlainSettings = CommonSettings.extend({
  /** The share of calls that are answered with 500 after their effect. */
  failAnswers: z.number().min(0).max(1),
});

type PlainSettings = z.infer<typeof PlainSettings>;

interface PlainQuery {
  delayMs?: string;
  status?: string;
  bytes?: string;
}

type PlainRequest = FastifyRequest<{ Querystring: PlainQuery }>;

/** Orders, look-ups and echoes; every answer names the request that it belongs to. */
export class FakePlain extends StandIn<PlainSettings> {
  override readonly name = 'plain';

  readonly #effects = new Map<string, number>();

  /** @param options - the seed and the settings to begin with */
  constructor(options: StandInOptions = {}) {
    const schema = PlainSettings.partial() as z.ZodType<Partial<PlainSettings>>;
    super(schema, { ...NO_COMMON_FAULTS, failAnswers: 0 }, options);
  }

  override register(app: FastifyInstance): void {
    this.guard(app);
    app.removeAllContentTypeParsers();
    app.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => done(null, body));
    app.post<{ Querystring: PlainQuery }>('/orders', (req, reply) => this.#order(req, reply));
    app.get<{ Querystring: PlainQuery; Params: { id: string } }>('/lots/:id', (req, reply) =>
      this.#reply(req, reply, { lot: req.params.id, stock: countStock(req.params.id) }),
    );
    app.all<{ Querystring: PlainQuery }>('/*', (req, reply) =>
      this.#reply(req, reply, { method: req.method, path: req.url, body: textOf(req.body) }),
    );
    app.get('/admin/effects', async () => Object.fromEntries(this.#effects));
    app.post('/admin/crash', async () => {
      this.history.add({ op: 'crash' });
      setImmediate(() => crash(app.server));
      return {};
    });
  }

  async #order(req: PlainRequest, reply: FastifyReply): Promise<FastifyReply> {
    const requestId = idOf(req);
    const effects = (this.#effects.get(requestId) ?? 0) + 1;
    this.#effects.set(requestId, effects);
    this.history.add({ op: 'effect', requestId, effects });
    return this.#reply(req, reply, { effects, order: textOf(req.body) });
  }

  async #reply(req: PlainRequest, reply: FastifyReply, body: object): Promise<FastifyReply> {
    const requestId = idOf(req);
    const { method, url, headers } = req;
    this.history.add({ op: 'call', requestId, method, url, headers });
    const { delayMs = '0', status = '200', bytes = '0' } = req.query;
    if (delayMs !== '0') await sleep(Number(delayMs));
    if (reply.raw.destroyed) this.history.add({ op: 'abandoned', requestId });
    void reply.header('x-request-id', requestId);
    if (this.random.fraction() < this.settings.failAnswers) {
      this.answer(reply, 500, { requestId, error: 'failed' });
      return reply;
    }
    const answer = { requestId, ...body, ...(bytes !== '0' && { filler: fill(Number(bytes)) }) };
    this.answer(reply, Number(status), answer);
    return reply;
  }
}

/**
 * Counts the stock of a lot, the same at every call.
 *
 * @param lot - the lot's id
 * @returns how many are left
 */
export function countStock(lot: string): number {
  return [...lot].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % 997, 7);
}

function fill(bytes: number): string {
  return 'x'.repeat(Math.min(bytes, CHUNK * 1024));
}

function idOf(req: FastifyRequest): string {
  return String(req.headers['x-request-id'] ?? '');
}

function textOf(body: unknown): string {
  return Buffer.isBuffer(body) ? body.toString('utf8') : '';
}
