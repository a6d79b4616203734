import { describe, expect, it } from 'vitest';

import { findPartialEvent, findTruncation } from '../src';

const STREAMS = {
  'no stream': undefined,
  'between events': { isBetweenEvents: true, events: 3 },
  'within an event': { isBetweenEvents: false, events: 3 },
  'before the first event': { isBetweenEvents: true, events: 0 },
  'within the first event': { isBetweenEvents: false, events: 0 },
};

describe('a response that ended in order', () => {
  // review/7 and 9: the close of a killed target's connection was taken for the end of a stream.
  it('is incomplete if it ended within an event, or was closed before the first one', () => {
    const judge = (isDelimited: boolean, isResumed: boolean): Record<string, string> =>
      Object.fromEntries(
        Object.entries(STREAMS).map(([name, stream]) => [
          name,
          findTruncation({ isDelimited, stream }, isResumed) ?? 'complete',
        ]),
      );
    expect({
      delimited: judge(true, false),
      read: Object.values(STREAMS).map((stream) => findPartialEvent(stream) ?? 'complete'),
      closed: judge(false, false),
      'closed, resumed': judge(false, true),
    }).toMatchInlineSnapshot(`
      {
        "closed": {
          "before the first event": "the connection was closed before the first event",
          "between events": "complete",
          "no stream": "complete",
          "within an event": "the stream ended within an event",
          "within the first event": "the stream ended within an event",
        },
        "closed, resumed": {
          "before the first event": "complete",
          "between events": "complete",
          "no stream": "complete",
          "within an event": "the stream ended within an event",
          "within the first event": "the stream ended within an event",
        },
        "delimited": {
          "before the first event": "complete",
          "between events": "complete",
          "no stream": "complete",
          "within an event": "complete",
          "within the first event": "complete",
        },
        "read": [
          "complete",
          "complete",
          "the stream ended within an event",
          "complete",
          "the stream ended within an event",
        ],
      }
    `);
  });
});
