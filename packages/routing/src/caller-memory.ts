/** How the requests that callers send share the memory of a process. */
import type { Millis, MonoTime } from '@hibiscushill/base';

/** How much memory requests may take together, in bytes. */
export interface CallerMemoryLimits {
  /** For requests of up to {@link MAX_SMALL_BYTES} each. */
  readonly smallBytes: number;
  /** For larger ones. */
  readonly largeBytes: number;
}

/** What a request takes at most to count as small. */
export const MAX_SMALL_BYTES = 65_536;

// A request of which nothing has arrived for this long yields before all others.
const STALLED_MS: Millis = 1_000;

/** A request that is still arriving, for the choice of those that yield. */
export interface ArrivingRequest {
  /** What it takes, in bytes. */
  readonly bytes: number;
  /** When the last part of it arrived. */
  readonly progressAt: MonoTime;
}

/**
 * Chooses the requests that yield their memory to another one. Load pattern: clients start many
 * uploads and stop just short of their end, or send all of them at once, while ordinary callers send
 * small requests. Stalled uploads yield first, then those that take more than the other one will;
 * the largest first.
 *
 * @param arriving - the requests that are still arriving, without the other one
 * @param missingBytes - how much memory the other one lacks
 * @param ownBytes - how much memory the other one will take in total
 * @param now - the current time
 * @returns the requests that yield; undefined if they can't make enough room
 */
export function chooseYielding<T extends ArrivingRequest>(
  arriving: Iterable<T>,
  missingBytes: number,
  ownBytes: number,
  now: MonoTime,
): T[] | undefined {
  const isStalled = ({ progressAt }: T): boolean => now - progressAt >= STALLED_MS;
  const candidates = [...arriving]
    .filter((one) => one.bytes > 0 && (isStalled(one) || one.bytes > ownBytes))
    .sort((a, b) => Number(isStalled(b)) - Number(isStalled(a)) || b.bytes - a.bytes);
  const yielding: T[] = [];
  let leftBytes = missingBytes;
  for (const one of candidates) {
    if (leftBytes <= 0) break;
    yielding.push(one);
    leftBytes -= one.bytes;
  }
  return leftBytes <= 0 ? yielding : undefined;
}

/** The requests of one size class, and what each of them takes. */
class MemoryPool {
  readonly #bytesByClaim = new Map<MemoryClaim, number>();

  #bytes = 0;

  /** What all of them take together, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  getBytes(claim: MemoryClaim): number {
    return this.#bytesByClaim.get(claim) ?? 0;
  }

  set(claim: MemoryClaim, bytes: number): void {
    this.#bytes += bytes - this.getBytes(claim);
    this.#bytesByClaim.set(claim, bytes);
  }

  remove(claim: MemoryClaim): void {
    this.#bytes -= this.getBytes(claim);
    this.#bytesByClaim.delete(claim);
  }

  listArriving(): MemoryClaim[] {
    return [...this.#bytesByClaim.keys()].filter(({ isArriving }) => isArriving);
  }
}

/**
 * Shares memory among callers' requests, from their first byte to the end of their response. Small
 * requests have a part of their own, which large ones can't use up.
 */
export class CallerMemory {
  readonly #limits: () => CallerMemoryLimits;

  readonly #small = new MemoryPool();

  readonly #large = new MemoryPool();

  /** @param limits - returns the limits that apply now */
  constructor(limits: () => CallerMemoryLimits) {
    this.#limits = limits;
  }

  /** What all requests take together, in bytes. */
  get bytes(): number {
    return this.#small.bytes + this.#large.bytes;
  }

  /**
   * Starts to count a request.
   *
   * @param now - the current time
   * @param onYield - called when the request has to yield its memory, while it is still arriving
   */
  open(now: MonoTime, onYield: () => void): MemoryClaim {
    return new MemoryClaim((bytes) => this.#choosePool(bytes), now, onYield);
  }

  #choosePool(bytes: number): { readonly pool: MemoryPool; readonly maxBytes: number } {
    const { smallBytes, largeBytes } = this.#limits();
    return bytes <= MAX_SMALL_BYTES
      ? { pool: this.#small, maxBytes: smallBytes }
      : { pool: this.#large, maxBytes: largeBytes };
  }
}

/** The memory of one request. */
export class MemoryClaim implements ArrivingRequest {
  readonly #choosePool: (bytes: number) => { pool: MemoryPool; maxBytes: number };

  readonly #onYield: () => void;

  #pool: MemoryPool | undefined;

  #progressAt: MonoTime;

  #isArriving = true;

  #isClosed = false;

  constructor(
    choosePool: (bytes: number) => { pool: MemoryPool; maxBytes: number },
    now: MonoTime,
    onYield: () => void,
  ) {
    this.#choosePool = choosePool;
    this.#progressAt = now;
    this.#onYield = onYield;
  }

  get bytes(): number {
    return this.#pool?.getBytes(this) ?? 0;
  }

  get progressAt(): MonoTime {
    return this.#progressAt;
  }

  /** Whether the request is still arriving, and may have to yield. */
  get isArriving(): boolean {
    return this.#isArriving;
  }

  /** Records that a part of the request has arrived. */
  recordProgress(now: MonoTime): void {
    this.#progressAt = now;
  }

  /**
   * Changes what the request takes. Others may have to yield.
   *
   * @param bytes - what it takes from now on
   * @param now - the current time
   * @returns false, and changes nothing, if there is no room for it
   */
  resize(bytes: number, now: MonoTime): boolean {
    if (this.#isClosed) return false;
    const { pool, maxBytes } = this.#choosePool(bytes);
    const missingBytes = pool.bytes - pool.getBytes(this) + bytes - maxBytes;
    if (missingBytes > 0 && bytes > this.bytes) {
      const others = pool.listArriving().filter((claim) => claim !== this);
      const yielding = chooseYielding(others, missingBytes, bytes, now);
      if (!yielding) return false;
      yielding.forEach((claim) => claim.yield());
    }
    if (this.#pool !== pool) this.#pool?.remove(this);
    this.#pool = pool;
    pool.set(this, bytes);
    return true;
  }

  /** Records that the request is complete: it keeps its memory until it is closed. */
  settle(): void {
    this.#isArriving = false;
  }

  /** Gives the memory back, and tells the owner of the request. */
  yield(): void {
    if (this.#isClosed) return;
    this.close();
    this.#onYield();
  }

  /** Gives the memory back. */
  close(): void {
    this.#isClosed = true;
    this.#pool?.remove(this);
  }
}
