/** A limit on what all requests of a process together keep in memory. */

/**
 * Counts bytes against a limit. Load pattern: a target in trouble sends bodies that don't end, to
 * many requests at once; each stays below the limit of one response, and all of them together would
 * not fit into the memory of the process.
 */
export class ByteBudget {
  readonly #maxBytes: number;

  #bytes = 0;

  /** @param maxBytes - how many bytes may be taken at a time */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** How many bytes are taken. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Takes bytes; returns false, and takes none, if they exceed what is left. */
  take(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maxBytes) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Takes bytes of something that exists already, also if they exceed what is left. */
  charge(bytes: number): void {
    this.#bytes += bytes;
  }

  /** By how much the bytes that are taken exceed the limit; negative for what is left. */
  get excessBytes(): number {
    return this.#bytes - this.#maxBytes;
  }

  /** Gives back bytes that were taken. */
  release(bytes: number): void {
    this.#bytes -= bytes;
  }
}
