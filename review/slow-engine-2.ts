/** A sound model replica that records when it works on which request. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { now, record } from './case-2';
import { createEvent } from './texts-2';

/** A run of a request at a replica. */
export interface EngineRun {
  readonly engine: string;
  readonly attempt: string;
  readonly from: number;
  readonly startedAt: number;
  /** When the replica stopped to work on it; undefined while it works. */
  endedAt: number | undefined;
}

/** How a replica generates texts, and where its runs are recorded. */
export interface SlowEngineOptions {
  /** The number of events in the text of a request. */
  readonly countEvents: (attempt: string) => number;
  readonly intervalMs: number;
  readonly runs: EngineRun[];
}

/** Starts a replica; resolves with its address, `IP:port`. */
export async function startSlowEngine(
  id: string,
  { countEvents, intervalMs, runs }: SlowEngineOptions,
): Promise<string> {
  async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const attempt = String(req.headers['attempt-id']);
    res.setHeader('Attempt-Id', attempt);
    if (req.headers['expect-instance'] !== id) {
      res.writeHead(421, { 'Not-Run': '1' }).end();
      return;
    }
    const last = Number(req.headers['last-event-id'] ?? 0);
    const run: EngineRun = {
      engine: id,
      attempt,
      from: last + 1,
      startedAt: now(),
      endedAt: undefined,
    };
    runs.push(run);
    record(`${id} begins to work on ${attempt} from event ${last + 1}`);
    // A replica drops a request when its channel closes.
    let isDropped = false;
    res.once('close', () => {
      if (run.endedAt !== undefined) return;
      isDropped = true;
      run.endedAt = now();
      record(`${id} drops ${attempt}, whose channel was closed`);
    });
    res.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Response-Stamp': `3e1b.07.${attempt}`,
      'Weight-Versions': '1',
    });
    const events = countEvents(attempt);
    for (let number = last + 1; number <= events && !isDropped; number += 1) {
      res.write(createEvent(attempt, number));
      await sleep(intervalMs);
    }
    if (isDropped) return;
    run.endedAt = now();
    record(`${id} has finished ${attempt}`);
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
