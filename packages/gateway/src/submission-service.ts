/** Accepts submissions, serves their results and ends them, at every process alike. */
import {
  type Clock,
  type Failure,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
} from '@hibiscushill/base';
import type { Log, LogTail, NewRecord } from '@hibiscushill/log';
import { ok } from 'neverthrow';
import {
  type CallerAccess,
  jitterRetryAfter,
  mayAcceptSubmission,
  mayAccessWork,
} from '@hibiscushill/routing';

import type {
  CallerRequest,
  ItemResult,
  ItemSpec,
  GatewayAnswer,
  Outcome,
  ResultPage,
  SubmissionCall,
  SubmissionSpec,
} from './caller-port';
import type { ConfigTracker } from './config-tracker';
import { createGatewayAnswer } from './gateway-answer';
import type { ServingRoute } from './serving-config';
import type { ItemLoader } from './item-loader';
import type {
  ItemId,
  Submission,
  SubmissionRegistry,
  SubmissionId,
  SubmissionTerms,
} from './submission';
import type { PayloadStore } from './payload-store';
import {
  type ListedResult,
  createAcceptedRecord,
  createEndedRecord,
  estimateItemBytes,
  splitIntoParts,
} from './submission-records';

// Tens of times the few milliseconds that the log usually takes.
const APPEND_TIMEOUT_MS = 900;
const MAX_APPEND_ATTEMPTS = 3;
const RETRY_PAUSE_MS = 60;
// How long the log is searched for a record whose append brought no response.
const CONFIRM_TIMEOUT_MS = 1_200;
// A reader that reached the end of the log this recently has every result that was written a second
// ago or earlier.
const MAX_READ_AGE_MS = 800;
const CATCH_UP_TIMEOUT_MS = 700;
const OTHER_PROCESS_RETRY_MS = 40;
// Open submissions take some seconds.
const FULL_RETRY_MS = 1_000;
// Keeps a page of results with its encoding below a megabyte.
const MAX_PAGE_BYTES = 900_000;

/** The log, what was read from it, and the stores that it refers to. */
export interface SubmissionServiceOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly config: ConfigTracker;
  readonly log: Log;
  readonly tail: LogTail;
  readonly submissions: SubmissionRegistry;
  readonly payloads: PayloadStore;
  readonly itemLoader: ItemLoader;
}

/** Whether a record is on the log; unknown when an append may still take effect. */
type WriteOutcome = 'written' | 'not-written' | 'unknown';

/** Serves the submission calls of callers. Any process can serve any submission. */
export class SubmissionService {
  readonly #options: SubmissionServiceOptions;

  /** What the submissions take that are being written, in bytes. */
  #pendingBytes = 0;

  readonly #wakersById = new Map<SubmissionId, Set<() => void>>();

  /** @param options - the log and the submissions read from it */
  constructor(options: SubmissionServiceOptions) {
    this.#options = options;
    options.submissions.onChanged((change) => {
      const { id } = change.submission.terms;
      this.#wakersById.get(id)?.forEach((wake) => wake());
    });
  }

  /**
   * Accepts a submission; submitting the same id again has no effect.
   *
   * @param req - the request that carried it
   * @param spec - its id and items
   * @param route - the route that the request matched
   * @param access - by what right it is submitted, and the team that it belongs to
   * @returns success once it is on the log; otherwise a refusal that says whether it may be
   */
  async submit(
    req: CallerRequest,
    spec: SubmissionSpec,
    route: ServingRoute,
    access: CallerAccess,
  ): Promise<Outcome<void>> {
    const { submissions } = this.#options;
    const earlier = submissions.find(spec.id);
    if (earlier) return confirmEarlier(earlier, access);
    const bytes = spec.items.reduce((sum, item) => sum + estimateItemBytes(item), 0);
    const refusal = this.findRefusal(spec.id, bytes);
    if (refusal) return refuse(refusal);
    this.#pendingBytes += bytes;
    try {
      return await this.#accept(req, spec, route, access);
    } finally {
      this.#pendingBytes -= bytes;
    }
  }

  /** Refuses a submission whose items don't fit beside those of open ones, unless it is one of them. */
  findRefusal(id: SubmissionId, bytes: number): GatewayAnswer | undefined {
    const { submissions, random } = this.#options;
    if (submissions.find(id)) return undefined;
    const openBytes = submissions.openBytes + this.#pendingBytes;
    if (mayAcceptSubmission(openBytes, bytes)) return undefined;
    const retryAfterMs = jitterRetryAfter(FULL_RETRY_MS, random);
    const detail = 'The items of open submissions take the memory of the process.';
    return createGatewayAnswer('memory_exhausted', detail, { retryAfterMs });
  }

  async #accept(
    req: CallerRequest,
    spec: SubmissionSpec,
    route: ServingRoute,
    access: CallerAccess,
  ): Promise<Outcome<void>> {
    const { submissions, clock, metrics, config } = this.#options;
    const terms = {
      id: spec.id,
      team: access.team,
      host: req.host,
      path: req.path,
      step: spec.step,
      model: spec.model,
      leastVersion: spec.leastVersion,
      wantedGroups: spec.wantedGroups,
      submittedAt: clock.wall(),
      configVersion: config.current?.version,
      dueMs: route.resultsDueMs,
      retentionMs: route.retentionMs,
      itemCount: spec.items.length,
    };
    const written = await this.#writeSubmission(terms, spec);
    this.#options.logger.info('A submission was received.', {
      id: spec.id,
      team: access.team,
      basis: access.basis,
      step: spec.step,
      items: spec.items.length,
      leastVersion: spec.leastVersion,
      written,
    });
    metrics.count(`submission.${written}`);
    if (written === 'written' || submissions.find(spec.id)) return succeed();
    if (
      written === 'unknown' &&
      (await this.#waitUntilRead(() => submissions.find(spec.id) !== undefined))
    ) {
      return succeed();
    }
    return refuse(this.#createWriteRefusal(written, 'The submission'));
  }

  /**
   * Reads a page of results.
   *
   * @param call - the submission
   * @param access - the caller's; it must be of the team that the submission belongs to
   * @param after - how many results the caller has already
   * @param waitMs - how long to wait for a further result when there is none
   */
  async readResults(
    call: SubmissionCall,
    access: CallerAccess,
    after: number,
    waitMs: Millis,
  ): Promise<Outcome<ResultPage>> {
    const found = await this.#find(call, access);
    if (!found.isOk) return found;
    const submission = found.value;
    if (submission.results.length <= after) await this.#waitForResult(submission, after, waitMs);
    if (submission.results.length <= after && !(await this.#ensureFresh())) {
      return refuse(this.#createStaleRefusal());
    }
    return this.#createPage(submission, after);
  }

  /** Reads the request body of an item that has no result yet, as Base64. */
  async readBody(
    call: SubmissionCall,
    access: CallerAccess,
    item: ItemId,
  ): Promise<Outcome<string>> {
    const found = await this.#find(call, access);
    if (!found.isOk) return found;
    const isUnfinished = (): boolean => found.value.isOpen && !found.value.hasResult(item);
    const items = isUnfinished()
      ? await this.#options.itemLoader.load(found.value)
      : ok<readonly ItemSpec[], Failure>([]);
    if (items.isErr()) return refuse(this.#createStaleRefusal());
    const spec = items.value.find((one) => one.id === item);
    if (!spec || !isUnfinished()) {
      return refuse(
        createGatewayAnswer('step_unknown', 'The item has a result or does not exist.'),
      );
    }
    return { isOk: true, value: spec.body };
  }

  /**
   * Ends a submission, so that its remaining items aren't run.
   *
   * @returns success once the end is on the log
   */
  async end(call: SubmissionCall, access: CallerAccess): Promise<Outcome<void>> {
    const found = await this.#find(call, access);
    if (!found.isOk) return found;
    const submission = found.value;
    if (submission.isEnded) return succeed();
    const written = await this.#write([createEndedRecord(call.submission)]);
    this.#options.logger.info('The end of a submission was requested.', {
      id: call.submission,
      written,
    });
    if (written === 'written' || submission.isEnded) return succeed();
    if (written === 'unknown' && (await this.#waitUntilRead(() => submission.isEnded)))
      return succeed();
    return refuse(this.#createWriteRefusal(written, 'The end of the submission'));
  }

  /**
   * Tells whether a submission belongs to no team, so that no key is needed to read or end it; false
   * also if there is no such submission, and a refusal while that can't be told.
   */
  async isUnowned({ submission: id }: SubmissionCall): Promise<Outcome<boolean>> {
    const { submissions } = this.#options;
    if (!submissions.find(id) && !(await this.#catchUp())) {
      return refuse(this.#createStaleRefusal());
    }
    const submission = submissions.find(id);
    return { isOk: true, value: submission !== undefined && submission.terms.team === undefined };
  }

  async #find(
    { submission: id }: SubmissionCall,
    access: CallerAccess,
  ): Promise<Outcome<Submission>> {
    const { submissions } = this.#options;
    // Another process may have accepted it a moment ago.
    if (!submissions.find(id) && !(await this.#catchUp()))
      return refuse(this.#createStaleRefusal());
    const submission = submissions.find(id);
    if (!submission || !mayAccessWork(submission.terms.team, access)) {
      this.#options.logger.info('A call about a submission was refused.', {
        id,
        isKnown: submission !== undefined,
        owner: submission?.terms.team,
        caller: access.team,
        basis: access.basis,
      });
      return refuse(createGatewayAnswer('step_unknown', 'There is no such submission.'));
    }
    return { isOk: true, value: submission };
  }

  /**
   * Makes sure that every result that was written a second ago or earlier has been read.
   *
   * @returns false when the log couldn't be read to its end in time
   */
  async #ensureFresh(): Promise<boolean> {
    const { clock, tail } = this.#options;
    const { caughtUpAt } = tail;
    if (caughtUpAt !== undefined && clock.mono() - caughtUpAt < MAX_READ_AGE_MS) return true;
    return this.#catchUp();
  }

  #catchUp(): Promise<boolean> {
    return this.#options.tail.catchUp(AbortSignal.timeout(CATCH_UP_TIMEOUT_MS));
  }

  async #createPage(submission: Submission, after: number): Promise<Outcome<ResultPage>> {
    const page = selectPage(submission, after);
    const refs = page.flatMap(({ text }) => (text ? [text] : []));
    const outputs = await this.#options.payloads.get(refs);
    if (outputs.isErr()) {
      this.#recordFailure(outputs.error, 1);
      return refuse(this.#createStaleRefusal());
    }
    const remaining = [...outputs.value];
    const results = page.map(({ text, ...rest }): ItemResult => {
      const output = text ? String(remaining.shift()) : '';
      return { ...rest, output };
    });
    const next = Math.max(0, after) + results.length;
    return { isOk: true, value: { total: submission.terms.itemCount, next, results } };
  }

  async #waitForResult(submission: Submission, after: number, waitMs: Millis): Promise<void> {
    if (waitMs <= 0) return;
    const { id } = submission.terms;
    const stop = new AbortController();
    const wakers = this.#wakersById.get(id) ?? new Set<() => void>();
    this.#wakersById.set(id, wakers);
    const wake = (): void => {
      if (submission.results.length > after || submission.isEnded) stop.abort();
    };
    wakers.add(wake);
    wake();
    await this.#options.clock.sleep(waitMs, stop.signal);
    wakers.delete(wake);
    if (wakers.size === 0) this.#wakersById.delete(id);
  }

  /** Writes the items before the record that refers to them and accepts the submission. */
  async #writeSubmission(terms: SubmissionTerms, spec: SubmissionSpec): Promise<WriteOutcome> {
    const { payloads, clock } = this.#options;
    for (let tries = 1; tries <= MAX_APPEND_ATTEMPTS; tries += 1) {
      const items = await payloads.put(splitIntoParts(spec.items), APPEND_TIMEOUT_MS);
      if (items.isOk()) return this.#write([createAcceptedRecord({ terms, items: items.value })]);
      this.#recordFailure(items.error, tries);
      if (tries < MAX_APPEND_ATTEMPTS) await clock.sleep(RETRY_PAUSE_MS);
    }
    return 'not-written';
  }

  async #write(records: readonly NewRecord[]): Promise<WriteOutcome> {
    const { log, clock, metrics } = this.#options;
    let isUnknown = false;
    for (let tries = 1; tries <= MAX_APPEND_ATTEMPTS; tries += 1) {
      const sentAt = clock.mono();
      const result = await log.append('work', records, { timeoutMs: APPEND_TIMEOUT_MS });
      metrics.time('work.append', clock.mono() - sentAt);
      if (result.isOk()) return 'written';
      this.#recordFailure(result.error, tries);
      isUnknown ||= result.error.run === 'may-have-run';
      if (isUnknown) break;
      if (tries < MAX_APPEND_ATTEMPTS) await clock.sleep(RETRY_PAUSE_MS);
    }
    return isUnknown ? 'unknown' : 'not-written';
  }

  #recordFailure(failure: Failure, tries: number): void {
    this.#options.metrics.countRetry(failure.code);
    this.#options.logger.warn('A call to the log failed.', {
      code: failure.code,
      detail: failure.detail,
      run: failure.run,
      tries,
    });
  }

  /** Waits until a record of unknown outcome was read from the log; returns whether it was. */
  async #waitUntilRead(isRead: () => boolean): Promise<boolean> {
    const { clock, tail } = this.#options;
    const endsAt = (clock.mono() + CONFIRM_TIMEOUT_MS) as MonoTime;
    while (clock.mono() < endsAt) {
      if (isRead()) return true;
      await tail.catchUp(AbortSignal.timeout(RETRY_PAUSE_MS));
      await clock.sleep(RETRY_PAUSE_MS);
    }
    return isRead();
  }

  #createWriteRefusal(written: WriteOutcome, what: string): GatewayAnswer {
    // An append that may still take effect must not be reported as not run.
    if (written === 'unknown') {
      return createGatewayAnswer('outcome_unknown', `${what} may have been stored.`, {
        run: 'may-have-run',
      });
    }
    const retryAfterMs = jitterRetryAfter(OTHER_PROCESS_RETRY_MS, this.#options.random);
    return createGatewayAnswer('platform_down', `${what} was not stored.`, { retryAfterMs });
  }

  #createStaleRefusal(): GatewayAnswer {
    const retryAfterMs = jitterRetryAfter(OTHER_PROCESS_RETRY_MS, this.#options.random);
    return createGatewayAnswer('config_stale', 'The log has not been read recently.', {
      retryAfterMs,
    });
  }
}

/** Selects the results of a page by size; at least one if there is any after the position. */
function selectPage(submission: Submission, after: number): ListedResult[] {
  const results: ListedResult[] = [];
  let bytes = 0;
  for (const result of submission.results.slice(after)) {
    bytes += result.text?.bytes ?? 0;
    if (results.length > 0 && bytes > MAX_PAGE_BYTES) break;
    results.push(result);
  }
  return results;
}

/** Confirms a submission that was accepted before, unless its later calls would be another team's. */
function confirmEarlier({ terms }: Submission, access: CallerAccess): Outcome<void> {
  if (mayAccessWork(terms.team, access)) return succeed();
  return refuse(createGatewayAnswer('step_conflict', 'The id is that of another submission.'));
}

function succeed(): Outcome<void> {
  return { isOk: true, value: undefined };
}

function refuse<T>(answer: GatewayAnswer): Outcome<T> {
  return { isOk: false, answer };
}
