/** Which incarnations of a target may be the one that said that it is leaving. */
import type { Clock, Millis, MonoTime, TargetId, WallTime } from '@hibiscushill/base';

/** A response in which a target says that it is leaving. */
export interface LeavingStatement {
  readonly target: TargetId;
  /** Where the request was sent. */
  readonly address: string;
  readonly sentAt: MonoTime;
}

/** An incarnation of a target, as it registers. */
export interface RegisteredIncarnation {
  readonly id: TargetId;
  readonly address: string;
  /** When it started by its machine's clock; undefined if it doesn't state it. */
  readonly startedAt: WallTime | undefined;
  /** The number of the heartbeat, counted from the start of the incarnation. */
  readonly heartbeat: number;
}

/** The clock, and how long targets go on serving. */
export interface LeavingStatementsOptions {
  readonly clock: Clock;
  /** For how long a target goes on serving after it said that it is leaving, in milliseconds. */
  readonly drainMs: Millis;
}

// More than the targets of a large deployment that leave in an hour.
const MAX_TARGETS = 4_096;
// The wall clocks of two machines differ by up to this.
const MAX_CLOCK_DIFFERENCE_MS = 2_000;
// Whoever responds to a request had accepted its connection by this long after it was sent: opening
// a connection times out after 400 ms.
const MAX_CONNECT_MS = 500;
// An incarnation that made the statement has ended, or registers as leaving, long before this.
const MIN_HOLD_MS = 10_000;
const HOLD_AFTER_DRAIN_MS = 5_000;
// Registrations that were written in an outage of the list are read within less than this.
const MIN_HEARTBEAT_GAP_MS = 1_000;

/** The newest statement of any incarnation of a target. */
interface KnownStatement {
  readonly address: string;
  /** The incarnation that made it had started by then, by this machine's clock. */
  readonly madeBy: WallTime;
  readonly heardAt: MonoTime;
  /** The incarnation that registers, once it does so later than the one that left has ended. */
  late: LateIncarnation | undefined;
}

interface LateIncarnation {
  readonly startedAt: WallTime;
  readonly heartbeat: number;
  readonly at: MonoTime;
  /** Whether it has gone on registering since. */
  isReleased: boolean;
}

/**
 * Decides whether an incarnation other than the one that a request was sent to may have said that it
 * is leaving. Addresses targets that start again under the same id, and leave again, before this
 * process has read the registration of the second incarnation.
 *
 * An incarnation that started clearly after the request can't have responded to it. Any other one at
 * the same address may have, and counts as leaving until it has gone on registering as ready for
 * longer than a target that is leaving does.
 */
export class LeavingStatements {
  readonly #options: LeavingStatementsOptions;

  readonly #holdMs: Millis;

  readonly #statements = new Map<TargetId, KnownStatement>();

  /** @param options - the clock, and how long targets go on serving */
  constructor(options: LeavingStatementsOptions) {
    this.#options = options;
    this.#holdMs = Math.max(MIN_HOLD_MS, options.drainMs + HOLD_AFTER_DRAIN_MS);
  }

  /** Records a statement. */
  record({ target, address, sentAt }: LeavingStatement): void {
    const { clock } = this.#options;
    const now = clock.mono();
    const sinceMs = Math.max(0, now - sentAt - MAX_CONNECT_MS);
    const madeBy = (clock.wall() - sinceMs) as WallTime;
    const known = this.#statements.get(target);
    const newest = known?.address === address && known.madeBy > madeBy ? known.madeBy : madeBy;
    this.#statements.delete(target);
    this.#statements.set(target, { address, madeBy: newest, heardAt: now, late: undefined });
    const [oldest] = this.#statements.keys();
    if (this.#statements.size > MAX_TARGETS && oldest !== undefined) {
      this.#statements.delete(oldest);
    }
  }

  /** Tells whether an incarnation counts as leaving because it may have made a statement. */
  isLeaving({ id, address, startedAt = 0 as WallTime }: RegisteredIncarnation): boolean {
    const statement = this.#statements.get(id);
    if (!statement || statement.address !== address) return false;
    if (startedAt > statement.madeBy + MAX_CLOCK_DIFFERENCE_MS) return false;
    const { late } = statement;
    return !(late?.isReleased && late.startedAt === startedAt);
  }

  /** Records that an incarnation has registered as ready, after which it may be used again. */
  recordReady(incarnation: RegisteredIncarnation): void {
    if (!this.isLeaving(incarnation)) return;
    const { id, startedAt = 0 as WallTime, heartbeat } = incarnation;
    const statement = this.#statements.get(id)!;
    const now = this.#options.clock.mono();
    if (now - statement.heardAt < this.#holdMs) return;
    const { late } = statement;
    if (late?.startedAt !== startedAt) {
      statement.late = { startedAt, heartbeat, at: now, isReleased: false };
      return;
    }
    late.isReleased = heartbeat > late.heartbeat && now - late.at >= MIN_HEARTBEAT_GAP_MS;
  }
}
