import { ManualClock, type RequestId } from '@hibiscushill/base';
import { ByteBudget } from '@hibiscushill/routing';
import { describe, expect, it } from 'vitest';

import { Attempt } from '../src/attempt';
import { CallerReply } from '../src/caller-port';
import { TargetStats } from '../src/target-stats';
import { DELIMITED, ManualClient, advance, createHead, createTarget } from './support';

const DEADLINE_MS = 800;
const STEP_MS = 10;
// Above the size from which a response is passed on before its end.
const LARGE = Buffer.alloc(1_500_000);

/** A caller that reads as fast as it gets. */
class FastReply extends CallerReply {
  readonly isDisconnected = false;

  bytes = 0;

  text = '';

  wasAborted = false;

  override onDisconnected(): void {}

  override sendResponse(): void {}

  override startResponse(): void {}

  override write(chunk: Buffer): boolean {
    this.bytes += chunk.length;
    if (chunk.length < LARGE.length) this.text += chunk.toString();
    return true;
  }

  override onWritable(): void {}

  override end(): void {}

  override abort(): void {
    this.wasAborted = true;
  }

  override refuse(): void {}
}

function startAttempt(
  clock: ManualClock,
  client: ManualClient,
  buffers = new ByteBudget(Infinity),
): Attempt {
  return new Attempt(
    { client, stats: new TargetStats(clock), clock, buffers },
    {
      target: createTarget('t1'),
      method: 'GET',
      path: '/a/1',
      host: 'a.example',
      headers: [],
      body: undefined,
      id: 'r1' as RequestId,
      deadlineMs: DEADLINE_MS,
      team: undefined,
    },
  );
}

describe('a response that is passed on before its end', () => {
  it.each([
    { isEventStream: false, wasAborted: true },
    { isEventStream: true, wasAborted: false },
  ])('is cut at its deadline unless it is a stream of events: %o', async (expected) => {
    const clock = new ManualClock();
    const client = new ManualClient();
    const attempt = startAttempt(clock, client);
    const reply = new FastReply();
    const call = client.calls[0]!;
    call.sink.onHead(createHead(call.call.id, { isEventStream: expected.isEventStream }));
    call.sink.onData(LARGE);
    await attempt.result;
    attempt.relayTo(reply, () => undefined);
    await advance(clock, DEADLINE_MS - STEP_MS);
    call.sink.onData(LARGE);
    expect(reply.bytes).toBe(2 * LARGE.length);
    await advance(clock, STEP_MS);
    expect(reply.wasAborted).toBe(expected.wasAborted);
    expect(call.isAborted).toBe(expected.wasAborted);
  });
});

describe('a response that is collected', () => {
  it('is passed on in order with the parts that had no room', async () => {
    const client = new ManualClient();
    const attempt = startAttempt(new ManualClock(), client, new ByteBudget(10));
    const reply = new FastReply();
    const { call, sink } = client.calls[0]!;
    sink.onHead(createHead(call.id));
    ['first,', 'second,', 'x,'].forEach((part) => sink.onData(Buffer.from(part)));
    await attempt.result;
    attempt.relayTo(reply, () => undefined);
    sink.onData(Buffer.from('last'));
    expect(reply.text).toBe('first,second,x,last');
  });

  it('takes no memory once its body was released', async () => {
    const client = new ManualClient();
    const attempt = startAttempt(new ManualClock(), client);
    const { call, sink } = client.calls[0]!;
    sink.onHead(createHead(call.id));
    sink.onData(Buffer.alloc(400_000, 'x'));
    sink.onData(Buffer.alloc(400_000, 'y'));
    sink.onEnd(DELIMITED);
    const result = await attempt.result;
    if (result.type !== 'answered') throw new Error(`the attempt ended as ${result.type}`);
    const { buffer } = result.body;
    expect([result.body.at(0), result.body.at(-1)]).toEqual([120, 121]);
    result.release();
    expect([result.body.length, buffer.byteLength]).toEqual([0, 0]);
  });
});

// Issue 59, a report from another operator: bodies without end filled the memory of their caller.
describe('the responses of many requests at once', () => {
  const PART = Buffer.alloc(900_000);
  const MAX_BYTES = 10 * PART.length;

  it('are passed on as they arrive where keeping them would exceed the budget', async () => {
    const clock = new ManualClock();
    const client = new ManualClient();
    const buffers = new ByteBudget(MAX_BYTES);
    const attempts = Array.from({ length: 25 }, () => startAttempt(clock, client, buffers));
    client.calls.forEach(({ call, sink }) => {
      sink.onHead(createHead(call.id));
      sink.onData(PART);
    });
    expect(buffers.bytes).toBe(MAX_BYTES);
    const later = attempts.slice(10).map(({ result }) => result);
    expect(new Set((await Promise.all(later)).map(({ type }) => type))).toEqual(
      new Set(['streaming']),
    );
    client.calls[0]?.sink.onEnd(DELIMITED);
    attempts[1]?.cancel();
    attempts[2]?.relayTo(new FastReply(), () => undefined);
    client.calls[3]?.sink.onFailure({ run: 'may-have-run', reason: 'reset' });
    expect(buffers.bytes).toBe(6 * PART.length);
    attempts.forEach((attempt) => attempt.cancel());
    expect(buffers.bytes).toBe(0);
  });
});
