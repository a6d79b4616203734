/** Writes results to the log, so that they are listed. */
import type { Clock, Failure, Logger, Metrics, Offset } from '@hibiscushill/base';
import type { Log } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

import type { ItemResult } from './caller-port';
import type { SubmissionBook, SubmissionId } from './submission';
import type { TextStore } from './payload-store';
import { type ListedResult, createResults } from './submission-records';

interface WaitingResult {
  readonly submission: SubmissionId;
  readonly result: ItemResult;
}

/** What a writer runs on. */
export interface ResultWriterOptions {
  readonly log: Log;
  readonly texts: TextStore;
  readonly book: SubmissionBook;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

// The log answers within a few milliseconds; a slow one takes tens of times as long.
const APPEND_TIMEOUT_MS = 1_500;
const RETRY_MS = 150;
// One call takes two megabytes; a smaller batch is sooner written.
const BATCH_BYTES = 600_000;

/** Appends results in batches: what comes during one append goes with the next. */
export class ResultWriter {
  readonly #options: ResultWriterOptions;

  #waiting: WaitingResult[] = [];

  #task: Promise<void> | undefined;

  /** @param options - the log and the book that lists results */
  constructor(options: ResultWriterOptions) {
    this.#options = options;
  }

  /** Adds a result; it is written until it is listed. */
  add(submission: SubmissionId, result: ItemResult): void {
    this.#waiting.push({ submission, result });
    this.#task ??= this.#run();
  }

  /** Resolves when everything that was added is written. */
  async settle(): Promise<void> {
    await this.#task;
  }

  async #run(): Promise<void> {
    // What arrives in the same turn goes into the same record.
    await Promise.resolve();
    while (this.#waiting.length > 0) await this.#writeBatch();
    this.#task = undefined;
  }

  async #writeBatch(): Promise<void> {
    const { clock, metrics, logger } = this.#options;
    const batch = this.#takeBatch();
    const sentAt = clock.mono();
    const done = await this.#write(batch);
    metrics.time('work.append', clock.mono() - sentAt);
    if (done.isOk()) return;
    logger.warn('Results were not written; they are written again.', {
      results: batch.length,
      code: done.error.code,
      detail: done.error.detail,
    });
    this.#waiting = [...batch.filter((one) => !this.#isListed(one)), ...this.#waiting];
    await clock.sleep(RETRY_MS);
  }

  /** Writes the texts first, so that a listed result can be read. */
  async #write(batch: readonly WaitingResult[]): Promise<Result<Offset, Failure>> {
    const { log, texts } = this.#options;
    const outputs = batch.flatMap(({ result }) => (result.output === '' ? [] : [result.output]));
    const refs = outputs.length > 0 ? await texts.put(outputs, APPEND_TIMEOUT_MS) : ok([]);
    if (refs.isErr()) return err(refs.error);
    const places = [...refs.value];
    const results = batch.map(({ submission, result: { output, ...rest } }) => {
      const result: ListedResult = { ...rest, text: output === '' ? undefined : places.shift() };
      return { submission, result };
    });
    return log.append('work', [createResults({ results })], { timeoutMs: APPEND_TIMEOUT_MS });
  }

  #takeBatch(): WaitingResult[] {
    let bytes = 0;
    const count = this.#waiting.findIndex(({ result }) => {
      bytes += result.output.length;
      return bytes > BATCH_BYTES;
    });
    return this.#waiting.splice(0, count < 0 ? this.#waiting.length : Math.max(1, count));
  }

  #isListed({ submission, result }: WaitingResult): boolean {
    return this.#options.book.find(submission)?.isListed(result.item) ?? true;
  }
}
