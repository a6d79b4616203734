import { type Failure, createFailure } from '@hibiscushill/base';
import { ResultAsync, ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { HttpClient, HttpTransport, LogRelay } from '../src';

const BODY = Buffer.alloc(3_500_000, 'x');
const APPEND = { method: 'POST', path: '/log/append', body: BODY } as const;

/** A log that responds only when the test says so. */
class WaitingLog extends HttpTransport {
  readonly waiting: (() => void)[] = [];

  override send(): ReturnType<HttpTransport['send']> {
    const answered = new Promise<void>((resolve) => {
      this.waiting.push(resolve);
    });
    return ResultAsync.fromPromise(
      answered.then(() => ({ status: 200, body: new Uint8Array() })),
      (): Failure => createFailure('platform_down', { detail: 'never' }),
    );
  }
}

let log: WaitingLog;
let relay: LogRelay;
let client: HttpClient;

beforeEach(async () => {
  log = new WaitingLog();
  relay = new LogRelay(
    log,
    (path) => path.startsWith('/log/'),
    () => true,
  );
  await relay.listen(0, '127.0.0.1');
  client = new HttpClient({ url: `http://127.0.0.1:${relay.port}` });
});

afterEach(() => {
  client.close();
  relay.close();
});

async function waitForCalls(count: number): Promise<void> {
  while (log.waiting.length < count) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('the relay of calls to the log', () => {
  it('refuses a call whose body has no room beside those of others, as not executed', async () => {
    const calls = Array.from({ length: 4 }, () => client.send(APPEND));
    await waitForCalls(4);
    const refused = await client.send(APPEND);
    expect(refused.map(({ status }) => status)).toEqual(ok(503));
    log.waiting.splice(0).forEach((answer) => answer());
    const answered = await Promise.all(calls);
    expect(answered.map((result) => result.map(({ status }) => status))).toEqual(
      Array(4).fill(ok(200)),
    );
    const later = client.send(APPEND);
    await waitForCalls(1);
    log.waiting[0]?.();
    expect((await later).map(({ status }) => status)).toEqual(ok(200));
  });

  it('refuses a body that is too large for any call', async () => {
    const refused = await client.send({ ...APPEND, body: Buffer.alloc(5_000_000) });
    expect(refused.map(({ status }) => status)).toEqual(ok(404));
  });
});
