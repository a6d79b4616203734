/** Takes submissions, answers reads of their results, and ends them. */
import {
  type Clock,
  type Failure,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  type TeamId,
} from '@hibiscushill/base';
import type { Log, LogTail, NewRecord } from '@hibiscushill/log';
import { spreadRetryAfter } from '@hibiscushill/routing';

import type {
  CallerRequest,
  ItemResult,
  OwnAnswer,
  Outcome,
  ResultPage,
  SubmissionCall,
  SubmissionSpec,
} from './caller-port';
import type { ConfigBook } from './config-tracker';
import { createAnswer } from './request-forwarder';
import type { ServingRoute } from './serving-config';
import type { ItemStore } from './item-loader';
import type {
  ItemId,
  Submission,
  SubmissionBook,
  SubmissionId,
  SubmissionTerms,
} from './submission';
import type { TextStore } from './payload-store';
import { type ListedResult, createAccepted, createEnded, splitItems } from './submission-records';

// The log usually answers within a few milliseconds.
const APPEND_TIMEOUT_MS = 900;
const APPEND_TRIES = 3;
const RETRY_PAUSE_MS = 60;
// How long an append without an answer is looked for in the log.
const DOUBT_MS = 1_200;
// A reader that is this fresh has read every result that was listed a second ago.
const FRESH_MS = 800;
const CATCH_UP_MS = 700;
const ELSEWHERE_RETRY_MS = 40;
// One page of results holds at most a megabyte.
const PAGE_BYTES = 900_000;

/** What the desk needs. */
export interface SubmissionDeskOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly config: ConfigBook;
  readonly log: Log;
  readonly tail: LogTail;
  readonly book: SubmissionBook;
  readonly texts: TextStore;
  readonly items: ItemStore;
}

type Written = 'written' | 'not-written' | 'unknown';

/** The callers' side of submissions; the same at every process. */
export class SubmissionDesk {
  readonly #options: SubmissionDeskOptions;

  readonly #waiting = new Map<SubmissionId, Set<() => void>>();

  /** @param options - the log and the submissions that were read from it */
  constructor(options: SubmissionDeskOptions) {
    this.#options = options;
    options.book.onChanged((change) => {
      const { id } = change.submission.terms;
      this.#waiting.get(id)?.forEach((wake) => wake());
    });
  }

  /** Takes a submission; resolves when it is kept. */
  async submit(
    req: CallerRequest,
    spec: SubmissionSpec,
    route: ServingRoute,
    team: TeamId | undefined,
  ): Promise<Outcome<void>> {
    const { book, clock, metrics } = this.#options;
    if (book.find(spec.id)) return done();
    const terms = {
      id: spec.id,
      team,
      host: req.host,
      path: req.path,
      step: spec.step,
      model: spec.model,
      leastVersion: spec.leastVersion,
      wantedGroups: spec.wantedGroups,
      submittedAt: clock.wall(),
      dueMs: route.resultsDueMs,
      retentionMs: route.retentionMs,
      itemCount: spec.items.length,
    };
    const written = await this.#writeSubmission(terms, spec);
    this.#options.logger.info('A submission was handed in.', {
      id: spec.id,
      step: spec.step,
      items: spec.items.length,
      leastVersion: spec.leastVersion,
      written,
    });
    metrics.count(`submission.${written}`);
    if (written === 'written' || book.find(spec.id)) return done();
    if (written === 'unknown' && (await this.#appears(() => book.find(spec.id) !== undefined))) {
      return done();
    }
    return refuse(this.#describe(written, 'The submission'));
  }

  /** Reads results, waiting up to a time for one. */
  async readResults(
    call: SubmissionCall,
    team: TeamId | undefined,
    after: number,
    waitMs: Millis,
  ): Promise<Outcome<ResultPage>> {
    const found = await this.#find(call, team);
    if (!found.isOk) return found;
    const submission = found.value;
    if (submission.results.length <= after) await this.#waitForResult(submission, after, waitMs);
    if (submission.results.length <= after && !(await this.#isFresh())) {
      return refuse(this.#refuseStale());
    }
    return this.#createPage(submission, after);
  }

  /** Reads the body of an item that has no result yet. */
  async readBody(
    call: SubmissionCall,
    team: TeamId | undefined,
    item: ItemId,
  ): Promise<Outcome<Uint8Array>> {
    const found = await this.#find(call, team);
    if (!found.isOk) return found;
    const items = await this.#options.items.load(found.value);
    if (items.isErr()) return refuse(this.#refuseStale());
    const spec = items.value.find((one) => one.id === item);
    if (!spec || found.value.isEnded || found.value.isListed(item)) {
      return refuse(createAnswer('step_unknown', 'The item has a result or does not exist.'));
    }
    return { isOk: true, value: Buffer.from(spec.body, 'base64') };
  }

  /** Ends a submission; resolves when that is kept. */
  async end(call: SubmissionCall, team: TeamId | undefined): Promise<Outcome<void>> {
    const found = await this.#find(call, team);
    if (!found.isOk) return found;
    const submission = found.value;
    if (submission.isEnded) return done();
    const written = await this.#write([createEnded(call.submission)]);
    this.#options.logger.info('A submission is ended.', { id: call.submission, written });
    if (written === 'written' || submission.isEnded) return done();
    if (written === 'unknown' && (await this.#appears(() => submission.isEnded))) return done();
    return refuse(this.#describe(written, 'The end'));
  }

  async #find(
    { submission: id }: SubmissionCall,
    team: TeamId | undefined,
  ): Promise<Outcome<Submission>> {
    const { book } = this.#options;
    // It may have been accepted a moment ago at another process.
    if (!book.find(id) && !(await this.#catchUp())) return refuse(this.#refuseStale());
    const submission = book.find(id);
    if (!submission || submission.terms.team !== team) {
      return refuse(createAnswer('step_unknown', 'There is no such submission.'));
    }
    return { isOk: true, value: submission };
  }

  /** Tells whether everything confirmed a second ago has been read; reads on if need be. */
  async #isFresh(): Promise<boolean> {
    const { clock, tail } = this.#options;
    const { caughtUpAt } = tail;
    if (caughtUpAt !== undefined && clock.mono() - caughtUpAt < FRESH_MS) return true;
    return this.#catchUp();
  }

  #catchUp(): Promise<boolean> {
    return this.#options.tail.catchUp(AbortSignal.timeout(CATCH_UP_MS));
  }

  async #createPage(submission: Submission, after: number): Promise<Outcome<ResultPage>> {
    const listed = pickPage(submission, after);
    const refs = listed.flatMap(({ text }) => (text ? [text] : []));
    const texts = await this.#options.texts.get(refs);
    if (texts.isErr()) {
      this.#noteFailure(texts.error, 1);
      return refuse(this.#refuseStale());
    }
    const outputs = [...texts.value];
    const results = listed.map(({ text, ...rest }): ItemResult => {
      const output = text ? String(outputs.shift()) : '';
      return { ...rest, output };
    });
    const next = Math.max(0, after) + results.length;
    return { isOk: true, value: { total: submission.terms.itemCount, next, results } };
  }

  async #waitForResult(submission: Submission, after: number, waitMs: Millis): Promise<void> {
    if (waitMs <= 0) return;
    const { id } = submission.terms;
    const stop = new AbortController();
    const wakers = this.#waiting.get(id) ?? new Set<() => void>();
    this.#waiting.set(id, wakers);
    const wake = (): void => {
      if (submission.results.length > after || submission.isEnded) stop.abort();
    };
    wakers.add(wake);
    wake();
    await this.#options.clock.sleep(waitMs, stop.signal);
    wakers.delete(wake);
    if (wakers.size === 0) this.#waiting.delete(id);
  }

  /** Writes the items first; they count only once the submission that names them is written. */
  async #writeSubmission(terms: SubmissionTerms, spec: SubmissionSpec): Promise<Written> {
    const { texts, clock } = this.#options;
    for (let tries = 1; tries <= APPEND_TRIES; tries += 1) {
      const items = await texts.put(splitItems(spec.items), APPEND_TIMEOUT_MS);
      if (items.isOk()) return this.#write([createAccepted({ terms, items: items.value })]);
      this.#noteFailure(items.error, tries);
      if (tries < APPEND_TRIES) await clock.sleep(RETRY_PAUSE_MS);
    }
    return 'not-written';
  }

  async #write(records: readonly NewRecord[]): Promise<Written> {
    const { log, clock, metrics } = this.#options;
    let isDoubtful = false;
    for (let tries = 1; tries <= APPEND_TRIES; tries += 1) {
      const sentAt = clock.mono();
      const result = await log.append('work', records, { timeoutMs: APPEND_TIMEOUT_MS });
      metrics.time('work.append', clock.mono() - sentAt);
      if (result.isOk()) return 'written';
      this.#noteFailure(result.error, tries);
      isDoubtful ||= result.error.run === 'may-have-run';
      if (isDoubtful) break;
      if (tries < APPEND_TRIES) await clock.sleep(RETRY_PAUSE_MS);
    }
    return isDoubtful ? 'unknown' : 'not-written';
  }

  #noteFailure(failure: Failure, tries: number): void {
    this.#options.metrics.countRetry(failure.code);
    this.#options.logger.warn('An append failed.', {
      code: failure.code,
      detail: failure.detail,
      run: failure.run,
      tries,
    });
  }

  async #appears(isThere: () => boolean): Promise<boolean> {
    const { clock, tail } = this.#options;
    const endsAt = (clock.mono() + DOUBT_MS) as MonoTime;
    while (clock.mono() < endsAt) {
      if (isThere()) return true;
      await tail.catchUp(AbortSignal.timeout(RETRY_PAUSE_MS));
      await clock.sleep(RETRY_PAUSE_MS);
    }
    return isThere();
  }

  #describe(written: Written, what: string): OwnAnswer {
    // What may still be written must not be called refused.
    if (written === 'unknown') {
      return createAnswer('outcome_unknown', `${what} may have been kept.`, {
        run: 'may-have-run',
      });
    }
    const retryAfterMs = spreadRetryAfter(ELSEWHERE_RETRY_MS, this.#options.random);
    return createAnswer('platform_down', `${what} was not kept.`, { retryAfterMs });
  }

  #refuseStale(): OwnAnswer {
    const retryAfterMs = spreadRetryAfter(ELSEWHERE_RETRY_MS, this.#options.random);
    return createAnswer('config_stale', 'The log was not read lately.', { retryAfterMs });
  }
}

/** Picks the results of a page; at least one where there is one. */
function pickPage(submission: Submission, after: number): ListedResult[] {
  const results: ListedResult[] = [];
  let bytes = 0;
  for (const result of submission.results.slice(after)) {
    bytes += result.text?.bytes ?? 0;
    if (results.length > 0 && bytes > PAGE_BYTES) break;
    results.push(result);
  }
  return results;
}

function done(): Outcome<void> {
  return { isOk: true, value: undefined };
}

function refuse<T>(answer: OwnAnswer): Outcome<T> {
  return { isOk: false, answer };
}
