import { type Failure, ManualClock, Metrics, createFailure } from '@hibiscushill/base';
import { type ResultAsync, errAsync, okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';

import { type HttpResponse, type HttpRequest, HttpTransport, MeteredTransport } from '../src';

class FakeTransport extends HttpTransport {
  response: ResultAsync<HttpResponse, Failure> = okAsync({
    status: 200,
    body: Buffer.from('four'),
  });

  override send(): ResultAsync<HttpResponse, Failure> {
    return this.response;
  }
}

function setUp() {
  const transport = new FakeTransport();
  const metrics = new Metrics({ prefix: 'test' });
  const describeRequest = ({ method }: HttpRequest): string => method.toLowerCase();
  const metered = new MeteredTransport({
    transport,
    metrics,
    clock: new ManualClock(),
    describe: describeRequest,
  });
  return { transport, metrics, metered };
}

describe('MeteredTransport', () => {
  it('counts requests and their bytes by kind, and returns the responses', async () => {
    const { metrics, metered } = setUp();
    const response = await metered.send({ method: 'POST', path: '/', body: Buffer.from('two') });
    expect(response._unsafeUnwrap().status).toBe(200);
    await metered.send({ method: 'GET', path: '/' });
    expect(metrics.counts()).toEqual({
      'log.calls.get': 1,
      'log.calls.post': 1,
      'log.received_bytes.get': 4,
      'log.received_bytes.post': 4,
      'log.sent_bytes.get': 0,
      'log.sent_bytes.post': 3,
    });
  });

  it('counts requests without a response, except those that were cancelled', async () => {
    const { transport, metrics, metered } = setUp();
    transport.response = errAsync(createFailure('platform_down', { detail: 'reset' }));
    expect((await metered.send({ method: 'GET', path: '/' })).isErr()).toBe(true);
    await metered.send({ method: 'GET', path: '/', signal: AbortSignal.abort() });
    expect(metrics.counts()['log.unanswered.get']).toBe(1);
  });
});
