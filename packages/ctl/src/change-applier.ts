/** Applies declarations through the log and determines the outcome of the change. */
import {
  type Clock,
  type Failure,
  type Millis,
  type MonoTime,
  type RecordId,
  createId,
} from '@hibiscushill/base';
import {
  CHANGE_KIND,
  type Declarations,
  type DeclarationProblem,
  type ItemChange,
  NO_VERSION,
  type RecordEffect,
  compareDeclarations,
  toCanonical,
} from '@hibiscushill/config';
import type { Log, NewRecord } from '@hibiscushill/log';

import { ConfigReader } from './config-reader';

const RETRY_INTERVAL_MS = 200;
const APPEND_TIMEOUT_MS = 2_000;

/** Declarations without any item, which the first configuration is compared with. */
export const EMPTY_DECLARATIONS: Declarations = { teams: [], keys: [], services: [], trainers: [] };

/**
 * The outcome of a change. `unknown`: its record may still be accepted. `unavailable`: the log is
 * unreachable and the record was not stored. `detached`: the log was trimmed and holds no usable
 * snapshot, so the configuration in force cannot be determined.
 */
export type ApplyOutcome =
  | { readonly type: 'accepted'; readonly version: number; readonly changes: ItemChange[] }
  | { readonly type: 'unchanged'; readonly version: number }
  | { readonly type: 'conflict'; readonly winner: number; readonly changes: ItemChange[] }
  | { readonly type: 'invalid'; readonly problems: readonly DeclarationProblem[] }
  | { readonly type: 'unknown'; readonly record: RecordId; readonly base: number }
  | { readonly type: 'unavailable'; readonly failure: Failure }
  | { readonly type: 'detached' };

/** The log and clock of a ChangeApplier, and how long it waits. */
export interface ChangeApplierOptions {
  readonly log: Log;
  readonly clock: Clock;
  /** How long `apply` keeps trying to learn the outcome, in milliseconds. */
  readonly waitMs: Millis;
}

/** A change whose outcome is not known yet. */
interface PendingChange {
  readonly record: NewRecord;
  /** The version that the change is based on. */
  readonly base: number;
  /** The declarations of that version. */
  readonly before: Declarations;
  readonly desired: Declarations;
  readonly deadline: MonoTime;
}

/** Applies changes of the configuration, one at a time. */
export class ChangeApplier {
  readonly #options: ChangeApplierOptions;

  readonly #reader: ConfigReader;

  /** @param options - the log, the clock and the wait for an outcome */
  constructor(options: ChangeApplierOptions) {
    this.#options = options;
    this.#reader = new ConfigReader(options.log);
  }

  /** Reads the configuration that changes are compared with and based on. */
  get reader(): ConfigReader {
    return this.#reader;
  }

  /**
   * Replaces the configuration in force by declarations. The outcome is `accepted` only after the
   * change's record was read back from the log and accepted there.
   *
   * @param declarations - valid declarations
   * @param expected - the version that must be in force; any version if undefined
   * @returns the outcome of the change
   */
  async apply(declarations: Declarations, expected?: number): Promise<ApplyOutcome> {
    const read = await this.#reader.catchUp();
    if (read.isErr()) return { type: 'unavailable', failure: read.error };
    if (!this.#reader.isComplete) return { type: 'detached' };
    const base = this.#reader.version;
    const before = this.#reader.state?.declarations ?? EMPTY_DECLARATIONS;
    const desired = toCanonical(declarations);
    if (expected !== undefined && expected !== base) {
      return { type: 'conflict', winner: base, changes: [] };
    }
    const isUnchanged = compareDeclarations(before, desired).length === 0;
    if (isUnchanged && base !== NO_VERSION) return { type: 'unchanged', version: base };
    const record: NewRecord = {
      id: createId<RecordId>(),
      kind: CHANGE_KIND,
      payload: { base, declarations: desired },
    };
    const deadline = (this.#options.clock.mono() + this.#options.waitMs) as MonoTime;
    return this.#submit({ record, base, before, desired, deadline });
  }

  /**
   * Appends the record until its outcome is known or the time is up. Appending it again is safe: of
   * two copies only the first can be accepted, since it moves the version past their common base.
   */
  async #submit(change: PendingChange): Promise<ApplyOutcome> {
    const { clock, log } = this.#options;
    // Whether the log may hold the record, even if no append was confirmed.
    let isPossiblyStored = false;
    let isStored = false;
    let failure: Failure | undefined;
    do {
      if (!isStored) {
        const options = { timeoutMs: APPEND_TIMEOUT_MS };
        const appended = await log.append('config', [change.record], options);
        isStored = appended.isOk();
        if (appended.isErr()) failure = appended.error;
        if (appended.isOk() || appended.error.run === 'may-have-run') isPossiblyStored = true;
      }
      const read = await this.#reader.catchUp();
      const outcome = read.isOk() ? this.#findOutcome(change) : undefined;
      if (outcome !== undefined) return outcome;
      if (!isPossiblyStored && failure?.code === 'platform_refused') break;
      await clock.sleep(RETRY_INTERVAL_MS);
    } while (clock.mono() < change.deadline);
    if (!isPossiblyStored && failure !== undefined) return { type: 'unavailable', failure };
    return { type: 'unknown', record: change.record.id, base: change.base };
  }

  #findOutcome(change: PendingChange): ApplyOutcome | undefined {
    const effect = this.#reader.effectOf(change.record.id);
    if (effect !== undefined) return this.#toOutcome(effect, change);
    // If another change was accepted on the same base, this record can't be accepted any more,
    // wherever it is stored. After a gap this record itself may have moved the version, so the
    // outcome stays open.
    const isVersionCertain = this.#reader.isComplete && !this.#reader.hasGap;
    const hasVersionMoved = isVersionCertain && this.#reader.version !== change.base;
    return hasVersionMoved ? this.#describeConflict(change) : undefined;
  }

  #toOutcome(effect: RecordEffect, change: PendingChange): ApplyOutcome | undefined {
    if (effect.type === 'accepted') {
      const changes = compareDeclarations(change.before, change.desired);
      return { type: 'accepted', version: effect.version, changes };
    }
    if (effect.type === 'invalid') return { type: 'invalid', problems: effect.problems };
    return effect.type === 'conflict' ? this.#describeConflict(change) : undefined;
  }

  /** Describes what other changes did since the base version. */
  #describeConflict(change: PendingChange): ApplyOutcome {
    const current = this.#reader.state?.declarations ?? EMPTY_DECLARATIONS;
    const changes = compareDeclarations(change.before, current);
    return { type: 'conflict', winner: this.#reader.version, changes };
  }
}
