import {
  type Failure,
  ManualClock,
  Metrics,
  RandomSource,
  createFailure,
} from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import {
  RelayFallbackTransport,
  type HttpResponse,
  HttpTransport,
  HttpClient,
  LogRelay,
} from '../src';

class FakeTransport extends HttpTransport {
  calls = 0;

  respond: () => Result<HttpResponse, Failure> = () => ok({ status: 200, body: new Uint8Array() });

  override send(): ResultAsync<HttpResponse, Failure> {
    this.calls += 1;
    return new ResultAsync(Promise.resolve(this.respond()));
  }
}

const REQUEST = { method: 'GET', path: '/x' } as const;

const respondRefused = (): Result<HttpResponse, Failure> =>
  ok({ status: 503, body: new Uint8Array() });

const failSilent = (): Result<HttpResponse, Failure> =>
  err(createFailure('platform_down', { run: 'may-have-run' }));

let clock: ManualClock;
let direct: FakeTransport;
let relays: FakeTransport[];
let transport: RelayFallbackTransport;

beforeEach(() => {
  clock = new ManualClock(1_000);
  direct = new FakeTransport();
  relays = [new FakeTransport(), new FakeTransport()];
  transport = new RelayFallbackTransport({
    clock,
    metrics: new Metrics({ prefix: 'test' }),
    random: new RandomSource(1),
    direct,
    relays: () => relays,
  });
});

describe('RelayFallbackTransport', () => {
  it('sends a request directly while the log responds', async () => {
    expect((await transport.send(REQUEST)).isOk()).toBe(true);
    expect(relays.map((each) => each.calls)).toEqual([0, 0]);
  });

  it.each([
    ['refuses it', respondRefused],
    ['does not respond', failSilent],
  ])('uses a relay when the log %s, and does not try it for a while', async (_, respond) => {
    direct.respond = respond;
    expect((await transport.send(REQUEST))._unsafeUnwrap().status).toBe(200);
    await transport.send(REQUEST);
    expect(direct.calls).toBe(1);
    clock.advance(1_100);
    await transport.send(REQUEST);
    expect(direct.calls).toBe(2);
  });

  it('tries another relay when the log refuses the first one as well', async () => {
    direct.respond = respondRefused;
    const [first, second] = relays;
    if (first) first.respond = respondRefused;
    expect((await transport.send(REQUEST))._unsafeUnwrap().status).toBe(200);
    expect(second?.calls).toBe(1);
    const before = first?.calls;
    await transport.send(REQUEST);
    expect(first?.calls).toBe(before);
  });

  it('returns the refusal of the log when no relay reaches it', async () => {
    [direct, ...relays].forEach((each) => Object.assign(each, { respond: respondRefused }));
    expect((await transport.send(REQUEST))._unsafeUnwrap().status).toBe(503);
  });

  it('does not report a request as not run that a relay may have sent on', async () => {
    direct.respond = respondRefused;
    const [first, second] = relays;
    if (first) first.respond = failSilent;
    if (second) second.respond = respondRefused;
    expect((await transport.send(REQUEST))._unsafeUnwrapErr().run).toBe('may-have-run');
  });

  it('does not report it so either while it uses relays first', async () => {
    direct.respond = respondRefused;
    await transport.send(REQUEST);
    const [first, second] = relays;
    if (first) first.respond = failSilent;
    if (second) second.respond = failSilent;
    expect((await transport.send(REQUEST))._unsafeUnwrapErr().run).toBe('may-have-run');
  });

  it('does not use a relay after a response other than 429 or 503', async () => {
    direct.respond = () => ok({ status: 410, body: new Uint8Array() });
    expect((await transport.send(REQUEST))._unsafeUnwrap().status).toBe(410);
    expect(relays.map((each) => each.calls)).toEqual([0, 0]);
  });
});

describe('LogRelay', () => {
  let relay: LogRelay;
  let hasDirectAccess: boolean;
  let client: HttpClient;

  beforeEach(async () => {
    hasDirectAccess = true;
    relay = new LogRelay(
      direct,
      (path) => path.startsWith('/log'),
      () => hasDirectAccess,
    );
    await relay.listen(0, '127.0.0.1');
    client = new HttpClient({ url: `http://127.0.0.1:${relay.port}` });
  });

  afterEach(async () => {
    await client.close();
    relay.close();
  });

  it('returns the status and the body of the response', async () => {
    direct.respond = () => ok({ status: 412, body: Buffer.from('end') });
    const response = await client.send({ method: 'POST', path: '/log', body: Buffer.from('x') });
    expect(response._unsafeUnwrap().status).toBe(412);
    expect(Buffer.from(response._unsafeUnwrap().body).toString()).toBe('end');
  });

  it('refuses a request at once when its own process does not reach the log', async () => {
    hasDirectAccess = false;
    const response = await client.send({ method: 'GET', path: '/log' });
    expect(response._unsafeUnwrap().status).toBe(503);
    expect(direct.calls).toBe(0);
  });

  it('forwards only requests to the log', async () => {
    const response = await client.send({ method: 'GET', path: '/other' });
    expect(response._unsafeUnwrap().status).toBe(404);
    expect(direct.calls).toBe(0);
  });

  it('responds 502, not 503, when the request may have been executed', async () => {
    direct.respond = failSilent;
    const response = await client.send({ method: 'GET', path: '/log' });
    expect(response._unsafeUnwrap().status).toBe(502);
  });
});
