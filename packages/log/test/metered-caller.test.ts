import { type Failure, ManualClock, Metrics, createFailure } from '@hibiscushill/base';
import { type ResultAsync, errAsync, okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';

import { type HttpAnswer, type HttpCall, HttpCaller, MeteredCaller } from '../src';

class OneAnswer extends HttpCaller {
  answer: ResultAsync<HttpAnswer, Failure> = okAsync({ status: 200, body: Buffer.from('four') });

  override send(): ResultAsync<HttpAnswer, Failure> {
    return this.answer;
  }
}

function setUp() {
  const caller = new OneAnswer();
  const metrics = new Metrics({ prefix: 'test' });
  const describeCall = ({ method }: HttpCall): string => method.toLowerCase();
  const metered = new MeteredCaller({
    caller,
    metrics,
    clock: new ManualClock(),
    describe: describeCall,
  });
  return { caller, metrics, metered };
}

describe('a metered caller', () => {
  it('counts calls and their bytes by kind, and passes answers on', async () => {
    const { metrics, metered } = setUp();
    const answer = await metered.send({ method: 'POST', path: '/', body: Buffer.from('two') });
    expect(answer._unsafeUnwrap().status).toBe(200);
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

  it('counts calls without an answer, but for those that were given up', async () => {
    const { caller, metrics, metered } = setUp();
    caller.answer = errAsync(createFailure('platform_down', { detail: 'reset' }));
    expect((await metered.send({ method: 'GET', path: '/' })).isErr()).toBe(true);
    await metered.send({ method: 'GET', path: '/', signal: AbortSignal.abort() });
    expect(metrics.counts()['log.unanswered.get']).toBe(1);
  });
});
