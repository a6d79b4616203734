/** Tracks the claims of a duty from a log tail of its stream. */
import type { FencingNumber } from '@hibiscushill/base';
import type { LogRecord, LogTail } from '@hibiscushill/log';
import * as O from 'fp-ts/Option';

import { ClaimTracker } from './claim-tracker';
import { type DutyName, NO_CLAIM } from './records';

/**
 * Tracks the current claim of a duty from a log tail. The tail leaves duplicate records out, so a
 * gap in the offsets loses nothing unless the tail reports that records were trimmed.
 */
export class TailClaimTracker {
  readonly #claims: ClaimTracker;

  /**
   * @param duty - the duty's name
   * @param tail - the tail whose records will be passed to `apply`; it must not have started yet
   */
  constructor(duty: DutyName, tail: Pick<LogTail, 'onTrimmed'>) {
    this.#claims = new ClaimTracker(duty);
    tail.onTrimmed((gap) => this.#claims.startAt(gap.first));
  }

  /** Applies the next record of the tail. */
  apply(record: LogRecord): void {
    this.#claims.skipTo(record.offset);
    this.#claims.apply(record);
  }

  /** The offset of the last valid claim, or none while it isn't known or the duty is unclaimed. */
  current(): O.Option<FencingNumber> {
    const claim = this.#claims.current?.claim ?? NO_CLAIM;
    return claim === NO_CLAIM ? O.none : O.some(claim);
  }
}
