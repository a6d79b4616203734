/** Who holds a duty, for a reader that is fed by a tail of the duty's stream. */
import type { FencingNumber } from '@hibiscushill/base';
import type { LogRecord, LogTail } from '@hibiscushill/log';
import * as O from 'fp-ts/Option';

import { ClaimHistory } from './claim-tracker';
import { type DutyName, NO_CLAIM } from './records';

/**
 * Folds a duty's claims from a tail. The tail leaves repeated records out, so a hole in the offsets
 * means nothing unless the tail says that records were trimmed.
 */
export class TailClaims {
  readonly #history: ClaimHistory;

  /**
   * @param duty - the duty
   * @param tail - the tail that feeds it, which hasn't started
   */
  constructor(duty: DutyName, tail: Pick<LogTail, 'onTrimmed'>) {
    this.#history = new ClaimHistory(duty);
    tail.onTrimmed((gap) => this.#history.startAt(gap.first));
  }

  /** Takes the next record that the tail hands out. */
  apply(record: LogRecord): void {
    this.#history.skipTo(record.offset);
    this.#history.apply(record);
  }

  /** The last valid claim, or none while it isn't known. */
  current(): O.Option<FencingNumber> {
    const claim = this.#history.present?.claim ?? NO_CLAIM;
    return claim === NO_CLAIM ? O.none : O.some(claim);
  }
}
