/** Puts declarations in force, and finds out what became of them. */
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
  type Verdict,
  compareDeclarations,
  toCanonical,
} from '@hibiscushill/config';
import type { Log, NewRecord } from '@hibiscushill/log';

import { ConfigReader } from './config-reader';

const PAUSE_MS = 200;
const APPEND_TIMEOUT_MS = 2_000;

/** Declarations with nothing in them, which the first configuration is compared with. */
export const NOTHING: Declarations = { teams: [], keys: [], services: [], trainers: [] };

/** What became of a change. */
export type ApplyOutcome =
  | { readonly type: 'accepted'; readonly version: number; readonly changes: ItemChange[] }
  | { readonly type: 'unchanged'; readonly version: number }
  | { readonly type: 'conflict'; readonly winner: number; readonly changes: ItemChange[] }
  | { readonly type: 'invalid'; readonly problems: readonly DeclarationProblem[] }
  | { readonly type: 'unknown'; readonly record: RecordId; readonly base: number }
  | { readonly type: 'unavailable'; readonly failure: Failure }
  | { readonly type: 'detached' };

/** What an applier runs on. */
export interface ChangeApplierOptions {
  readonly log: Log;
  readonly clock: Clock;
  /** How long to go on finding out, in milliseconds. */
  readonly waitMs: Millis;
}

interface Attempt {
  readonly record: NewRecord;
  readonly base: number;
  readonly before: Declarations;
  readonly wanted: Declarations;
  readonly until: MonoTime;
}

/** Applies one change at a time. */
export class ChangeApplier {
  readonly #options: ChangeApplierOptions;

  readonly #reader: ConfigReader;

  /** @param options - the log, the clock and how long to wait */
  constructor(options: ChangeApplierOptions) {
    this.#options = options;
    this.#reader = new ConfigReader(options.log);
  }

  /** The reader that this applier goes by. */
  get reader(): ConfigReader {
    return this.#reader;
  }

  /**
   * Applies declarations to the version in force. Accepted is said only after the record was read
   * back and judged.
   *
   * @param declarations - valid declarations
   * @param expected - the version that must be in force; any when left out
   * @returns what became of the change
   */
  async apply(declarations: Declarations, expected?: number): Promise<ApplyOutcome> {
    const start = await this.#reader.catchUp();
    if (start.isErr()) return { type: 'unavailable', failure: start.error };
    if (!this.#reader.isAttached) return { type: 'detached' };
    const base = this.#reader.version;
    const before = this.#reader.state?.declarations ?? NOTHING;
    const wanted = toCanonical(declarations);
    if (expected !== undefined && expected !== base) {
      return { type: 'conflict', winner: base, changes: [] };
    }
    const isSame = compareDeclarations(before, wanted).length === 0;
    if (isSame && base !== NO_VERSION) return { type: 'unchanged', version: base };
    const record: NewRecord = {
      id: createId<RecordId>(),
      kind: CHANGE_KIND,
      payload: { base, declarations: wanted },
    };
    const until = (this.#options.clock.mono() + this.#options.waitMs) as MonoTime;
    return this.#settle({ record, base, before, wanted, until });
  }

  /**
   * Sends the record until its verdict is known. Sending it again is safe: of two copies at most
   * the first can stand on its base.
   */
  async #settle(attempt: Attempt): Promise<ApplyOutcome> {
    const { clock, log } = this.#options;
    let isDoubtful = false;
    let isStored = false;
    let failure: Failure | undefined;
    do {
      if (!isStored) {
        const options = { timeoutMs: APPEND_TIMEOUT_MS };
        const sent = await log.append('config', [attempt.record], options);
        isStored = sent.isOk();
        if (sent.isErr()) failure = sent.error;
        if (sent.isOk() || sent.error.run === 'may-have-run') isDoubtful = true;
      }
      const read = await this.#reader.catchUp();
      const outcome = read.isOk() ? this.#conclude(attempt) : undefined;
      if (outcome !== undefined) return outcome;
      if (!isDoubtful && failure?.code === 'platform_refused') break;
      await clock.sleep(PAUSE_MS);
    } while (clock.mono() < attempt.until);
    if (!isDoubtful && failure !== undefined) return { type: 'unavailable', failure };
    return { type: 'unknown', record: attempt.record.id, base: attempt.base };
  }

  #conclude(attempt: Attempt): ApplyOutcome | undefined {
    const verdict = this.#reader.verdictOf(attempt.record.id);
    if (verdict !== undefined) return this.#explain(verdict, attempt);
    // Another change took the base: this record can't be accepted any more, wherever it lands.
    // After a gap it may be what moved the version, so nothing follows.
    const isSure = this.#reader.isAttached && !this.#reader.hasGap;
    const hasMoved = isSure && this.#reader.version !== attempt.base;
    return hasMoved ? this.#describeConflict(attempt) : undefined;
  }

  #explain(verdict: Verdict, attempt: Attempt): ApplyOutcome | undefined {
    if (verdict.type === 'accepted') {
      const changes = compareDeclarations(attempt.before, attempt.wanted);
      return { type: 'accepted', version: verdict.version, changes };
    }
    if (verdict.type === 'invalid') return { type: 'invalid', problems: verdict.problems };
    return verdict.type === 'conflict' ? this.#describeConflict(attempt) : undefined;
  }

  #describeConflict(attempt: Attempt): ApplyOutcome {
    const now = this.#reader.state?.declarations ?? NOTHING;
    const changes = compareDeclarations(attempt.before, now);
    return { type: 'conflict', winner: this.#reader.version, changes };
  }
}
