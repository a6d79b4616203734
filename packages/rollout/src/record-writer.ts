/** Writes records to a trainer's stream and finds out whether they were applied. */
import {
  createFailure,
  createId,
  type Clock,
  type Failure,
  type FencingNumber,
  type Metrics,
  type Millis,
  type Offset,
  type RecordId,
} from '@hibiscushill/base';
import type { NewRecord } from '@hibiscushill/log';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';

import type { TrainerState } from './trainer-state';
import type { Notifier } from './notifier';

/** The stream that a record writer appends to, and the state that is replayed from it. */
export interface RecordWriterDeps {
  /** Appends to the trainer's stream; an unknown outcome is a failure that `may-have-run`. */
  readonly append: (records: readonly NewRecord[]) => ResultAsync<Offset, Failure>;
  /** Receives every record of the stream. */
  readonly state: TrainerState;
  /** Notified after each record that `state` has received. */
  readonly changes: Notifier;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

const RETRY_DELAY_MS: Millis = 250;
/** A record that hasn't been read back by then is appended again. */
const READ_BACK_TIMEOUT_MS: Millis = 2000;

/** Writes an owner's records under one claim of the trainer's duty. */
export class RecordWriter {
  readonly #deps: RecordWriterDeps;

  readonly #claim: FencingNumber;

  /**
   * @param deps - the stream and its state
   * @param claim - the owner's claim, which every record names
   */
  constructor(deps: RecordWriterDeps, claim: FencingNumber) {
    this.#deps = deps;
    this.#claim = claim;
  }

  /**
   * Appends a record and waits until it has been read back from the stream. While the outcome is
   * unknown, the record is appended again under the same id; readers ignore the repetitions.
   *
   * @param kind - the record's kind
   * @param body - the record without its claim
   * @param signal - ends the wait; the record may still be appended afterwards
   * @returns nothing once the record was applied; `fencing_stale` when readers ignore it,
   *   `platform_refused` when the log rejects it, `not_owner` after the signal
   */
  async write(kind: string, body: object, signal: AbortSignal): Promise<Result<void, Failure>> {
    const id = createId<RecordId>();
    const record = { id, kind, payload: { ...body, claim: this.#claim } };
    while (!signal.aborted) {
      const appended = await this.#deps.append([record]);
      if (appended.isOk()) {
        await this.#waitUntilRead(id, signal);
      } else if (appended.error.code === 'platform_refused') {
        return err(appended.error);
      } else {
        this.#deps.metrics.countRetry(appended.error.code);
        await this.#deps.changes.wait(this.#deps.clock, RETRY_DELAY_MS, signal);
      }
      const wasApplied = this.#deps.state.wasApplied(id);
      if (wasApplied === true) return ok(undefined);
      if (wasApplied === false) return err(createFailure('fencing_stale', { detail: kind }));
    }
    return err(createFailure('not_owner', { detail: kind, run: 'may-have-run' }));
  }

  async #waitUntilRead(id: RecordId, signal: AbortSignal): Promise<void> {
    const { changes, clock, state } = this.#deps;
    const deadline = clock.mono() + READ_BACK_TIMEOUT_MS;
    while (!signal.aborted && state.wasApplied(id) === undefined) {
      const remainingMs = deadline - clock.mono();
      if (remainingMs <= 0) return;
      await changes.wait(clock, remainingMs, signal);
    }
  }
}
