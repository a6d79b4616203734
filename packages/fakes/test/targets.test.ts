import { connect } from 'node:net';

import { afterEach, describe, expect, it, vi } from 'vitest';

import { FaultProxy, FakeEngine, FakePlainService, FakeServer, createTokens } from '../src';
import { PrefixCache } from '../src/engine/prefix-cache';

const openResources: { close(): Promise<void> }[] = [];

function closeAfterTest<T extends { close(): Promise<void> }>(closable: T): T {
  openResources.unshift(closable);
  return closable;
}

afterEach(async () => {
  for (const closable of openResources.splice(0)) await closable.close();
});

async function setUpEngine(settings: object = {}) {
  const engine = new FakeEngine({ settings: { tokenMs: 1, loadMs: 5, ...settings } });
  const server = closeAfterTest(await FakeServer.start([engine]));
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
  const listGenerations = () => engine.listHistory().filter((entry) => entry.op === 'generate');
  return { engine, server, send, generate, listGenerations };
}

function swap(version: number, fencing: number, order = `o${version}`) {
  return { trainer: 't', version, fencing, order, source: 'store' };
}

describe('FakeEngine', () => {
  it('streams the tokens that prompt and index determine, and resumes at a token', async () => {
    const { generate } = await setUpEngine();
    const expected = createTokens('brine', 5);
    const whole = await generate({ prompt: 'brine', maxTokens: 5 });
    expect(whole.slice(0, 5).map((line) => line.t)).toEqual(expected);
    expect(whole.at(-1)).toEqual({ done: true, tokens: 5 });
    const resume = { tokens: expected.slice(0, 3), from: 3 };
    const rest = await generate({ prompt: 'brine', maxTokens: 5, resume });
    expect(rest.map((line) => line.t)).toEqual([...expected.slice(3), undefined]);
  });

  it('names the weight version that generated each token, in the stream as in its history', async () => {
    const { send, generate, listGenerations } = await setUpEngine();
    const running = generate({ prompt: 'rind', maxTokens: 400, trainer: 't' }, 'r1');
    // The swap must happen between two tokens: after the first and long before the last.
    await vi.waitUntil(() => Number(listGenerations()[0]?.next ?? 0) > 0);
    expect((await send('/weights', swap(2, 1))).status).toBe(200);
    const versions = (await running).slice(0, -1).map((line) => line.v);
    expect(new Set(versions)).toEqual(new Set([0, 2]));
    const [entry] = listGenerations() as unknown as [
      { segments: { v: number; from: number; to: number }[] },
    ];
    const recorded = entry.segments.flatMap(({ v, from, to }) => Array<number>(to - from).fill(v));
    expect(versions).toEqual(recorded);
  });

  it('refuses an older fencing number only if checkFencing is set', async () => {
    const { engine, send } = await setUpEngine();
    await send('/weights', swap(1, 5));
    const refused = await send('/weights', swap(2, 4));
    expect([refused.status, await refused.json()]).toEqual([409, { highest: 5 }]);
    engine.changeSettings({ checkFencing: false });
    expect((await send('/weights', swap(3, 4))).status).toBe(200);
  });

  it('does not change the version if a swap fails', async () => {
    const { server, send } = await setUpEngine({ failSwaps: 1 });
    expect((await send('/weights', swap(1, 1))).status).toBe(500);
    const res = await fetch(`${server.url}/weights?trainer=t`);
    expect(await res.json()).toEqual({ version: 0, highestFencing: 1, loading: false });
  });

  it('cancels a request if its connection closes, and starts the next one', async () => {
    const { send, generate, listGenerations } = await setUpEngine({ slots: 1 });
    const caller = new AbortController();
    const { signal } = caller;
    await send('/generate', { prompt: 'a', maxTokens: 90_000 }, { id: 'long', signal });
    const next = generate({ prompt: 'b', maxTokens: 2 }, 'next');
    caller.abort();
    await next;
    expect(listGenerations().map((entry) => [entry.requestId, entry.end])).toEqual([
      ['long', 'cancelled'],
      ['next', 'done'],
    ]);
  });

  it('runs requests of a higher priority first', async () => {
    const { generate, listGenerations } = await setUpEngine({ slots: 1, tokenMs: 5 });
    const first = generate({ prompt: 'a', maxTokens: 20 }, 'first');
    await vi.waitUntil(() => listGenerations().length === 1);
    const low = generate({ prompt: 'b', maxTokens: 1 }, 'low');
    await vi.waitUntil(() => listGenerations().length === 2);
    const high = generate({ prompt: 'c', maxTokens: 1, priority: 1 }, 'high');
    await Promise.all([first, low, high]);
    expect(listGenerations().map((entry) => entry.requestId)).toEqual(['first', 'high', 'low']);
  });

  it('counts the cached tokens at the start of a prompt', () => {
    const cache = new PrefixCache();
    const prompt = 'tasting note '.repeat(20);
    expect(cache.lookUp('t', prompt, 1_000)).toBe(0);
    expect(cache.lookUp('t', `${prompt}and more`, 1_000)).toBe(64);
    expect(cache.lookUp('other', prompt, 1_000)).toBe(0);
    expect(cache.lookUp('t', prompt, 16)).toBe(64);
    expect(cache.lookUp('t', prompt, 1_000)).toBe(0);
  });

  it('loses its weights and resets its streams in a crash', async () => {
    const { server, send, listGenerations } = await setUpEngine();
    await send('/weights', swap(1, 1));
    const stream = await send('/generate', { prompt: 'a', maxTokens: 90_000 });
    const text = stream.text();
    await Promise.all([
      expect(text).rejects.toThrow(),
      send('/admin/crash', {}).catch(() => undefined),
    ]);
    expect(listGenerations().at(-1)).toMatchObject({ end: 'crashed' });
    const res = await fetch(`${server.url}/weights?trainer=t`);
    expect(await res.json()).toMatchObject({ version: 0, highestFencing: -1 });
  });
});

describe('FakePlainService', () => {
  it('counts each effect and names the request in the response', async () => {
    const plain = new FakePlainService();
    const server = closeAfterTest(await FakeServer.start([plain]));
    const headers = { 'x-request-id': 'r1', 'x-extra': 'seen' };
    const post = () => fetch(`${server.url}/orders`, { method: 'POST', headers, body: 'brie' });
    expect(await (await post()).json()).toEqual({ requestId: 'r1', effects: 1, order: 'brie' });
    expect(await (await post()).json()).toMatchObject({ effects: 2 });
    const calls = plain.listHistory().filter((entry) => entry.op === 'call');
    expect(calls).toMatchObject([{ headers }, { headers }]);
  });

  it('keeps no history if keepHistory is not set', async () => {
    const plain = new FakePlainService({ settings: { keepHistory: false } });
    const server = closeAfterTest(await FakeServer.start([plain]));
    await (await fetch(`${server.url}/lots/a`)).text();
    expect(plain.listHistory()).toEqual([]);
    plain.changeSettings({ keepHistory: true });
    await (await fetch(`${server.url}/lots/a`)).text();
    expect(plain.listHistory()).toHaveLength(1);
  });

  it('takes effect even if the response is lost', async () => {
    const plain = new FakePlainService({ settings: { loseAnswers: 1 } });
    const server = closeAfterTest(await FakeServer.start([plain]));
    const signal = AbortSignal.timeout(100);
    const lost = fetch(`${server.url}/orders`, { method: 'POST', body: 'x', signal });
    await expect(lost).rejects.toThrow();
    expect(plain.listHistory().some((entry) => entry.op === 'effect')).toBe(true);
  });
});

describe('the fault proxy', () => {
  async function setUpProxy() {
    const server = closeAfterTest(await FakeServer.start([new FakePlainService()]));
    const proxy = closeAfterTest(await FaultProxy.start({ target: server.address }));
    const [host, port] = proxy.address.split(':');
    const open = () => {
      const socket = connect({ host: host!, port: Number(port) });
      const state = { text: '', end: '' };
      socket.on('data', (chunk) => {
        state.text += chunk.toString();
      });
      socket.on('error', (error) => {
        state.end = (error as NodeJS.ErrnoException).code ?? 'error';
      });
      closeAfterTest({
        close: async () => {
          socket.destroy();
        },
      });
      const sendRequest = () => socket.write('GET /lots/a HTTP/1.1\r\nhost: x\r\n\r\n');
      const countResponses = () => state.text.split('HTTP/1.1 200').length - 1;
      return { state, sendRequest, countResponses };
    };
    return { proxy, open };
  }

  it('resets open connections and accepts new ones', async () => {
    const { proxy, open } = await setUpProxy();
    const old = open();
    old.sendRequest();
    await vi.waitUntil(() => old.countResponses() === 1);
    proxy.cut();
    await vi.waitUntil(() => old.state.end === 'ECONNRESET');
    const fresh = open();
    fresh.sendRequest();
    await vi.waitUntil(() => fresh.countResponses() === 1);
  });

  it('silences open connections for good while new ones work', async () => {
    const { proxy, open } = await setUpProxy();
    const old = open();
    old.sendRequest();
    await vi.waitUntil(() => old.countResponses() === 1);
    proxy.silence();
    old.sendRequest();
    const fresh = open();
    fresh.sendRequest();
    await vi.waitUntil(() => fresh.countResponses() === 1);
    proxy.heal();
    fresh.sendRequest();
    await vi.waitUntil(() => fresh.countResponses() === 2);
    expect([old.countResponses(), old.state.end]).toEqual([1, '']);
  });

  it('blocks open and new connections until healed, and loses no bytes', async () => {
    const { proxy, open } = await setUpProxy();
    const old = open();
    old.sendRequest();
    await vi.waitUntil(() => old.countResponses() === 1);
    proxy.block();
    const fresh = open();
    fresh.sendRequest();
    old.sendRequest();
    await vi.waitUntil(() => proxy.state.open === 2);
    expect([old.countResponses(), fresh.countResponses()]).toEqual([1, 0]);
    proxy.heal();
    await vi.waitUntil(() => old.countResponses() === 2 && fresh.countResponses() === 1);
  });
});
