/** The holders of duties, read from the log. */
import type { Failure, Offset, TrainerId } from '@hibiscushill/base';
import { ClaimHistory, parseDutyRecord } from '@hibiscushill/control';
import type { Log, LogRecord, StreamName } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

import { readStream } from './stream';

/** A duty and who has it. */
export interface DutyRow {
  readonly duty: string;
  readonly holder: string;
  /** The fencing number, or -1 where the duty was never claimed. */
  readonly fencing: number;
  readonly state: string;
}

/**
 * Reads the holders of all duties.
 *
 * @param log - the log
 * @param trainers - the declared trainers, each of which has a stream
 * @returns one row a duty, in the order of their names
 */
export async function readDuties(
  log: Log,
  trainers: readonly TrainerId[],
): Promise<Result<DutyRow[], Failure>> {
  const rows: DutyRow[] = [];
  const streams: StreamName[] = ['targets', 'usage'];
  streams.push(...trainers.map((trainer): StreamName => `trainer.${trainer}`));
  for (const stream of streams) {
    const found = await readHolders(log, stream);
    if (found.isErr()) return err(found.error);
    rows.push(...found.value);
  }
  return ok(rows);
}

async function readHolders(log: Log, stream: StreamName): Promise<Result<DutyRow[], Failure>> {
  const records: LogRecord[] = [];
  const read = await readStream(log, stream, (record) => {
    // Every offset is kept, since a history takes a gap for missing records.
    records.push(parseDutyRecord(record) ? record : { ...record, payload: undefined });
  });
  return read.map((first) => {
    const named = records.flatMap((record) => parseDutyRecord(record)?.body.duty ?? []);
    return [...new Set(named)].sort().map((duty) => describe(duty, first, records));
  });
}

function describe(duty: string, first: Offset, records: readonly LogRecord[]): DutyRow {
  const history = new ClaimHistory(duty);
  history.startAt(first);
  let lastAt = 0;
  records.forEach((record) => {
    const verdict = history.apply(record);
    if (verdict !== 'void' && verdict !== 'unrelated') lastAt = record.appendedAt;
  });
  const { present } = history;
  if (present === undefined) return { duty, holder: '?', fencing: -1, state: 'not known' };
  const state = present.isReleased ? 'released' : `signed ${new Date(lastAt).toISOString()}`;
  return { duty, holder: present.holder ?? '?', fencing: present.claim, state };
}
