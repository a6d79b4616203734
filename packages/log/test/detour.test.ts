import {
  type Failure,
  ManualClock,
  Metrics,
  RandomSource,
  createFailure,
} from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { DetourClient, type HttpAnswer, HttpCaller, HttpClient, LogRelay } from '../src';

class Way extends HttpCaller {
  calls = 0;

  answer: () => Result<HttpAnswer, Failure> = () => ok({ status: 200, body: new Uint8Array() });

  override send(): ResultAsync<HttpAnswer, Failure> {
    this.calls += 1;
    return new ResultAsync(Promise.resolve(this.answer()));
  }
}

const CALL = { method: 'GET', path: '/x' } as const;

const refused = (): Result<HttpAnswer, Failure> => ok({ status: 503, body: new Uint8Array() });

const silent = (): Result<HttpAnswer, Failure> =>
  err(createFailure('platform_down', { run: 'may-have-run' }));

let clock: ManualClock;
let direct: Way;
let peers: Way[];
let client: DetourClient;

beforeEach(() => {
  clock = new ManualClock(1_000);
  direct = new Way();
  peers = [new Way(), new Way()];
  client = new DetourClient({
    clock,
    metrics: new Metrics({ prefix: 'test' }),
    random: new RandomSource(1),
    direct,
    peers: () => peers,
  });
});

describe('a call to the log', () => {
  it('goes straight to it while it answers', async () => {
    expect((await client.send(CALL)).isOk()).toBe(true);
    expect(peers.map((peer) => peer.calls)).toEqual([0, 0]);
  });

  it.each([
    ['refuses', refused],
    ['keeps silent', silent],
  ])('goes through a peer when it %s, and then stays away for a while', async (_, answer) => {
    direct.answer = answer;
    expect((await client.send(CALL))._unsafeUnwrap().status).toBe(200);
    await client.send(CALL);
    expect(direct.calls).toBe(1);
    clock.advance(1_100);
    await client.send(CALL);
    expect(direct.calls).toBe(2);
  });

  it('asks another peer when the first is turned away as well', async () => {
    direct.answer = refused;
    const [first, second] = peers;
    if (first) first.answer = refused;
    expect((await client.send(CALL))._unsafeUnwrap().status).toBe(200);
    expect(second?.calls).toBe(1);
    const before = first?.calls;
    await client.send(CALL);
    expect(first?.calls).toBe(before);
  });

  it('tells the refusal of the log when nobody reaches it', async () => {
    [direct, ...peers].forEach((way) => Object.assign(way, { answer: refused }));
    expect((await client.send(CALL))._unsafeUnwrap().status).toBe(503);
  });

  it('does not take another answer than a refusal for a lost way', async () => {
    direct.answer = () => ok({ status: 410, body: new Uint8Array() });
    expect((await client.send(CALL))._unsafeUnwrap().status).toBe(410);
    expect(peers.map((peer) => peer.calls)).toEqual([0, 0]);
  });
});

describe('the relay for peers', () => {
  let relay: LogRelay;
  let isOpen: boolean;
  let peer: HttpClient;

  beforeEach(async () => {
    isOpen = true;
    relay = new LogRelay(
      direct,
      (path) => path.startsWith('/log'),
      () => isOpen,
    );
    await relay.listen(0, '127.0.0.1');
    peer = new HttpClient({ url: `http://127.0.0.1:${relay.port}` });
  });

  afterEach(async () => {
    await peer.close();
    relay.close();
  });

  it('passes status and body back', async () => {
    direct.answer = () => ok({ status: 412, body: Buffer.from('end') });
    const answer = await peer.send({ method: 'POST', path: '/log', body: Buffer.from('x') });
    expect(answer._unsafeUnwrap().status).toBe(412);
    expect(Buffer.from(answer._unsafeUnwrap().body).toString()).toBe('end');
  });

  it('refuses at once when its own process does not reach the log', async () => {
    isOpen = false;
    const answer = await peer.send({ method: 'GET', path: '/log' });
    expect(answer._unsafeUnwrap().status).toBe(503);
    expect(direct.calls).toBe(0);
  });

  it('passes nothing on but calls to the log', async () => {
    const answer = await peer.send({ method: 'GET', path: '/other' });
    expect(answer._unsafeUnwrap().status).toBe(404);
    expect(direct.calls).toBe(0);
  });

  it('never says that a call which may have run has not', async () => {
    direct.answer = silent;
    const answer = await peer.send({ method: 'GET', path: '/log' });
    expect(answer._unsafeUnwrap().status).toBe(502);
  });
});
