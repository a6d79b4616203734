/** Writes log lines without ever blocking the process. */
import { write } from 'node:fs';

import { ROARR } from 'roarr';

const STDOUT_FD = 1;
// Enough for some seconds. While nobody reads the output, further lines are dropped and counted.
const MAX_BUFFERED_CHARS = 1_000_000;
const FLUSH_POLL_INTERVAL_MS = 5;

/** Writes a chunk; `done` is called with the number of bytes written, which may be fewer. */
export type WriteChunk = (
  chunk: Buffer,
  done: (error: Error | null, bytes: number) => void,
) => void;

/**
 * Buffers lines and writes them in chunks, one at a time, off the main thread. If the reader of the
 * output stops reading, lines are dropped, but the process is not blocked.
 */
export class LogWriter {
  readonly #write: WriteChunk;

  #bufferedLines: string[] = [];

  #bufferedChars = 0;

  #droppedLines = 0;

  #isWriting = false;

  /** @param writeChunk - writes a chunk; to standard output by default */
  constructor(writeChunk: WriteChunk = (chunk, done) => write(STDOUT_FD, chunk, done)) {
    this.#write = writeChunk;
  }

  /**
   * Adds a line to the buffer, or drops it when the buffer is full.
   *
   * @param line - the line without its line end
   */
  add(line: string): void {
    if (this.#bufferedChars + line.length > MAX_BUFFERED_CHARS) {
      this.#droppedLines += 1;
      return;
    }
    this.#bufferedLines.push(line);
    this.#bufferedChars += line.length;
    if (!this.#isWriting) this.#writeBuffered();
  }

  /**
   * Waits until all lines are written, at most for a time.
   *
   * @param timeoutMs - the longest wait, in milliseconds
   */
  async flush(timeoutMs: number): Promise<void> {
    for (
      let waitedMs = 0;
      this.#isWriting && waitedMs < timeoutMs;
      waitedMs += FLUSH_POLL_INTERVAL_MS
    ) {
      await new Promise((resolve) => {
        setTimeout(resolve, FLUSH_POLL_INTERVAL_MS);
      });
    }
  }

  #writeBuffered(): void {
    if (this.#bufferedLines.length === 0) {
      this.#isWriting = false;
      return;
    }
    this.#isWriting = true;
    if (this.#droppedLines > 0) {
      this.#bufferedLines.push(
        JSON.stringify({ message: 'Log lines were dropped.', lines: this.#droppedLines }),
      );
      this.#droppedLines = 0;
    }
    const chunk = Buffer.from(`${this.#bufferedLines.join('\n')}\n`);
    this.#bufferedLines = [];
    this.#bufferedChars = 0;
    this.#writeChunk(chunk);
  }

  #writeChunk(chunk: Buffer): void {
    this.#write(chunk, (error, bytes) => {
      // A failed chunk is lost: a closed output takes nothing more, and there is no other one.
      if (!error && bytes < chunk.length) this.#writeChunk(chunk.subarray(bytes));
      else this.#writeBuffered();
    });
  }
}

/**
 * Makes all loggers of this process write through a new writer.
 *
 * @returns the writer
 */
export function installLogWriter(): LogWriter {
  const writer = new LogWriter();
  ROARR.write = (line) => writer.add(line);
  return writer;
}
