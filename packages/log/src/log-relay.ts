/** Forwards requests of other processes to the log. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

import { createLogger } from '@hibiscushill/base';

import { type HttpRequest, type HttpTransport } from './http-transport';

const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
// Shorter than the time that the other process waits for the relay.
const FORWARD_TIMEOUT_MS = 3_000;
const MAX_BODY_BYTES = 4_000_000;

/**
 * An HTTP server through which other processes reach the log while they can't reach it directly.
 * Responds 404 to paths that it doesn't forward and to bodies that are too large, 503 when the
 * request was certainly not executed, and 502 when it may have been.
 */
export class LogRelay {
  readonly #server: http.Server;

  readonly #transport: HttpTransport;

  readonly #isAllowedPath: (path: string) => boolean;

  readonly #hasDirectAccess: () => boolean;

  readonly #logger = createLogger('log.relay');

  /**
   * @param transport - sends requests to the log directly
   * @param isAllowedPath - tells which paths are forwarded
   * @param hasDirectAccess - tells whether this process reaches the log directly; while it doesn't,
   *   requests are refused at once
   */
  constructor(
    transport: HttpTransport,
    isAllowedPath: (path: string) => boolean,
    hasDirectAccess: () => boolean,
  ) {
    this.#transport = transport;
    this.#isAllowedPath = isAllowedPath;
    this.#hasDirectAccess = hasDirectAccess;
    this.#server = http.createServer((req, res) => {
      void this.#serve(req, res).catch((error: unknown) => {
        this.#logger.warn('Relaying a request to the log failed.', { error: String(error) });
        res.destroy();
      });
    });
  }

  /** Starts to accept connections; rejects when the address can't be used. */
  listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** The port that the server listens on; 0 before it listens. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Stops the server and closes its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? '/';
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of req) {
      chunks.push(chunk as Buffer);
      bytes += (chunk as Buffer).length;
      if (bytes > MAX_BODY_BYTES) break;
    }
    if (!this.#isAllowedPath(path) || bytes > MAX_BODY_BYTES) {
      res.writeHead(404).end();
      return;
    }
    if (!this.#hasDirectAccess()) {
      res.writeHead(STATUS_SERVICE_UNAVAILABLE).end();
      return;
    }
    const forwarded: HttpRequest = {
      method: req.method as HttpRequest['method'],
      path,
      timeoutMs: FORWARD_TIMEOUT_MS,
      ...(bytes > 0 && { body: Buffer.concat(chunks) }),
    };
    const result = await this.#transport.send(forwarded);
    if (result.isOk()) {
      res.writeHead(result.value.status).end(result.value.body);
      return;
    }
    const isNotRun = result.error.run === 'not-run';
    res.writeHead(isNotRun ? STATUS_SERVICE_UNAVAILABLE : STATUS_BAD_GATEWAY).end();
  }
}
