/** Writes a step owner's records and learns whether they count. */
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

import type { TrainerHistory } from './history';
import type { Notifier } from './notifier';

/** What a journal needs. */
export interface JournalDeps {
  /** Appends to the trainer's stream; an unknown outcome is a failure that `may-have-run`. */
  readonly append: (records: readonly NewRecord[]) => ResultAsync<Offset, Failure>;
  /** The fold that sees every record of the stream. */
  readonly history: TrainerHistory;
  /** Notified after each record that the fold has seen. */
  readonly changes: Notifier;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

const RETRY_MS: Millis = 250;
const READ_BACK_MS: Millis = 2000;

/** Writes records under one claim. */
export class Journal {
  readonly #deps: JournalDeps;

  readonly #claim: FencingNumber;

  /**
   * @param deps - the stream and its fold
   * @param claim - the claim that every record names
   */
  constructor(deps: JournalDeps, claim: FencingNumber) {
    this.#deps = deps;
    this.#claim = claim;
  }

  /**
   * Writes a record and waits until the fold has seen it. As long as its outcome is unknown it is
   * written again under the same id, which readers take once.
   *
   * @param kind - the record's kind
   * @param body - the record without its claim
   * @param signal - gives up waiting; the record may still land
   * @returns nothing once the record counts; `fencing_stale` when it was read and ignored,
   *   `platform_refused` when the log won't take it
   */
  async write(kind: string, body: object, signal: AbortSignal): Promise<Result<void, Failure>> {
    const id = createId<RecordId>();
    const record = { id, kind, payload: { ...body, claim: this.#claim } };
    while (!signal.aborted) {
      const appended = await this.#deps.append([record]);
      if (appended.isOk()) {
        await this.#readBack(id, signal);
      } else if (appended.error.code === 'platform_refused') {
        return err(appended.error);
      } else {
        this.#deps.metrics.countRetry(appended.error.code);
        await this.#deps.changes.wait(this.#deps.clock, RETRY_MS, signal);
      }
      const verdict = this.#deps.history.verdict(id);
      if (verdict === true) return ok(undefined);
      if (verdict === false) return err(createFailure('fencing_stale', { detail: kind }));
    }
    return err(createFailure('not_owner', { detail: kind, run: 'may-have-run' }));
  }

  async #readBack(id: RecordId, signal: AbortSignal): Promise<void> {
    const { changes, clock, history } = this.#deps;
    const deadline = clock.mono() + READ_BACK_MS;
    while (!signal.aborted && history.verdict(id) === undefined) {
      const left = deadline - clock.mono();
      if (left <= 0) return;
      await changes.wait(clock, left, signal);
    }
  }
}
