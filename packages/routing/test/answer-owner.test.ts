import type { RequestId } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { type AnswerHead, describeMismatch, judgeAnswer } from '../src';

const ID = 'request-1' as RequestId;
const OTHER = 'request-0' as RequestId;

function judge(status: number, changes: Partial<AnswerHead> = {}): string {
  const head = { status, echo: ID, receipt: 'receipt', ...changes };
  const kind = judgeAnswer(head, ID);
  return kind === 'own' ? kind : `${kind}: ${describeMismatch(head, kind)}`;
}

describe('a response', () => {
  // review/1: a late second answer to a report, which names no request, reached a client.
  it('is an answer only to the request that it names, whatever its status', () => {
    const statuses = [200, 404, 421, 500, 503];
    expect({
      own: statuses.map((status) => judge(status)),
      others: statuses.map((status) => judge(status, { echo: OTHER })),
      none: statuses.map((status) => judge(status, { echo: undefined })),
    }).toMatchInlineSnapshot(`
      {
        "none": [
          "foreign: the response names no request",
          "foreign: the response names no request",
          "foreign: the response names no request",
          "foreign: the response names no request",
          "foreign: the response names no request",
        ],
        "others": [
          "foreign: the response belongs to another request",
          "foreign: the response belongs to another request",
          "foreign: the response belongs to another request",
          "foreign: the response belongs to another request",
          "foreign: the response belongs to another request",
        ],
        "own": [
          "own",
          "own",
          "own",
          "own",
          "own",
        ],
      }
    `);
  });

  // Issue 59, a report from another operator: a response with status 000 reached a client.
  it('is no answer with a status that no final response has', () => {
    expect([0, 1, 99, 101, 199, 600, 999, NaN].map((status) => judge(status)))
      .toMatchInlineSnapshot(`
      [
        "malformed: the status 0 is none of a final response",
        "malformed: the status 1 is none of a final response",
        "malformed: the status 99 is none of a final response",
        "malformed: the status 101 is none of a final response",
        "malformed: the status 199 is none of a final response",
        "malformed: the status 600 is none of a final response",
        "malformed: the status 999 is none of a final response",
        "malformed: the status NaN is none of a final response",
      ]
    `);
  });

  it('is no success without a receipt, which failures need not have', () => {
    const withoutReceipt = [200, 204, 299, 302, 404, 500, 503].map((status) =>
      judge(status, { receipt: undefined }),
    );
    expect(withoutReceipt).toMatchInlineSnapshot(`
      [
        "unproven: the success has no receipt",
        "unproven: the success has no receipt",
        "unproven: the success has no receipt",
        "own",
        "own",
        "own",
        "own",
      ]
    `);
  });
});
