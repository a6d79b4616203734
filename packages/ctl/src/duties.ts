/** Reads the current holders of duties from the log. */
import type { Failure, Offset, TrainerId } from '@hibiscushill/base';
import { ClaimTracker, parseDutyRecord } from '@hibiscushill/control';
import type { Log, LogRecord, StreamName } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

import { readStream } from './read-stream';

/** A duty and its current holder, as `status` prints them. The fields are part of its JSON. */
export interface DutyRow {
  readonly duty: string;
  /** The holder's name, or `?` if it is not known. */
  readonly holder: string;
  /** The fencing number, or -1 if no current claim is known. */
  readonly fencing: number;
  /** `released`, `not known`, or `signed` with the time of the last claim or renewal. */
  readonly state: string;
}

/**
 * Reads the current holders of all duties.
 *
 * @param log - the log
 * @param trainers - the declared trainers; each has a stream with its own duty
 * @returns one row per duty, sorted by name within each stream; or why a stream was not readable
 */
export async function readDuties(
  log: Log,
  trainers: readonly TrainerId[],
): Promise<Result<DutyRow[], Failure>> {
  const rows: DutyRow[] = [];
  const streams: StreamName[] = ['targets', 'usage'];
  streams.push(...trainers.map((trainer): StreamName => `trainer.${trainer}`));
  for (const stream of streams) {
    const streamRows = await readStreamDuties(log, stream);
    if (streamRows.isErr()) return err(streamRows.error);
    rows.push(...streamRows.value);
  }
  return ok(rows);
}

async function readStreamDuties(log: Log, stream: StreamName): Promise<Result<DutyRow[], Failure>> {
  const records: LogRecord[] = [];
  const result = await readStream(log, stream, (record) => {
    // Keeps a record for every offset, since ClaimHistory treats a gap as missing records.
    records.push(parseDutyRecord(record) ? record : { ...record, payload: undefined });
  });
  return result.map((first) => {
    const duties = records.flatMap((record) => parseDutyRecord(record)?.body.duty ?? []);
    return [...new Set(duties)].sort().map((duty) => describeDuty(duty, first, records));
  });
}

function describeDuty(duty: string, first: Offset, records: readonly LogRecord[]): DutyRow {
  const claims = new ClaimTracker(duty);
  claims.startAt(first);
  let lastClaimUpdateMs = 0;
  records.forEach((record) => {
    const effect = claims.apply(record);
    if (effect !== 'void' && effect !== 'unrelated') lastClaimUpdateMs = record.appendedAt;
  });
  const { current: currentClaim } = claims;
  if (currentClaim === undefined) return { duty, holder: '?', fencing: -1, state: 'not known' };
  const state = currentClaim.isReleased
    ? 'released'
    : `signed ${new Date(lastClaimUpdateMs).toISOString()}`;
  return { duty, holder: currentClaim.holder ?? '?', fencing: currentClaim.claim, state };
}
