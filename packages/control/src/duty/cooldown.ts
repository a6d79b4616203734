/** Keeps a former holder from claiming a duty again while its old orders may still have effect. */
import type { InstanceId, Millis, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { type DutyName, parseDutyRecord } from './records';

/** Records when each holder of a duty was superseded, and delays its next claim. */
export class DutyCooldown {
  readonly #duty: DutyName;

  readonly #cooldownMs: Millis;

  readonly #supersededAt = new Map<InstanceId, WallTime>();

  #lastHolder: InstanceId | undefined;

  /**
   * @param duty - the duty's name
   * @param cooldownMs - how long after another process's claim a holder may not claim again, in
   *   milliseconds
   */
  constructor(duty: DutyName, cooldownMs: Millis) {
    this.#duty = duty;
    this.#cooldownMs = cooldownMs;
  }

  /**
   * Applies a record of the duty's stream. Invalid claims count as well: they only make a holder
   * wait longer than needed.
   */
  apply(record: LogRecord): void {
    const parsed = parseDutyRecord(record);
    if (parsed?.type !== 'claim' || parsed.body.duty !== this.#duty) return;
    const { holder } = parsed.body;
    if (this.#lastHolder !== undefined && this.#lastHolder !== holder) {
      this.#supersededAt.set(this.#lastHolder, record.appendedAt);
    }
    this.#lastHolder = holder;
  }

  /**
   * Returns the earliest time at which a process may claim the duty, by the log's clock.
   *
   * @param holder - the instance that wants to claim
   * @returns the time, or zero when the instance may claim at any time
   */
  notBefore(holder: InstanceId): WallTime {
    const supersededAt = this.#supersededAt.get(holder);
    const isCoolingDown = supersededAt !== undefined && this.#lastHolder !== holder;
    return (isCoolingDown ? supersededAt + this.#cooldownMs : 0) as WallTime;
  }
}
