/** The dependencies and settings that commands share. */
import type { Clock, Millis } from '@hibiscushill/base';
import type { Log } from '@hibiscushill/log';

/** The dependencies and settings that every command gets. */
export interface CommandContext {
  readonly log: Log;
  readonly clock: Clock;
  /** How long a command keeps trying to learn the outcome of a change, in milliseconds. */
  readonly waitMs: Millis;
  /** The length of a usage window, in milliseconds. Must equal the setting of the entries. */
  readonly usageWindowMs: Millis;
  /** The base URLs of the entries that `status` queries. */
  readonly entries: readonly string[];
}
