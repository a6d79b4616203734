/** A plain HTTP proxy, the baseline that the entry's overhead is compared with. */
import fastify, { type FastifyInstance } from 'fastify';
import { Pool } from 'undici';

const MAX_CONNECTIONS = 256;
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

/**
 * Creates a proxy that forwards every request without any check.
 *
 * @param targetUrl - the base URL to forward requests to
 * @returns the server, which is not listening yet
 */
export function createProxy(targetUrl: string): FastifyInstance {
  const pool = new Pool(targetUrl, { connections: MAX_CONNECTIONS });
  const app = fastify({ bodyLimit: MAX_BODY_BYTES });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => done(null, body));
  app.all('/*', async (req, reply) => {
    const res = await pool.request({
      method: req.method,
      path: req.url,
      headers: removeHopByHop(req.headers),
      body: Buffer.isBuffer(req.body) ? req.body : null,
    });
    void reply.code(res.statusCode).headers(removeHopByHop(res.headers));
    return reply.send(res.body);
  });
  app.addHook('onClose', () => pool.destroy());
  return app;
}

function removeHopByHop(headers: Readonly<Record<string, string | string[] | undefined>>) {
  return Object.fromEntries(
    Object.entries(headers).filter(
      ([name, value]) => value !== undefined && !HOP_BY_HOP_HEADERS.has(name),
    ),
  ) as Record<string, string | string[]>;
}
