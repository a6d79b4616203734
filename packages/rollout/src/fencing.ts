/** Fencing numbers of trainers' duties, from the records of their streams. */
import type { Failure, FencingNumber, Offset, TrainerId } from '@hibiscushill/base';
import { ClaimHistory, NO_CLAIM } from '@hibiscushill/control';
import type { Log, LogRecord, StreamName } from '@hibiscushill/log';
import { type Option, getOrElse, none, some } from 'fp-ts/Option';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { ClaimReader } from './history';

const HISTORY_RECORDS = 2000;
const PAGE_RECORDS = 500;

/**
 * Names the duty whose holder owns a trainer's steps.
 *
 * @param trainer - the trainer
 * @returns the duty
 */
export function nameDuty(trainer: TrainerId): string {
  return `trainer/${trainer}`;
}

/**
 * Names a trainer's stream.
 *
 * @param trainer - the trainer
 * @returns the stream
 */
export function nameStream(trainer: TrainerId): StreamName {
  return `trainer.${trainer}`;
}

/** Folds the claims of a trainer's duty. */
export class DutyClaims implements ClaimReader {
  readonly #history: ClaimHistory;

  /** @param trainer - the trainer */
  constructor(trainer: TrainerId) {
    this.#history = new ClaimHistory(nameDuty(trainer));
  }

  apply(record: LogRecord): void {
    this.#history.apply(record);
  }

  current(): Option<FencingNumber> {
    const claim = this.#history.present?.claim;
    return claim === undefined || claim === NO_CLAIM ? none : some(claim);
  }
}

/**
 * Reads the highest fencing number of a trainer from the log, for an agent that has just started.
 *
 * @param log - the log
 * @param trainer - the trainer
 * @returns the present claim, or -1 when the duty was never claimed
 */
export function readFencing(log: Log, trainer: TrainerId): ResultAsync<number, Failure> {
  return new ResultAsync(runRead(log, trainer));
}

async function runRead(log: Log, trainer: TrainerId): Promise<Result<number, Failure>> {
  const stream = nameStream(trainer);
  const bounds = await log.bounds(stream);
  if (bounds.isErr()) return err(bounds.error);
  const { first, next } = bounds.value;
  const claims = new DutyClaims(trainer);
  let from = Math.max(first, next - HISTORY_RECORDS) as Offset;
  while (from < next) {
    const page = await log.read(stream, from, { limit: PAGE_RECORDS, waitMs: 0 });
    if (page.isErr()) return err(page.error);
    page.value.records.forEach((record) => claims.apply(record));
    if (page.value.next <= from) break;
    from = page.value.next;
  }
  return ok(getOrElse(() => NO_CLAIM)(claims.current()));
}
