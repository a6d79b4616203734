/** A sound model replica at which one item fails at each run. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { createEvent } from './texts';

const EVENTS = 12;
const EVENT_INTERVAL_MS = 15;
// The time after which a run of the item fails.
const FAILS_AFTER_MS = 200;

/** What the replica tells of the runs of the item that fails. */
export interface RunListener {
  readonly onReached: (engine: string) => void;
  readonly onFailed: (engine: string) => void;
}

/**
 * Starts the replica; resolves with its address, `IP:port`.
 *
 * @param id - the replica's id
 * @param failingItem - the id of the item whose runs are answered 500
 * @param listener - is told of its runs
 */
export async function startFailingEngine(
  id: string,
  failingItem: string,
  listener: RunListener,
): Promise<string> {
  async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const attempt = String(req.headers['attempt-id']);
    res.setHeader('Attempt-Id', attempt);
    if (req.headers['expect-instance'] !== id) {
      res.writeHead(421, { 'Not-Run': '1' }).end();
      return;
    }
    res.setHeader('Response-Stamp', `3e1b.07.${attempt}`);
    if (attempt === failingItem) {
      listener.onReached(id);
      await sleep(FAILS_AFTER_MS);
      if (res.destroyed) return;
      listener.onFailed(id);
      res.writeHead(500).end();
      return;
    }
    res.writeHead(200, { 'Content-Type': 'text/event-stream', 'Weight-Versions': '1' });
    const last = Number(req.headers['last-event-id'] ?? 0);
    for (let number = last + 1; number <= EVENTS && !res.destroyed; number += 1) {
      res.write(createEvent(attempt, number));
      await sleep(EVENT_INTERVAL_MS);
    }
    res.end();
  }

  const server = http.createServer((req, res) => {
    req.resume();
    req.on('end', () => {
      if (req.url === '/-/report') {
        const models = [{ name: 'daka510000', version: 1, adapters: [] }];
        res.end(JSON.stringify({ stage: 'both', models, busy: false, seq: 0 }));
      } else if (req.url === '/-/order') res.writeHead(200).end();
      else answer(req, res).catch(() => res.destroy());
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
