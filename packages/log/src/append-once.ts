/** Appends that take effect once, also when their answers are lost. */
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

const DEADLINE_MS = 30_000;
const TRY_TIMEOUT_MS = 2_000;

/** How long to go on, and what to run on. */
export interface AppendOnceOptions {
  /** When to give up, in milliseconds from the call. */
  readonly deadlineMs?: Millis;
  /** The deadline of each try, in milliseconds. */
  readonly timeoutMs?: Millis;
  readonly signal?: AbortSignal;
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/**
 * Appends records and finds out what became of an append whose answer was lost: the stream is read
 * forward for the id before the records are appended again. A further append of the same records
 * goes on from there, since the tail keeps the ids in doubt.
 *
 * @param log - the log
 * @param tail - a started tail of the stream
 * @param stream - the stream
 * @param records - at least one record; a further append must bring the same ids
 * @param options - deadlines, and an early end
 * @returns the offset where the first record stands for every reader; a failure with `run`
 *   `may-have-run` when the records may still appear
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
  if (!first) return err(createFailure('request_invalid', { detail: 'no record' }));
  const clock = options.clock ?? new SystemClock();
  const backoff = new Backoff(options.random ?? createRandomSource());
  const deadline = startDeadline(clock, options);
  const timeoutMs = options.timeoutMs ?? TRY_TIMEOUT_MS;
  let last: Failure = createFailure('platform_down', { detail: 'deadline' });
  try {
    while (!deadline.signal.aborted) {
      const isDoubtful = tail.isDoubtful(first.id);
      if (isDoubtful && !(await tail.catchUp(deadline.signal))) break;
      const found = tail.find(first.id);
      if (isSome(found)) return ok(found.value);
      const result = await log.append(stream, records, { timeoutMs });
      if (result.isOk()) {
        // An earlier try may have landed in front of this one: the first appearance counts.
        if (isDoubtful && !(await tail.catchUp(deadline.signal))) break;
        return ok(getOrElse(() => result.value)(tail.find(first.id)));
      }
      last = result.error;
      if (last.code !== 'platform_down' && last.run === 'not-run') break;
      if (last.run === 'may-have-run') tail.markDoubtful(first.id);
      options.metrics?.countRetry(last.code);
      await clock.sleep(backoff.next(last.retryAfterMs), deadline.signal);
    }
  } finally {
    deadline.abort();
  }
  return err({ ...last, run: tail.isDoubtful(first.id) ? 'may-have-run' : 'not-run' });
}

function startDeadline(clock: Clock, options: AppendOnceOptions): AbortController {
  const controller = new AbortController();
  if (options.signal?.aborted) controller.abort();
  options.signal?.addEventListener('abort', () => controller.abort(), {
    signal: controller.signal,
  });
  void clock
    .sleep(options.deadlineMs ?? DEADLINE_MS, controller.signal)
    .then(() => controller.abort());
  return controller;
}
