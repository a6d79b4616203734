import { describe, expect, it } from 'vitest';

import { LogWriter, type WriteChunk } from '../src';

type Done = Parameters<WriteChunk>[1];

/** Creates an output that records chunks and completes the oldest open write on request. */
function createOutput(): {
  readonly write: WriteChunk;
  readonly chunks: string[];
  readonly completeWrite: (bytes?: number) => void;
} {
  const chunks: string[] = [];
  const openWrites: { done: Done; bytes: number }[] = [];
  return {
    chunks,
    write: (chunk, done) => {
      chunks.push(chunk.toString());
      openWrites.push({ done, bytes: chunk.length });
    },
    completeWrite: (bytes) => {
      const next = openWrites.shift();
      next?.done(null, bytes ?? next.bytes);
    },
  };
}

describe('LogWriter', () => {
  it('writes one chunk at a time, with all lines added since the last one', () => {
    const output = createOutput();
    const writer = new LogWriter(output.write);
    ['a', 'b', 'c'].forEach((line) => writer.add(line));
    expect(output.chunks).toEqual(['a\n']);
    output.completeWrite();
    expect(output.chunks).toEqual(['a\n', 'b\nc\n']);
  });

  it('continues after a partial write', () => {
    const output = createOutput();
    const writer = new LogWriter(output.write);
    writer.add('abc');
    output.completeWrite(2);
    expect(output.chunks).toEqual(['abc\n', 'c\n']);
  });

  it('drops lines while nobody reads, and writes how many', () => {
    const output = createOutput();
    const writer = new LogWriter(output.write);
    const line = 'x'.repeat(300_000);
    for (let count = 0; count < 6; count += 1) writer.add(line);
    expect(output.chunks).toHaveLength(1);
    output.completeWrite();
    expect(output.chunks[1]?.split('\n')).toHaveLength(5);
    expect(output.chunks[1]).toContain('"lines":2');
  });
});
