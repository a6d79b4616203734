/**
 * A model replica whose answers have no length and end with their channel. It writes the end of each
 * event together with the beginning of the next one, so that a crash cuts it off within an event.
 *
 * Arguments: id, port, number of events, milliseconds between events.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createEvent } from './texts-2';

const [id = '', port = '', events = '', pauseMs = ''] = process.argv.slice(2);
const SPLIT_BYTES = 9;

async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
  const attempt = String(req.headers['attempt-id']);
  res.setHeader('Attempt-Id', attempt);
  if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== id) {
    res.writeHead(421, { 'Not-Run': '1' }).end();
    return;
  }
  res.useChunkedEncodingByDefault = false;
  res.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'Response-Stamp': `3e1b.07.${attempt}`,
    'Weight-Versions': '1',
    Connection: 'close',
  });
  let rest = '';
  for (
    let number = Number(req.headers['last-event-id'] ?? 0) + 1;
    number <= Number(events);
    number += 1
  ) {
    const event = createEvent(attempt, number);
    res.write(rest + event.slice(0, SPLIT_BYTES));
    rest = event.slice(SPLIT_BYTES);
    await sleep(Number(pauseMs));
    if (res.destroyed) return;
  }
  res.end(rest);
}

http
  .createServer((req, res) => {
    req.resume();
    req.on('end', () => {
      if (req.url === '/-/report') {
        const models = [{ name: 'daka510000', version: 1, adapters: [] }];
        res.setHeader('Content-Type', 'application/json');
        res.end(JSON.stringify({ stage: 'both', models, busy: false, seq: 0 }));
      } else if (req.url === '/-/order') res.writeHead(200).end();
      else answer(req, res).catch(() => res.destroy());
    });
  })
  .listen(Number(port), '127.0.0.1');
