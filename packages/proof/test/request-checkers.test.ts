import { describe, expect, it } from 'vitest';

import type { CallRecord } from '../src/history';
import { type TargetEvent, checkRequests } from '../src/request-checkers';

const SUCCESSFUL_CALL: CallRecord = {
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

const EFFECT: TargetEvent = { op: 'effect', requestId: 'r1-1~a' };

function check(calls: readonly CallRecord[], targetEvents: readonly TargetEvent[]) {
  return checkRequests({ calls, targetEvents, secrets: ['s3cret'] });
}

describe('the checkers of requests', () => {
  it('accept a history without violations', () => {
    expect(check([SUCCESSFUL_CALL], [EFFECT])).toEqual([]);
  });

  it('find a non-idempotent request that ran twice', () => {
    expect(
      check([SUCCESSFUL_CALL], [EFFECT, { ...EFFECT, requestId: 'r1-1~b' }]),
    ).toMatchSnapshot();
  });

  it('find a refusal that says not-run after the request took effect', () => {
    const refused = { ...SUCCESSFUL_CALL, status: 503, isRight: false, code: 3003, run: 'not-run' };
    expect(check([refused], [EFFECT])).toMatchSnapshot();
  });

  it("find a complete response that belongs to another caller's request", () => {
    expect(check([{ ...SUCCESSFUL_CALL, isRight: false }], [EFFECT])).toMatchSnapshot();
  });

  it('find an order with a successful response that took no effect', () => {
    expect(check([SUCCESSFUL_CALL], [])).toMatchSnapshot();
  });

  it("find a caller's key at a target", () => {
    const leak = { op: 'call', requestId: 'r1-1~a', headers: { cookie: 'k=s3cret' } };
    expect(check([SUCCESSFUL_CALL], [EFFECT, leak])).toMatchSnapshot();
  });

  it('find a refusal without a result code', () => {
    const refusedWithoutCode = { ...SUCCESSFUL_CALL, status: 502, isRight: false };
    expect(check([refusedWithoutCode], [])).toMatchSnapshot();
  });
});
