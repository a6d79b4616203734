/** Passes calls of peers on to the log. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

import { createLogger } from '@hibiscushill/base';

import { type HttpCall, type HttpCaller } from './http-client';

const STATUS_UNAVAILABLE = 503;
const STATUS_NO_ANSWER = 502;
// A peer waits a little longer than its call may take here.
const MOST_TIMEOUT_MS = 3_000;
const MOST_BODY_BYTES = 4_000_000;

/** The server that peers call. */
export class LogRelay {
  readonly #server: http.Server;

  readonly #log: HttpCaller;

  readonly #isRelayed: (path: string) => boolean;

  readonly #isOpen: () => boolean;

  readonly #logger = createLogger('log.relay');

  /**
   * @param log - the direct way to the log
   * @param isRelayed - tells which paths are passed on
   * @param isOpen - whether this process reaches the log itself; else calls are refused at once
   */
  constructor(log: HttpCaller, isRelayed: (path: string) => boolean, isOpen: () => boolean) {
    this.#log = log;
    this.#isRelayed = isRelayed;
    this.#isOpen = isOpen;
    this.#server = http.createServer((req, res) => {
      void this.#serve(req, res).catch((error: unknown) => {
        this.#logger.warn('A relayed call failed.', { error: String(error) });
        res.destroy();
      });
    });
  }

  /** Listens. */
  listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** The port that it listens on. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Closes the server and its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? '/';
    const parts: Buffer[] = [];
    let bytes = 0;
    for await (const part of req) {
      parts.push(part as Buffer);
      bytes += (part as Buffer).length;
      if (bytes > MOST_BODY_BYTES) break;
    }
    if (!this.#isRelayed(path) || bytes > MOST_BODY_BYTES) {
      res.writeHead(404).end();
      return;
    }
    if (!this.#isOpen()) {
      res.writeHead(STATUS_UNAVAILABLE).end();
      return;
    }
    const call: HttpCall = {
      method: req.method as HttpCall['method'],
      path,
      timeoutMs: MOST_TIMEOUT_MS,
      ...(bytes > 0 && { body: Buffer.concat(parts) }),
    };
    const answer = await this.#log.send(call);
    if (answer.isOk()) {
      res.writeHead(answer.value.status).end(answer.value.body);
      return;
    }
    const isNotRun = answer.error.run === 'not-run';
    res.writeHead(isNotRun ? STATUS_UNAVAILABLE : STATUS_NO_ANSWER).end();
  }
}
