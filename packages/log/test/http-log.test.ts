import { type AddressInfo, type Server, createServer } from 'node:net';

import type { Offset } from '@hibiscushill/base';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { HttpLog } from '../src';

describe('HttpLog', () => {
  let unresponsive: Server;

  beforeEach(async () => {
    unresponsive = createServer((socket) => socket.on('error', () => undefined));
    await new Promise<void>((resolve) => {
      unresponsive.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    unresponsive.close();
  });

  it('accepts a timeout with a fraction of a millisecond', async () => {
    const { port } = unresponsive.address() as AddressInfo;
    const log = new HttpLog({ url: `http://127.0.0.1:${port}` });
    const page = await log.read('config', 0 as Offset, { timeoutMs: 20.365 });
    expect(page._unsafeUnwrapErr().code).toBe('platform_down');
  });
});
