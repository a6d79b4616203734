/** The lines of a model's answer that have gone to the caller, so that the rest can be resumed. */
import { type TokenRun, SegmentCollector } from '@hibiscushill/rollout';

const NEWLINE = 0x0a;
const MOST_KEPT_BYTES = 1024 * 1024;

/** Passes whole lines on and remembers them. */
export class ModelLines {
  #kept: Buffer[] = [];

  #keptBytes = 0;

  #rest: Buffer = Buffer.alloc(0);

  #resumedFrom = 0;

  /** Whether everything that was passed on is still known. */
  get isKnown(): boolean {
    return this.#keptBytes <= MOST_KEPT_BYTES;
  }

  /** The tokens that the caller got, counted after a break only; zero without one. */
  get tokenCount(): number {
    return this.#resumedFrom === 0 ? 0 : this.#count();
  }

  /**
   * Takes bytes of the answer.
   *
   * @param data - the bytes, cut anywhere
   * @returns the whole lines among them, which the caller may get
   */
  push(data: Buffer): Buffer {
    const bytes = this.#rest.length === 0 ? data : Buffer.concat([this.#rest, data]);
    const end = bytes.lastIndexOf(NEWLINE) + 1;
    this.#rest = bytes.subarray(end);
    const lines = bytes.subarray(0, end);
    this.#keep(lines);
    return lines;
  }

  /**
   * Drops a line that a broken answer left unfinished.
   *
   * @returns the tokens that the caller has; undefined when they can't be told
   */
  break(): TokenRun | undefined {
    this.#rest = Buffer.alloc(0);
    if (!this.isKnown) return undefined;
    const collector = new SegmentCollector();
    const read = collector.push(Buffer.concat(this.#kept));
    if (read.isErr()) return undefined;
    this.#resumedFrom = collector.received.tokens.length;
    return collector.received;
  }

  /** Takes the bytes after the last line, at the end of the answer. */
  end(): Buffer {
    return this.#rest;
  }

  #count(): number {
    const collector = new SegmentCollector();
    collector.push(Buffer.concat(this.#kept));
    return collector.received.tokens.length;
  }

  #keep(lines: Buffer): void {
    this.#keptBytes += lines.length;
    if (this.isKnown) this.#kept.push(lines);
    else this.#kept = [];
  }
}
