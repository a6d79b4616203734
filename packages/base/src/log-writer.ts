/** Writes log lines without ever holding the process up. */
import { write } from 'node:fs';

import { ROARR } from 'roarr';

const STANDARD_OUTPUT = 1;
// Some seconds of lines; what comes on top while nobody reads is counted and left out.
const MOST_WAITING_CHARS = 1_000_000;
const FLUSH_POLL_MS = 5;

/** How lines reach their file. */
export type WriteChunk = (
  chunk: Buffer,
  done: (error: Error | null, bytes: number) => void,
) => void;

/**
 * Buffers lines and writes them one chunk after the other, off the main thread. A reader that has
 * stopped reading costs lines, never time.
 */
export class LogWriter {
  readonly #write: WriteChunk;

  #waiting: string[] = [];

  #chars = 0;

  #omitted = 0;

  #isWriting = false;

  /** @param writeChunk - writes to the file; standard output when left out */
  constructor(writeChunk: WriteChunk = (chunk, done) => write(STANDARD_OUTPUT, chunk, done)) {
    this.#write = writeChunk;
  }

  /** Takes a line without its line end. */
  add(line: string): void {
    if (this.#chars + line.length > MOST_WAITING_CHARS) {
      this.#omitted += 1;
      return;
    }
    this.#waiting.push(line);
    this.#chars += line.length;
    if (!this.#isWriting) this.#writeWaiting();
  }

  /**
   * Waits until everything is written, or a time has passed.
   *
   * @param mostMs - the longest wait, in milliseconds
   */
  async flush(mostMs: number): Promise<void> {
    for (let waitedMs = 0; this.#isWriting && waitedMs < mostMs; waitedMs += FLUSH_POLL_MS) {
      await new Promise((resolve) => {
        setTimeout(resolve, FLUSH_POLL_MS);
      });
    }
  }

  #writeWaiting(): void {
    if (this.#waiting.length === 0) {
      this.#isWriting = false;
      return;
    }
    this.#isWriting = true;
    if (this.#omitted > 0) {
      this.#waiting.push(JSON.stringify({ message: 'Lines were left out.', lines: this.#omitted }));
      this.#omitted = 0;
    }
    const chunk = Buffer.from(`${this.#waiting.join('\n')}\n`);
    this.#waiting = [];
    this.#chars = 0;
    this.#writeChunk(chunk);
  }

  #writeChunk(chunk: Buffer): void {
    this.#write(chunk, (error, bytes) => {
      // A closed output takes nothing more: the lines are lost, and there is nobody to tell.
      if (!error && bytes < chunk.length) this.#writeChunk(chunk.subarray(bytes));
      else this.#writeWaiting();
    });
  }
}

/**
 * Sends the log lines of this process through a writer.
 *
 * @returns the writer
 */
export function installLineWriter(): LogWriter {
  const writer = new LogWriter();
  ROARR.write = (line) => writer.add(line);
  return writer;
}
