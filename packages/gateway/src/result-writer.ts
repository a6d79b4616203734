/** Writing of items' results to the log. */
import type { Clock, Failure, Logger, Metrics, Offset } from '@hibiscushill/base';
import type { Log } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

import type { ItemResult } from './caller-port';
import type { SubmissionRegistry, SubmissionId } from './submission';
import type { PayloadStore } from './payload-store';
import { type ListedResult, createResultsRecord } from './submission-records';

interface PendingResult {
  readonly submission: SubmissionId;
  readonly result: ItemResult;
}

/** The log, the store for outputs, and the submissions read from the log. */
export interface ResultWriterOptions {
  readonly log: Log;
  readonly payloads: PayloadStore;
  readonly submissions: SubmissionRegistry;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

// The log usually responds within a few milliseconds, and tens of times as slowly when overloaded.
const APPEND_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 150;
// An append may hold two megabytes; a smaller batch is written sooner.
const MAX_BATCH_BYTES = 600_000;

/** Appends results in batches; those that arrive during an append go into the next one. */
export class ResultWriter {
  readonly #options: ResultWriterOptions;

  #pending: PendingResult[] = [];

  #writing: Promise<void> | undefined;

  #isStopped = false;

  /** @param options - the log and the submissions that show which results it has */
  constructor(options: ResultWriterOptions) {
    this.#options = options;
  }

  /** Adds a result, which is appended again until the log has it. */
  add(submission: SubmissionId, result: ItemResult): void {
    this.#pending.push({ submission, result });
    this.#writing ??= this.#run();
  }

  /** Resolves when all added results are written. */
  async flush(): Promise<void> {
    await this.#writing;
  }

  /** Gives up the results that are not written, which the next holder's runs produce again. */
  stop(): void {
    this.#isStopped = true;
    if (this.#pending.length === 0 && this.#writing === undefined) return;
    this.#options.logger.warn('Results were given up at shutdown.', {
      waiting: this.#pending.length,
    });
  }

  async #run(): Promise<void> {
    // Results that arrive in the same turn of the event loop go into the same record.
    await Promise.resolve();
    while (this.#pending.length > 0 && !this.#isStopped) await this.#writeBatch();
    this.#writing = undefined;
  }

  async #writeBatch(): Promise<void> {
    const { clock, metrics, logger } = this.#options;
    const batch = this.#takeBatch();
    const sentAt = clock.mono();
    const done = await this.#write(batch);
    metrics.time('work.append', clock.mono() - sentAt);
    if (done.isOk()) return;
    logger.warn('Results were not written and will be retried.', {
      results: batch.length,
      code: done.error.code,
      detail: done.error.detail,
    });
    this.#pending = [...batch.filter((one) => !this.#hasResult(one)), ...this.#pending];
    await clock.sleep(RETRY_DELAY_MS);
  }

  /** Writes the outputs before the record that refers to them, so that every result can be read. */
  async #write(batch: readonly PendingResult[]): Promise<Result<Offset, Failure>> {
    const { log, payloads } = this.#options;
    const outputs = batch.flatMap(({ result }) => (result.output === '' ? [] : [result.output]));
    const refs = outputs.length > 0 ? await payloads.put(outputs, APPEND_TIMEOUT_MS) : ok([]);
    if (refs.isErr()) return err(refs.error);
    const unusedRefs = [...refs.value];
    const results = batch.map(({ submission, result: { output, ...rest } }) => {
      const result: ListedResult = {
        ...rest,
        text: output === '' ? undefined : unusedRefs.shift(),
      };
      return { submission, result };
    });
    return log.append('work', [createResultsRecord({ results })], { timeoutMs: APPEND_TIMEOUT_MS });
  }

  #takeBatch(): PendingResult[] {
    let bytes = 0;
    const count = this.#pending.findIndex(({ result }) => {
      bytes += result.output.length;
      return bytes > MAX_BATCH_BYTES;
    });
    return this.#pending.splice(0, count < 0 ? this.#pending.length : Math.max(1, count));
  }

  #hasResult({ submission, result }: PendingResult): boolean {
    return this.#options.submissions.find(submission)?.hasResult(result.item) ?? true;
  }
}
