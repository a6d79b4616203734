import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { TargetClient } from '../src/target-client';

// A response that only the end of its connection delimits.
const RESPONSE_START = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of';

let server: Server;
let client: TargetClient;

beforeEach(async () => {
  server = createServer(({ url, socket }) => {
    socket.write(RESPONSE_START);
    if (url === '/reset') socket.resetAndDestroy();
    else if (url === '/reset-later') setTimeout(() => socket.resetAndDestroy(), 20);
    else socket.end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  client = new TargetClient({ url: `http://127.0.0.1:${port}`, connections: 2 });
});

afterEach(async () => {
  await client.close();
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
});

async function readBody(path: string, isIdempotent: boolean): Promise<string> {
  const { signal } = new AbortController();
  const request = { method: 'GET', path, headers: [], body: undefined, isIdempotent, signal };
  return (await client.send(request))._unsafeUnwrap().body.text();
}

describe('a response without a length', () => {
  it.each([true, false])(
    'is complete after a normal close (idempotent: %s)',
    async (idempotent) => {
      expect(await readBody('/close', idempotent)).toBe('half of');
    },
  );

  it.each([
    ['/reset', true],
    ['/reset', false],
    ['/reset-later', true],
    ['/reset-later', false],
  ])('is broken after a reset (%s, idempotent: %s)', async (path, idempotent) => {
    await expect(readBody(path, idempotent)).rejects.toThrow();
  });
});
