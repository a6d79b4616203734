/** Segments from an engine's lines. */
import type { WeightVersion } from '@hibiscushill/base';
import fc from 'fast-check';
import { expect, test } from 'vitest';

import { SegmentCollector, encodeGenerateBody, coversEveryToken, readResumeFrom } from '../src';
import { encodeLine } from './support';

const LINES = [
  { i: 0, t: 'brine', v: 3 },
  { i: 1, t: 'rind', v: 3 },
  { i: 2, t: 'smoke', v: 4 },
];
const DONE = { done: true, tokens: 3 };

function collect(lines: readonly object[], collector = new SegmentCollector()): SegmentCollector {
  lines.forEach((line) => collector.push(encodeLine(line)));
  return collector;
}

test('segments name the version that the engine reported for each token', () => {
  expect(
    collect([...LINES, DONE])
      .finish()
      ._unsafeUnwrap(),
  ).toMatchInlineSnapshot(`
    {
      "segments": [
        {
          "fromToken": 0,
          "toToken": 2,
          "version": 3,
        },
        {
          "fromToken": 2,
          "toToken": 3,
          "version": 4,
        },
      ],
      "tokens": [
        "brine",
        "rind",
        "smoke",
      ],
    }
  `);
});

test('a chunk may end anywhere, even within a character', () => {
  const lines = [
    { i: 0, t: 'pişmiş 🧀', v: 1 },
    { done: true, tokens: 1 },
  ].map(encodeLine);
  const bytes = Buffer.concat(lines);
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: bytes.length })), (cuts) => {
      const collector = new SegmentCollector();
      const boundaries = [0, ...cuts.sort((a, b) => a - b), bytes.length];
      boundaries
        .slice(1)
        .forEach((end, index) => collector.push(bytes.subarray(boundaries[index], end)));
      expect(collector.finish()._unsafeUnwrap().tokens).toEqual(['pişmiş 🧀']);
    }),
    { seed: 11, numRuns: 100 },
  );
});

test.each([
  ['without its last line', LINES],
  ['with a token missing', [LINES[0], LINES[2], DONE]],
  ['with a repeated token', [LINES[0], LINES[0], LINES[1], LINES[2], DONE]],
  ['with its last token missing', [LINES[0], LINES[1], DONE]],
  ['without a version', [{ i: 0, t: 'brine' }, DONE]],
  ['with a line after the last', [...LINES, DONE, { i: 3, t: 'x', v: 4 }]],
])('a response %s is refused', (_, lines) => {
  const finished = collect(lines as object[]).finish();
  expect(finished._unsafeUnwrapErr().code).toBe('answer_broken');
});

test('a resumed response keeps the segments of the tokens received before', () => {
  const first = collect(LINES.slice(0, 2));
  const second = new SegmentCollector({ resume: first.received });
  const labelled = collect([LINES[2] as object, DONE], second)
    .finish()
    ._unsafeUnwrap();
  expect(labelled.segments.map(({ version }) => version)).toEqual([3, 4]);
  expect(coversEveryToken(labelled)).toBe(true);
});

test('segments with a gap do not cover every token', () => {
  const version = 1 as WeightVersion;
  const segments = [{ version, fromToken: 1, toToken: 2 }];
  expect(coversEveryToken({ tokens: ['a', 'b'], segments })).toBe(false);
});

test('a collector without the earlier tokens gives the later ones their own indices', () => {
  const resume = { tokens: ['brine', 'rind'], segments: [] };
  const spec = { prompt: 'p', maxTokens: 3, priority: 0, trainer: 'rinds', resume } as never;
  const collector = new SegmentCollector({
    firstTokenIndex: readResumeFrom(encodeGenerateBody(spec)),
  });
  const labelled = collect([LINES[2] as object, DONE], collector)
    .finish()
    ._unsafeUnwrap();
  expect(labelled.segments).toEqual([{ version: 4, fromToken: 2, toToken: 3 }]);
});
