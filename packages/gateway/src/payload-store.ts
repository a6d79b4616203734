/** Large texts, kept on a stream of their own that only those read who need a text. */
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

/** Where a text stands. */
export interface TextRef {
  readonly offset: number;
  /** About how long its record is. */
  readonly bytes: number;
}

const TEXT_KIND = 'texts.text';
// What a record has around its payload.
const RECORD_BYTES = 200;
const READ_TIMEOUT_MS = 800;
const READ_TRIES = 2;
// Texts are read soon after they were written, if at all.
const CACHE_BYTES = 4_000_000;
const MOST_READ_BYTES = 1_000_000;

/** Writes texts, and reads them back by their place. */
export class TextStore {
  readonly #log: Log;

  readonly #cache = new Map<number, unknown>();

  readonly #sizes = new Map<number, number>();

  #cachedBytes = 0;

  /** @param log - the log with the stream of texts */
  constructor(log: Log) {
    this.#log = log;
  }

  /**
   * Writes texts in one piece.
   *
   * @param texts - the texts, as JSON values
   * @param timeoutMs - the deadline, in milliseconds
   * @returns their places; a failed write may have left texts that nothing refers to
   */
  async put(texts: readonly unknown[], timeoutMs: Millis): Promise<Result<TextRef[], Failure>> {
    const sizes = texts.map((text) => JSON.stringify(text).length + RECORD_BYTES);
    const records: NewRecord[] = texts.map((payload) => ({
      id: createId<RecordId>(),
      kind: TEXT_KIND,
      payload,
    }));
    const done = await this.#log.append('texts', records, { timeoutMs });
    return done.map((first) =>
      texts.map((text, index) => {
        const ref = { offset: first + index, bytes: sizes[index] ?? RECORD_BYTES };
        this.#remember(ref.offset, ref.bytes, text);
        return ref;
      }),
    );
  }

  /**
   * Reads texts.
   *
   * @param refs - their places
   * @returns the texts in the same order
   */
  async get(refs: readonly TextRef[]): Promise<Result<unknown[], Failure>> {
    const found = new Map<number, unknown>();
    for (const [index, ref] of refs.entries()) {
      if (this.#cache.has(ref.offset)) found.set(ref.offset, this.#cache.get(ref.offset));
      if (!found.has(ref.offset)) {
        const page = await this.#read(ref.offset, measureRun(refs.slice(index)));
        if (page.isErr()) return err(page.error);
        page.value.records.forEach(({ offset, payload }) => found.set(offset, payload));
        refs.forEach(({ offset, bytes }) => {
          if (found.has(offset)) this.#remember(offset, bytes, found.get(offset));
        });
      }
    }
    return ok(refs.map(({ offset }) => found.get(offset)));
  }

  async #read(from: number, maxBytes: number): Promise<Result<LogPage, Failure>> {
    let last: Result<LogPage, Failure> | undefined;
    for (let tries = 0; tries < READ_TRIES; tries += 1) {
      const options = { maxBytes, waitMs: 0, timeoutMs: READ_TIMEOUT_MS };
      const page = await this.#log.read('texts', from as Offset, options);
      const isThere = page.isOk() && page.value.records.length > 0;
      if (isThere) return page;
      last = page.andThen(() => missing());
    }
    return last ?? missing();
  }

  #remember(offset: number, bytes: number, text: unknown): void {
    if (this.#cache.has(offset)) return;
    this.#cache.set(offset, text);
    this.#sizes.set(offset, bytes);
    this.#cachedBytes += bytes;
    while (this.#cachedBytes > CACHE_BYTES) {
      const [oldest] = this.#cache.keys();
      if (oldest === undefined) return;
      this.#cache.delete(oldest);
      this.#cachedBytes -= this.#sizes.get(oldest) ?? 0;
      this.#sizes.delete(oldest);
    }
  }
}

function missing(): Result<LogPage, Failure> {
  return err(createFailure('platform_refused', { detail: 'the text is not there' }));
}

/** The bytes of the texts that stand next to one another from the first on. */
function measureRun(refs: readonly TextRef[]): number {
  let bytes = 0;
  let next = refs[0]?.offset;
  for (const ref of refs) {
    if (ref.offset !== next || bytes + ref.bytes > MOST_READ_BYTES) break;
    bytes += ref.bytes;
    next = ref.offset + 1;
  }
  return Math.max(bytes, refs[0]?.bytes ?? RECORD_BYTES);
}
