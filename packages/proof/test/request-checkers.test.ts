import { describe, expect, it } from 'vitest';

import type { CallRecord } from '../src/history';
import { type BackendEvent, checkRequests } from '../src/request-checkers';

const ANSWERED: CallRecord = {
  id: 'r1-1',
  kind: 'order',
  team: 'valley',
  entry: 'http://127.0.0.1:1',
  invokedAt: 0,
  returnedAt: 1,
  status: 200,
  isClean: true,
  isRight: true,
};

const EFFECT: BackendEvent = { op: 'effect', requestId: 'r1-1~a' };

function check(calls: readonly CallRecord[], backends: readonly BackendEvent[]) {
  return checkRequests({ calls, backends, secrets: ['s3cret'] });
}

describe('the checkers of requests', () => {
  it('pass a history in which everything went well', () => {
    expect(check([ANSWERED], [EFFECT])).toEqual([]);
  });

  it('find a non-idempotent request that ran twice', () => {
    expect(check([ANSWERED], [EFFECT, { ...EFFECT, requestId: 'r1-1~b' }])).toMatchSnapshot();
  });

  it('find a refusal that says not-run after the request took effect', () => {
    const refused = { ...ANSWERED, status: 503, isRight: false, code: 3003, run: 'not-run' };
    expect(check([refused], [EFFECT])).toMatchSnapshot();
  });

  it("find a clean answer that is another caller's", () => {
    expect(check([{ ...ANSWERED, isRight: false }], [EFFECT])).toMatchSnapshot();
  });

  it('find an order that was answered without an effect', () => {
    expect(check([ANSWERED], [])).toMatchSnapshot();
  });

  it("find a caller's key at a target", () => {
    const leak = { op: 'call', requestId: 'r1-1~a', headers: { cookie: 'k=s3cret' } };
    expect(check([ANSWERED], [EFFECT, leak])).toMatchSnapshot();
  });

  it('find a refusal without a number', () => {
    const bare = { ...ANSWERED, status: 502, isRight: false };
    expect(check([bare], [])).toMatchSnapshot();
  });
});
