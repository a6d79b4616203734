/** Retried appends without duplicates, also when responses are lost. */
import {
  type Clock,
  type Failure,
  type Metrics,
  type Millis,
  type Offset,
  type RandomSource,
  SystemClock,
  createFailure,
  createRandomSource,
} from '@hibiscushill/base';
import { getOrElse, isSome } from 'fp-ts/Option';
import { type Result, ResultAsync, err, ok } from 'neverthrow';

import { Backoff } from './backoff';
import type { Log, NewRecord, StreamName } from './log';
import type { LogTail } from './log-tail';

const DEFAULT_DEADLINE_MS = 30_000;
const DEFAULT_ATTEMPT_TIMEOUT_MS = 2_000;

/** The deadlines of an append and of each attempt, and what the attempts run with. */
export interface AppendOnceOptions {
  /** How long to retry, in milliseconds. */
  readonly deadlineMs?: Millis;
  /** The deadline of each attempt, in milliseconds. */
  readonly timeoutMs?: Millis;
  /** Ends the retries early. */
  readonly signal?: AbortSignal;
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/**
 * Appends records and retries until the append is acknowledged, fails for a reason that a retry
 * can't change, or the deadline passes. When the response to an attempt was lost, the tail first
 * reads to the stream's end and looks for the first record's id; the records are appended again
 * only if it isn't there. The tail remembers the ids in doubt, so that a later
 * call with the same records also looks for them first.
 *
 * @param log - the log
 * @param tail - a tail of the stream, which must have been started
 * @param stream - the stream
 * @param records - at least one record; a repeated call must use the same ids
 * @param options - the deadlines, and a signal that ends the retries
 * @returns the first offset at which the first record is in the stream; a failure with `run`
 *   `may-have-run` when the records may still appear there
 */
export function appendOnce(
  log: Log,
  tail: LogTail,
  stream: StreamName,
  records: readonly NewRecord[],
  options: AppendOnceOptions = {},
): ResultAsync<Offset, Failure> {
  return new ResultAsync(runAppend(log, tail, stream, records, options));
}

async function runAppend(
  log: Log,
  tail: LogTail,
  stream: StreamName,
  records: readonly NewRecord[],
  options: AppendOnceOptions,
): Promise<Result<Offset, Failure>> {
  const [first] = records;
  if (!first) return err(createFailure('request_invalid', { detail: 'no records to append' }));
  const clock = options.clock ?? new SystemClock();
  const backoff = new Backoff(options.random ?? createRandomSource());
  const deadline = startDeadline(clock, options);
  const timeoutMs = options.timeoutMs ?? DEFAULT_ATTEMPT_TIMEOUT_MS;
  let lastFailure: Failure = createFailure('platform_down', { detail: 'the deadline passed' });
  try {
    while (!deadline.signal.aborted) {
      const wasInDoubt = tail.isInDoubt(first.id);
      if (wasInDoubt && !(await tail.catchUp(deadline.signal))) break;
      const found = tail.findOffset(first.id);
      if (isSome(found)) return ok(found.value);
      const result = await log.append(stream, records, { timeoutMs });
      if (result.isOk()) {
        // An earlier attempt may have taken effect before this one; readers use the first copy.
        if (wasInDoubt && !(await tail.catchUp(deadline.signal))) break;
        return ok(getOrElse(() => result.value)(tail.findOffset(first.id)));
      }
      lastFailure = result.error;
      if (lastFailure.code !== 'platform_down' && lastFailure.run === 'not-run') break;
      if (lastFailure.run === 'may-have-run') tail.markInDoubt(first.id);
      options.metrics?.countRetry(lastFailure.code);
      await clock.sleep(backoff.next(lastFailure.retryAfterMs), deadline.signal);
    }
  } finally {
    deadline.abort();
  }
  return err({ ...lastFailure, run: tail.isInDoubt(first.id) ? 'may-have-run' : 'not-run' });
}

function startDeadline(clock: Clock, options: AppendOnceOptions): AbortController {
  const controller = new AbortController();
  if (options.signal?.aborted) controller.abort();
  options.signal?.addEventListener('abort', () => controller.abort(), {
    signal: controller.signal,
  });
  void clock
    .sleep(options.deadlineMs ?? DEFAULT_DEADLINE_MS, controller.signal)
    .then(() => controller.abort());
  return controller;
}
