import { connect } from 'node:net';

import { afterEach, describe, expect, it, vi } from 'vitest';

import { Cutter, FakeEngine, FakePlain, FakeServer, createTokens } from '../src';
import { PrefixCache } from '../src/engine/prefix-cache';

const closing: { close(): Promise<void> }[] = [];

function own<T extends { close(): Promise<void> }>(closable: T): T {
  closing.unshift(closable);
  return closable;
}

afterEach(async () => {
  for (const closable of closing.splice(0)) await closable.close();
});

async function setUpEngine(settings: object = {}) {
  const engine = new FakeEngine({ settings: { tokenMs: 1, loadMs: 5, ...settings } });
  const server = own(await FakeServer.start([engine]));
  const send = (path: string, body: object, options: { id?: string; signal?: AbortSignal } = {}) =>
    fetch(`${server.url}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'x-request-id': options.id ?? '' },
      body: JSON.stringify(body),
      ...(options.signal && { signal: options.signal }),
    });
  const generate = async (body: object, id = '') => {
    const res = await send('/generate', body, { id });
    const lines = (await res.text()).trim().split('\n');
    return lines.map((line) => JSON.parse(line) as { i?: number; t?: string; v?: number });
  };
  const ends = () => engine.report().filter((seen) => seen.op === 'generate');
  return { engine, server, send, generate, ends };
}

function swap(version: number, fencing: number, order = `o${version}`) {
  return { trainer: 't', version, fencing, order, source: 'store' };
}

describe('the engine stand-in', () => {
  it('streams the tokens that prompt and index give, and resumes', async () => {
    const { generate } = await setUpEngine();
    const expected = createTokens('brine', 5);
    const whole = await generate({ prompt: 'brine', maxTokens: 5 });
    expect(whole.slice(0, 5).map((line) => line.t)).toEqual(expected);
    expect(whole.at(-1)).toEqual({ done: true, tokens: 5 });
    const resume = { tokens: expected.slice(0, 3), from: 3 };
    const rest = await generate({ prompt: 'brine', maxTokens: 5, resume });
    expect(rest.map((line) => line.t)).toEqual([...expected.slice(3), undefined]);
  });

  it('names the version that made each token, as its own record does', async () => {
    const { send, generate, ends } = await setUpEngine();
    const running = generate({ prompt: 'rind', maxTokens: 400, trainer: 't' }, 'r1');
    // The swap has to fall between two tokens: after the first, and long before the last.
    await vi.waitUntil(() => Number(ends()[0]?.next ?? 0) > 0);
    expect((await send('/weights', swap(2, 1))).status).toBe(200);
    const versions = (await running).slice(0, -1).map((line) => line.v);
    expect(new Set(versions)).toEqual(new Set([0, 2]));
    const [seen] = ends() as unknown as [{ segments: { v: number; from: number; to: number }[] }];
    const recorded = seen.segments.flatMap(({ v, from, to }) => Array<number>(to - from).fill(v));
    expect(versions).toEqual(recorded);
  });

  it('refuses an older fencing number only when it checks', async () => {
    const { engine, send } = await setUpEngine();
    await send('/weights', swap(1, 5));
    const refused = await send('/weights', swap(2, 4));
    expect([refused.status, await refused.json()]).toEqual([409, { highest: 5 }]);
    engine.change({ checkFencing: false });
    expect((await send('/weights', swap(3, 4))).status).toBe(200);
  });

  it('fails a swap without changing the version', async () => {
    const { server, send } = await setUpEngine({ failSwaps: 1 });
    expect((await send('/weights', swap(1, 1))).status).toBe(500);
    const res = await fetch(`${server.url}/weights?trainer=t`);
    expect(await res.json()).toEqual({ version: 0, highestFencing: 1, loading: false });
  });

  it('cancels when the socket closes and gives the slot to the next', async () => {
    const { send, generate, ends } = await setUpEngine({ slots: 1 });
    const caller = new AbortController();
    const { signal } = caller;
    await send('/generate', { prompt: 'a', maxTokens: 90_000 }, { id: 'long', signal });
    const next = generate({ prompt: 'b', maxTokens: 2 }, 'next');
    caller.abort();
    await next;
    expect(ends().map((seen) => [seen.requestId, seen.end])).toEqual([
      ['long', 'cancelled'],
      ['next', 'done'],
    ]);
  });

  it('runs a higher priority first', async () => {
    const { generate, ends } = await setUpEngine({ slots: 1, tokenMs: 5 });
    const first = generate({ prompt: 'a', maxTokens: 20 }, 'first');
    await vi.waitUntil(() => ends().length === 1);
    const low = generate({ prompt: 'b', maxTokens: 1 }, 'low');
    await vi.waitUntil(() => ends().length === 2);
    const high = generate({ prompt: 'c', maxTokens: 1, priority: 1 }, 'high');
    await Promise.all([first, low, high]);
    expect(ends().map((seen) => seen.requestId)).toEqual(['first', 'high', 'low']);
  });

  it('reads a prompt faster whose prefix it holds', () => {
    const cache = new PrefixCache();
    const prompt = 'tasting note '.repeat(20);
    expect(cache.take('t', prompt, 1_000)).toBe(0);
    expect(cache.take('t', `${prompt}and more`, 1_000)).toBe(64);
    expect(cache.take('other', prompt, 1_000)).toBe(0);
    expect(cache.take('t', prompt, 16)).toBe(64);
    expect(cache.take('t', prompt, 1_000)).toBe(0);
  });

  it('forgets its weights in a crash and breaks the streams off', async () => {
    const { server, send, ends } = await setUpEngine();
    await send('/weights', swap(1, 1));
    const stream = await send('/generate', { prompt: 'a', maxTokens: 90_000 });
    const text = stream.text();
    await Promise.all([
      expect(text).rejects.toThrow(),
      send('/admin/crash', {}).catch(() => undefined),
    ]);
    expect(ends().at(-1)).toMatchObject({ end: 'crashed' });
    const res = await fetch(`${server.url}/weights?trainer=t`);
    expect(await res.json()).toMatchObject({ version: 0, highestFencing: -1 });
  });
});

describe('the plain service stand-in', () => {
  it('counts each effect and names the request in the answer', async () => {
    const plain = new FakePlain();
    const server = own(await FakeServer.start([plain]));
    const headers = { 'x-request-id': 'r1', 'x-extra': 'seen' };
    const post = () => fetch(`${server.url}/orders`, { method: 'POST', headers, body: 'brie' });
    expect(await (await post()).json()).toEqual({ requestId: 'r1', effects: 1, order: 'brie' });
    expect(await (await post()).json()).toMatchObject({ effects: 2 });
    const calls = plain.report().filter((seen) => seen.op === 'call');
    expect(calls).toMatchObject([{ headers }, { headers }]);
  });

  it('keeps no history when told so', async () => {
    const plain = new FakePlain({ settings: { keepHistory: false } });
    const server = own(await FakeServer.start([plain]));
    await (await fetch(`${server.url}/lots/a`)).text();
    expect(plain.report()).toEqual([]);
    plain.change({ keepHistory: true });
    await (await fetch(`${server.url}/lots/a`)).text();
    expect(plain.report()).toHaveLength(1);
  });

  it('takes effect also when the answer is lost', async () => {
    const plain = new FakePlain({ settings: { loseAnswers: 1 } });
    const server = own(await FakeServer.start([plain]));
    const signal = AbortSignal.timeout(100);
    const lost = fetch(`${server.url}/orders`, { method: 'POST', body: 'x', signal });
    await expect(lost).rejects.toThrow();
    expect(plain.report().some((seen) => seen.op === 'effect')).toBe(true);
  });
});

describe('the relay', () => {
  async function setUpRelay() {
    const server = own(await FakeServer.start([new FakePlain()]));
    const cutter = own(await Cutter.start({ target: server.address }));
    const [host, port] = cutter.address.split(':');
    const open = () => {
      const socket = connect({ host: host!, port: Number(port) });
      const state = { text: '', end: '' };
      socket.on('data', (chunk) => {
        state.text += chunk.toString();
      });
      socket.on('error', (error) => {
        state.end = (error as NodeJS.ErrnoException).code ?? 'error';
      });
      own({
        close: async () => {
          socket.destroy();
        },
      });
      const ask = () => socket.write('GET /lots/a HTTP/1.1\r\nhost: x\r\n\r\n');
      const answers = () => state.text.split('HTTP/1.1 200').length - 1;
      return { state, ask, answers };
    };
    return { cutter, open };
  }

  it('cuts open connections and takes new ones', async () => {
    const { cutter, open } = await setUpRelay();
    const old = open();
    old.ask();
    await vi.waitUntil(() => old.answers() === 1);
    cutter.cut();
    await vi.waitUntil(() => old.state.end === 'ECONNRESET');
    const fresh = open();
    fresh.ask();
    await vi.waitUntil(() => fresh.answers() === 1);
  });

  it('silences open connections for good while new ones work', async () => {
    const { cutter, open } = await setUpRelay();
    const old = open();
    old.ask();
    await vi.waitUntil(() => old.answers() === 1);
    cutter.silence();
    old.ask();
    const fresh = open();
    fresh.ask();
    await vi.waitUntil(() => fresh.answers() === 1);
    cutter.heal();
    fresh.ask();
    await vi.waitUntil(() => fresh.answers() === 2);
    expect([old.answers(), old.state.end]).toEqual([1, '']);
  });

  it('blocks old and new connections until healed, and loses nothing', async () => {
    const { cutter, open } = await setUpRelay();
    const old = open();
    old.ask();
    await vi.waitUntil(() => old.answers() === 1);
    cutter.block();
    const fresh = open();
    fresh.ask();
    old.ask();
    await vi.waitUntil(() => cutter.state.open === 2);
    expect([old.answers(), fresh.answers()]).toEqual([1, 0]);
    cutter.heal();
    await vi.waitUntil(() => old.answers() === 2 && fresh.answers() === 1);
  });
});
