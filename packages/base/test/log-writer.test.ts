import { describe, expect, it } from 'vitest';

import { LogWriter, type WriteChunk } from '../src';

type Done = Parameters<WriteChunk>[1];

function createOutput(): {
  readonly write: WriteChunk;
  readonly chunks: string[];
  readonly finish: (bytes?: number) => void;
} {
  const chunks: string[] = [];
  const open: { done: Done; bytes: number }[] = [];
  return {
    chunks,
    write: (chunk, done) => {
      chunks.push(chunk.toString());
      open.push({ done, bytes: chunk.length });
    },
    finish: (bytes) => {
      const next = open.shift();
      next?.done(null, bytes ?? next.bytes);
    },
  };
}

describe('the writer of log lines', () => {
  it('writes one chunk at a time, with all lines that came meanwhile', () => {
    const output = createOutput();
    const writer = new LogWriter(output.write);
    ['a', 'b', 'c'].forEach((line) => writer.add(line));
    expect(output.chunks).toEqual(['a\n']);
    output.finish();
    expect(output.chunks).toEqual(['a\n', 'b\nc\n']);
  });

  it('goes on where a partial write stopped', () => {
    const output = createOutput();
    const writer = new LogWriter(output.write);
    writer.add('abc');
    output.finish(2);
    expect(output.chunks).toEqual(['abc\n', 'c\n']);
  });

  it('leaves lines out while nobody reads, and says how many', () => {
    const output = createOutput();
    const writer = new LogWriter(output.write);
    const line = 'x'.repeat(300_000);
    for (let count = 0; count < 6; count += 1) writer.add(line);
    expect(output.chunks).toHaveLength(1);
    output.finish();
    expect(output.chunks[1]?.split('\n')).toHaveLength(5);
    expect(output.chunks[1]).toContain('"lines":2');
  });
});
