/** What commands run on. */
import type { Clock, Millis } from '@hibiscushill/base';
import type { Log } from '@hibiscushill/log';

/** What commands run on. */
export interface CommandContext {
  readonly log: Log;
  readonly clock: Clock;
  /** How long a change goes on finding out what became of it, in milliseconds. */
  readonly waitMs: Millis;
  /** The length of a usage window, in milliseconds; the same as at the entries. */
  readonly usageWindowMs: Millis;
  /** The base URLs of the entries. */
  readonly entries: readonly string[];
}
