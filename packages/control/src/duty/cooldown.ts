/** Keeps a duty from returning to a holder sooner than its orders are forgotten. */
import type { InstanceId, Millis, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { type DutyName, parseDutyRecord } from './records';

/** Which holders claimed a duty, and when their turns ended. */
export class DutyTurns {
  readonly #duty: DutyName;

  readonly #turnMs: Millis;

  readonly #endedAt = new Map<InstanceId, WallTime>();

  #last: InstanceId | undefined;

  /**
   * @param duty - the duty
   * @param turnMs - how long after the end of its turn a holder may not claim again
   */
  constructor(duty: DutyName, turnMs: Millis) {
    this.#duty = duty;
    this.#turnMs = turnMs;
  }

  /** Takes a record of the duty's stream; a claim that turns out void only makes holders wait. */
  apply(record: LogRecord): void {
    const parsed = parseDutyRecord(record);
    if (parsed?.type !== 'claim' || parsed.body.duty !== this.#duty) return;
    const { holder } = parsed.body;
    if (this.#last !== undefined && this.#last !== holder) {
      this.#endedAt.set(this.#last, record.appendedAt);
    }
    this.#last = holder;
  }

  /**
   * Tells before when a holder may not claim.
   *
   * @param holder - the holder
   * @returns zero when it may claim at any time
   */
  notBefore(holder: InstanceId): WallTime {
    const endedAt = this.#endedAt.get(holder);
    const isWaiting = endedAt !== undefined && this.#last !== holder;
    return (isWaiting ? endedAt + this.#turnMs : 0) as WallTime;
  }
}
