/**
 * Large JSON values, on a log stream of their own (`texts`), so that readers of the other streams
 * fetch only the values that they need.
 */
import {
  type Failure,
  type Millis,
  type Offset,
  type RecordId,
  createFailure,
  createId,
} from '@hibiscushill/base';
import type { Log, LogPage, NewRecord } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

/** Where a value is stored. */
export interface PayloadRef {
  /** The offset of its record on the stream. */
  readonly offset: number;
  /** The approximate size of its record. */
  readonly bytes: number;
}

const PAYLOAD_KIND = 'texts.text';
// The approximate size of a record without its payload.
const RECORD_OVERHEAD_BYTES = 200;
const READ_TIMEOUT_MS = 800;
const MAX_READ_ATTEMPTS = 2;
// Values are read soon after they were written, if at all, so that a small cache is enough.
const MAX_CACHE_BYTES = 4_000_000;
const MAX_READ_BYTES = 1_000_000;
// Bounds what an append takes in memory beside the values; the log takes twice this in one call.
const MAX_APPEND_BYTES = 1_000_000;

/** Writes values to the log, reads them back by reference and caches the newest. */
export class PayloadStore {
  readonly #log: Log;

  readonly #cache = new Map<number, unknown>();

  readonly #sizes = new Map<number, number>();

  #cachedBytes = 0;

  /** @param log - the log that has the `texts` stream */
  constructor(log: Log) {
    this.#log = log;
  }

  /**
   * Writes values, in several appends if they are too large for one.
   *
   * @param payloads - JSON values
   * @param timeoutMs - the time-out of each append
   * @returns their references; a failed append may leave values that nothing refers to
   */
  async put(
    payloads: readonly unknown[],
    timeoutMs: Millis,
  ): Promise<Result<PayloadRef[], Failure>> {
    const refs: PayloadRef[] = [];
    while (refs.length < payloads.length) {
      const appended = await this.#append(payloads.slice(refs.length), timeoutMs);
      if (appended.isErr()) return err(appended.error);
      refs.push(...appended.value);
    }
    return ok(refs);
  }

  /** Appends the first values that fit into one call, and at least one. */
  async #append(
    payloads: readonly unknown[],
    timeoutMs: Millis,
  ): Promise<Result<PayloadRef[], Failure>> {
    const sizes: number[] = [];
    let bytes = 0;
    for (const payload of payloads) {
      const size = estimateJsonLength(payload) + RECORD_OVERHEAD_BYTES;
      if (sizes.length > 0 && bytes + size > MAX_APPEND_BYTES) break;
      sizes.push(size);
      bytes += size;
    }
    const records: NewRecord[] = sizes.map((_, index) => ({
      id: createId<RecordId>(),
      kind: PAYLOAD_KIND,
      payload: payloads[index],
    }));
    const done = await this.#log.append('texts', records, { timeoutMs });
    return done.map((first) =>
      sizes.map((size, index) => {
        const ref = { offset: first + index, bytes: size };
        this.#addToCache(ref.offset, ref.bytes, payloads[index]);
        return ref;
      }),
    );
  }

  /**
   * Reads values, those at consecutive offsets in one call.
   *
   * @param refs - their references
   * @returns the values in the same order
   */
  async get(refs: readonly PayloadRef[]): Promise<Result<unknown[], Failure>> {
    const found = new Map<number, unknown>();
    for (const [index, ref] of refs.entries()) {
      if (this.#cache.has(ref.offset)) found.set(ref.offset, this.#cache.get(ref.offset));
      if (!found.has(ref.offset)) {
        const page = await this.#read(ref.offset, measureConsecutive(refs.slice(index)));
        if (page.isErr()) return err(page.error);
        page.value.records.forEach(({ offset, payload }) => found.set(offset, payload));
        refs.forEach(({ offset, bytes }) => {
          if (found.has(offset)) this.#addToCache(offset, bytes, found.get(offset));
        });
      }
    }
    return ok(refs.map(({ offset }) => found.get(offset)));
  }

  async #read(from: number, maxBytes: number): Promise<Result<LogPage, Failure>> {
    let last: Result<LogPage, Failure> | undefined;
    for (let tries = 0; tries < MAX_READ_ATTEMPTS; tries += 1) {
      const options = { maxBytes, waitMs: 0, timeoutMs: READ_TIMEOUT_MS };
      const page = await this.#log.read('texts', from as Offset, options);
      const isThere = page.isOk() && page.value.records.length > 0;
      if (isThere) return page;
      last = page.andThen(() => createMissingError());
    }
    return last ?? createMissingError();
  }

  #addToCache(offset: number, bytes: number, payload: unknown): void {
    if (this.#cache.has(offset)) return;
    this.#cache.set(offset, payload);
    this.#sizes.set(offset, bytes);
    this.#cachedBytes += bytes;
    while (this.#cachedBytes > MAX_CACHE_BYTES) {
      const [oldest] = this.#cache.keys();
      if (oldest === undefined) return;
      this.#cache.delete(oldest);
      this.#cachedBytes -= this.#sizes.get(oldest) ?? 0;
      this.#sizes.delete(oldest);
    }
  }
}

/** Estimates the length of a value's JSON text, without creating it. */
function estimateJsonLength(value: unknown): number {
  if (typeof value === 'string') return value.length + 2;
  if (typeof value !== 'object' || value === null) return String(value).length;
  return Object.entries(value).reduce(
    (sum, [key, member]) => sum + key.length + 4 + estimateJsonLength(member),
    2,
  );
}

function createMissingError(): Result<LogPage, Failure> {
  return err(
    createFailure('platform_refused', {
      detail: 'the log has no record at the offset of the payload',
    }),
  );
}

/** Measures the records at consecutive offsets from the first one on, up to the size of a read. */
function measureConsecutive(refs: readonly PayloadRef[]): number {
  let bytes = 0;
  let next = refs[0]?.offset;
  for (const ref of refs) {
    if (ref.offset !== next || bytes + ref.bytes > MAX_READ_BYTES) break;
    bytes += ref.bytes;
    next = ref.offset + 1;
  }
  return Math.max(bytes, refs[0]?.bytes ?? RECORD_OVERHEAD_BYTES);
}
