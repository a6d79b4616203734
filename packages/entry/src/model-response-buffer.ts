/** The lines of a model's response that the caller has received, so that it can be resumed. */
import { type LabelledTokens, SegmentCollector } from '@hibiscushill/rollout';

const NEWLINE = 0x0a;
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Splits a response into whole lines, and keeps those that were forwarded to the caller. */
export class ModelResponseBuffer {
  #lines: Buffer[] = [];

  #lineBytes = 0;

  #partialLine: Buffer = Buffer.alloc(0);

  #resumedFromToken = 0;

  /** Whether every forwarded line is still kept; false once they exceed `MAX_BUFFERED_BYTES`. */
  get hasAllLines(): boolean {
    return this.#lineBytes <= MAX_BUFFERED_BYTES;
  }

  /** The number of tokens that the caller received, if the response was resumed; else zero. */
  get tokenCount(): number {
    return this.#resumedFromToken === 0 ? 0 : this.#countTokens();
  }

  /**
   * Adds a chunk of the response.
   *
   * @param data - the chunk; it may begin and end within a line
   * @returns the lines that are complete now, to be forwarded to the caller
   */
  push(data: Buffer): Buffer {
    const bytes = this.#partialLine.length === 0 ? data : Buffer.concat([this.#partialLine, data]);
    const end = bytes.lastIndexOf(NEWLINE) + 1;
    this.#partialLine = bytes.subarray(end);
    const lines = bytes.subarray(0, end);
    this.#store(lines);
    return lines;
  }

  /**
   * Prepares to resume a response that broke off: drops its incomplete last line.
   *
   * @returns the tokens that the caller received; undefined when they are not known, since lines
   *   were discarded or can't be parsed
   */
  startResume(): LabelledTokens | undefined {
    this.#partialLine = Buffer.alloc(0);
    if (!this.hasAllLines) return undefined;
    const collector = new SegmentCollector();
    const read = collector.push(Buffer.concat(this.#lines));
    if (read.isErr()) return undefined;
    this.#resumedFromToken = collector.received.tokens.length;
    return collector.received;
  }

  /** Returns the bytes after the last newline, at the end of the response. */
  takeRemainder(): Buffer {
    return this.#partialLine;
  }

  #countTokens(): number {
    const collector = new SegmentCollector();
    collector.push(Buffer.concat(this.#lines));
    return collector.received.tokens.length;
  }

  #store(lines: Buffer): void {
    this.#lineBytes += lines.length;
    if (this.hasAllLines) this.#lines.push(lines);
    else this.#lines = [];
  }
}
