import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { GrowingBuffer } from '../src';

const MAX_BYTES = 300_000;

describe('a growing buffer', () => {
  it('holds the bytes of all parts in order, whatever their sizes', () => {
    const sizes = fc.array(fc.integer({ min: 0, max: 40_000 }), { maxLength: 7 });
    fc.assert(
      fc.property(sizes, (lengths) => {
        const parts = lengths.map((length, index) => Buffer.alloc(length, 97 + index));
        const buffer = new GrowingBuffer(MAX_BYTES);
        parts.forEach((part) => buffer.add(part));
        expect(buffer.toBuffer().equals(Buffer.concat(parts))).toBe(true);
      }),
    );
  });

  it('holds what a text encodes', () => {
    const bytes = Buffer.alloc(100_000, 'bytes');
    const buffer = new GrowingBuffer(MAX_BYTES);
    buffer.add(Buffer.from('first '));
    buffer.addBase64(bytes.toString('base64'));
    expect(buffer.toBuffer().equals(Buffer.concat([Buffer.from('first '), bytes]))).toBe(true);
  });

  it('is empty after its release', () => {
    const buffer = new GrowingBuffer(MAX_BYTES);
    buffer.add(Buffer.alloc(MAX_BYTES, 'x'));
    const bytes = buffer.toBuffer();
    expect(bytes).toHaveLength(MAX_BYTES);
    buffer.release();
    expect(bytes).toHaveLength(0);
  });
});
