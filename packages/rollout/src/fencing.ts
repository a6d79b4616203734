/** Fencing numbers of trainers: the offsets of the claims in their log streams. */
import type { Failure, FencingNumber, Offset, TrainerId } from '@hibiscushill/base';
import { ClaimTracker, NO_CLAIM } from '@hibiscushill/control';
import type { Log, LogRecord, StreamName } from '@hibiscushill/log';
import { type Option, getOrElse, none, some } from 'fp-ts/Option';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { ClaimReader } from './trainer-state';

/** The owner's renewals name its claim again, so the stream's newest records are enough. */
const MAX_RECORDS_READ = 2000;
const RECORDS_PER_READ = 500;

/**
 * Formats the name of the duty whose holder owns a trainer's steps.
 *
 * @param trainer - the trainer
 * @returns the duty's name, as in `trainer/NAME`
 */
export function formatDutyName(trainer: TrainerId): string {
  return `trainer/${trainer}`;
}

/**
 * Formats the name of a trainer's log stream.
 *
 * @param trainer - the trainer
 * @returns the stream's name, as in `trainer.NAME`
 */
export function formatStreamName(trainer: TrainerId): StreamName {
  return `trainer.${trainer}`;
}

/** Determines the valid claim of a trainer's duty by replaying the trainer's stream. */
export class DutyClaims implements ClaimReader {
  readonly #claims: ClaimTracker;

  /** @param trainer - the trainer */
  constructor(trainer: TrainerId) {
    this.#claims = new ClaimTracker(formatDutyName(trainer));
  }

  apply(record: LogRecord): void {
    this.#claims.apply(record);
  }

  current(): Option<FencingNumber> {
    const claim = this.#claims.current?.claim;
    return claim === undefined || claim === NO_CLAIM ? none : some(claim);
  }
}

/**
 * Reads the highest fencing number of a trainer from the log. An agent does this after its start,
 * so that it can refuse orders of earlier owners.
 *
 * @param log - the log
 * @param trainer - the trainer
 * @returns the current claim's number, or -1 when no claim was found; or the log's failure
 */
export function readHighestFencing(log: Log, trainer: TrainerId): ResultAsync<number, Failure> {
  return new ResultAsync(readCurrentClaim(log, trainer));
}

async function readCurrentClaim(log: Log, trainer: TrainerId): Promise<Result<number, Failure>> {
  const stream = formatStreamName(trainer);
  const bounds = await log.bounds(stream);
  if (bounds.isErr()) return err(bounds.error);
  const { first, next } = bounds.value;
  const claims = new DutyClaims(trainer);
  let from = Math.max(first, next - MAX_RECORDS_READ) as Offset;
  while (from < next) {
    const page = await log.read(stream, from, { limit: RECORDS_PER_READ, waitMs: 0 });
    if (page.isErr()) return err(page.error);
    page.value.records.forEach((record) => claims.apply(record));
    if (page.value.next <= from) break;
    from = page.value.next;
  }
  return ok(getOrElse(() => NO_CLAIM)(claims.current()));
}
