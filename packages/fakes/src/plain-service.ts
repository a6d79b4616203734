/** The fake of a plain service, whose orders take effect again each time they are sent. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { crash } from './crash';
import {
  CommonSettings,
  FakeService,
  type FakeServiceOptions,
  NO_COMMON_FAULTS,
  sleep,
} from './fake-service';

const MAX_FILLER_KIB = 16_384;

const PlainSettings = CommonSettings.extend({
  /** The fraction of calls that get the status 500 after their effect. */
  failAnswers: z.number().min(0).max(1),
});

type PlainSettings = z.infer<typeof PlainSettings>;

/** Query parameters that shape a response: its delay, its status, and the size of its filler. */
interface PlainQuery {
  delayMs?: string;
  status?: string;
  bytes?: string;
}

type PlainRequest = FastifyRequest<{ Querystring: PlainQuery }>;

/** Serves orders, look-ups and echoes. Every response names the request that it belongs to. */
export class FakePlainService extends FakeService<PlainSettings> {
  override readonly name = 'plain';

  /** How many times the order of each request took effect, by request id. */
  readonly #effects = new Map<string, number>();

  /** @param options - the seed and the initial settings */
  constructor(options: FakeServiceOptions = {}) {
    const schema = PlainSettings.partial() as z.ZodType<Partial<PlainSettings>>;
    super(schema, { ...NO_COMMON_FAULTS, failAnswers: 0 }, options);
  }

  override registerRoutes(app: FastifyInstance): void {
    this.addFaultHook(app);
    app.removeAllContentTypeParsers();
    app.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => done(null, body));
    app.post<{ Querystring: PlainQuery }>('/orders', (req, reply) => this.#handleOrder(req, reply));
    app.get<{ Querystring: PlainQuery; Params: { id: string } }>('/lots/:id', (req, reply) =>
      this.#respondTo(req, reply, { lot: req.params.id, stock: computeStock(req.params.id) }),
    );
    app.all<{ Querystring: PlainQuery }>('/*', (req, reply) =>
      this.#respondTo(req, reply, {
        method: req.method,
        path: req.url,
        body: getBodyText(req.body),
      }),
    );
    app.get('/admin/effects', async () => Object.fromEntries(this.#effects));
    app.post('/admin/crash', async () => {
      this.history.add({ op: 'crash' });
      setImmediate(() => crash(app.server));
      return {};
    });
  }

  async #handleOrder(req: PlainRequest, reply: FastifyReply): Promise<FastifyReply> {
    const requestId = getRequestId(req);
    const effects = (this.#effects.get(requestId) ?? 0) + 1;
    this.#effects.set(requestId, effects);
    this.history.add({ op: 'effect', requestId, effects });
    return this.#respondTo(req, reply, { effects, order: getBodyText(req.body) });
  }

  async #respondTo(req: PlainRequest, reply: FastifyReply, body: object): Promise<FastifyReply> {
    const requestId = getRequestId(req);
    const { method, url, headers } = req;
    this.history.add({ op: 'call', requestId, method, url, headers });
    const { delayMs = '0', status = '200', bytes = '0' } = req.query;
    if (delayMs !== '0') await sleep(Number(delayMs));
    if (reply.raw.destroyed) this.history.add({ op: 'abandoned', requestId });
    void reply.header('x-request-id', requestId);
    if (this.random.fraction() < this.settings.failAnswers) {
      this.respond(reply, 500, { requestId, error: 'failed' });
      return reply;
    }
    const response = {
      requestId,
      ...body,
      ...(bytes !== '0' && { filler: createFiller(Number(bytes)) }),
    };
    this.respond(reply, Number(status), response);
    return reply;
  }
}

/**
 * Computes the stock of a lot, which depends on nothing but its id.
 *
 * @param lot - the id of the lot
 * @returns the number of items in stock
 */
export function computeStock(lot: string): number {
  return [...lot].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % 997, 7);
}

function createFiller(bytes: number): string {
  return 'x'.repeat(Math.min(bytes, MAX_FILLER_KIB * 1024));
}

function getRequestId(req: FastifyRequest): string {
  return String(req.headers['x-request-id'] ?? '');
}

function getBodyText(body: unknown): string {
  return Buffer.isBuffer(body) ? body.toString('utf8') : '';
}
