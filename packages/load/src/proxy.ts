/** A bare HTTP proxy: the baseline that the entry is measured against. */
import fastify, { type FastifyInstance } from 'fastify';
import { Pool } from 'undici';

const MAX_CONNECTIONS = 256;
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length']);

/**
 * Makes a proxy that passes every request on and checks nothing.
 *
 * @param targetUrl - where requests go
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
      headers: keepEndToEnd(req.headers),
      body: Buffer.isBuffer(req.body) ? req.body : null,
    });
    void reply.code(res.statusCode).headers(keepEndToEnd(res.headers));
    return reply.send(res.body);
  });
  app.addHook('onClose', () => pool.destroy());
  return app;
}

function keepEndToEnd(headers: Readonly<Record<string, string | string[] | undefined>>) {
  return Object.fromEntries(
    Object.entries(headers).filter(([name, value]) => value !== undefined && !HOP_BY_HOP.has(name)),
  ) as Record<string, string | string[]>;
}
