/** Forwards requests of other processes to the log. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

import { type Metrics, createLogger } from '@hibiscushill/base';

import { type HttpRequest, type HttpTransport } from './http-transport';

const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
// Shorter than the time that the other process waits for the relay.
const FORWARD_TIMEOUT_MS = 3_000;
const MAX_BODY_BYTES = 4_000_000;
// What the bodies of all requests may take together, from their first byte to their response.
const MAX_TOTAL_BYTES = 16_000_000;

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

  readonly #metrics: Metrics | undefined;

  readonly #logger = createLogger('log.relay');

  #bodyBytes = 0;

  /**
   * @param transport - sends requests to the log directly
   * @param isAllowedPath - tells which paths are forwarded
   * @param hasDirectAccess - tells whether this process reaches the log directly; while it doesn't,
   *   requests are refused at once
   * @param metrics - counts the requests that are refused since others take the memory
   */
  constructor(
    transport: HttpTransport,
    isAllowedPath: (path: string) => boolean,
    hasDirectAccess: () => boolean,
    metrics?: Metrics,
  ) {
    this.#transport = transport;
    this.#isAllowedPath = isAllowedPath;
    this.#hasDirectAccess = hasDirectAccess;
    this.#metrics = metrics;
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
    const chunks: Buffer[] = [];
    let keptBytes = 0;
    let isTooLarge = false;
    let hasNoRoom = false;
    res.once('close', () => {
      this.#bodyBytes -= keptBytes;
    });
    for await (const chunk of req) {
      const { length } = chunk as Buffer;
      isTooLarge ||= keptBytes + length > MAX_BODY_BYTES;
      hasNoRoom ||= this.#bodyBytes + length > MAX_TOTAL_BYTES;
      // What doesn't fit is read and dropped, so that the connection can carry the response.
      if (!isTooLarge && !hasNoRoom) {
        chunks.push(chunk as Buffer);
        keptBytes += length;
        this.#bodyBytes += length;
      }
    }
    const path = req.url ?? '/';
    if (hasNoRoom) this.#metrics?.count('relay.no_room');
    if (!this.#isAllowedPath(path) || isTooLarge) res.writeHead(404).end();
    else if (hasNoRoom || !this.#hasDirectAccess()) {
      res.writeHead(STATUS_SERVICE_UNAVAILABLE).end();
    } else await this.#forward(req, res, Buffer.concat(chunks));
  }

  async #forward(req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    const forwarded: HttpRequest = {
      method: req.method as HttpRequest['method'],
      path: req.url ?? '/',
      timeoutMs: FORWARD_TIMEOUT_MS,
      ...(body.length > 0 && { body }),
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
