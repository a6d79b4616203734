/** A buffer that grows in place and gives its memory back at once. */

const INITIAL_BYTES = 4_096;
const GROWTH_FACTOR = 2;
// Larger buffers are resizable ones: growing them copies nothing, and what they take is freed when
// they are released rather than by a later garbage collection.
const MAX_PLAIN_BYTES = 65_536;

const NO_BYTES = Buffer.alloc(0);

/** Collects the parts of a body. */
export class GrowingBuffer {
  readonly #maxBytes: number;

  #buffer = NO_BYTES;

  /** The memory of a large buffer. */
  #resizable: ArrayBuffer | undefined;

  #bytes = 0;

  /** @param maxBytes - how many bytes it may hold */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** How many bytes were added. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The size to which it has to grow for a number of further bytes; its present size if it fits. */
  findSize(furtherBytes: number): number {
    const neededBytes = this.#bytes + furtherBytes;
    let size = this.#buffer.length;
    while (size < neededBytes) size = Math.max(INITIAL_BYTES, size * GROWTH_FACTOR);
    return Math.min(size, this.#maxBytes);
  }

  /** Adds a part; it must fit into the largest size. */
  add(part: Buffer): void {
    const size = this.findSize(part.length);
    if (size > this.#buffer.length) this.#growTo(size);
    part.copy(this.#buffer, this.#bytes);
    this.#bytes += part.length;
  }

  /** Adds what a text encodes as Base64; it must fit into the largest size. */
  addBase64(text: string): void {
    const bytes = Buffer.byteLength(text, 'base64');
    const size = this.findSize(bytes);
    if (size > this.#buffer.length) this.#growTo(size);
    this.#bytes += this.#buffer.write(text, this.#bytes, bytes, 'base64');
  }

  /** The bytes that were added, as a view that is empty after the release. */
  toBuffer(): Buffer {
    return this.#buffer.subarray(0, this.#bytes);
  }

  /** Frees its memory. */
  release(): void {
    this.#resizable?.resize(0);
    this.#resizable = undefined;
    this.#buffer = NO_BYTES;
    this.#bytes = 0;
  }

  #growTo(size: number): void {
    const previous = this.#buffer;
    if (this.#resizable) {
      this.#resizable.resize(size);
      this.#buffer = Buffer.from(this.#resizable, 0, size);
      return;
    }
    if (size > MAX_PLAIN_BYTES) {
      this.#resizable = new ArrayBuffer(size, { maxByteLength: this.#maxBytes });
      this.#buffer = Buffer.from(this.#resizable, 0, size);
    } else this.#buffer = Buffer.allocUnsafeSlow(size);
    previous.copy(this.#buffer, 0, 0, this.#bytes);
  }
}
