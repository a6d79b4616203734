/** The acceptance rule: which changes of configuration count, from any place in the log. */
import type { ConfigVersion, Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';
import { z } from 'zod';

import { toCanonical } from './canonical';
import { type DeclarationProblem, parseDeclarations } from './checks';
import type { Declarations } from './declarations';

/** The kind of a record that changes the configuration. */
export const CHANGE_KIND = 'config.change';

/** The kind of a record that repeats the configuration in force. */
export const SNAPSHOT_KIND = 'config.snapshot';

/** The version before the first accepted change. */
export const NO_VERSION = -1;

/** The payload of a change. `base` is the version that it replaces. */
export interface ConfigChange {
  readonly base: number;
  readonly declarations: unknown;
}

/** The payload of a snapshot: `state` was in force as `through` after the record at `asOf`. */
export interface ConfigSnapshot {
  readonly through: number;
  readonly asOf: number;
  readonly state: unknown;
}

/** A configuration, the version that it has, and the offset up to which that was known. */
export interface ConfigState {
  readonly version: ConfigVersion;
  readonly asOf: number;
  readonly declarations: Declarations;
}

/** What became of a record. */
export type Verdict =
  | { readonly type: 'accepted'; readonly version: ConfigVersion }
  | { readonly type: 'conflict'; readonly winner: number }
  | { readonly type: 'invalid'; readonly problems: readonly DeclarationProblem[] }
  | { readonly type: 'snapshot'; readonly asOf: number }
  | { readonly type: 'ignored' };

/** A record with its verdict. */
export interface Judgement {
  readonly record: LogRecord;
  readonly verdict: Verdict;
}

const ChangePayload = z.strictObject({
  base: z.number().int().min(NO_VERSION),
  declarations: z.unknown(),
});

const SnapshotPayload = z.strictObject({
  through: z.number().int().min(0),
  asOf: z.number().int().min(0),
  state: z.unknown(),
});

/** Makes the record of a snapshot's content. */
export function toSnapshot(state: ConfigState): ConfigSnapshot {
  return { through: state.version, asOf: state.asOf, state: state.declarations };
}

const IGNORED: Verdict = { type: 'ignored' };

/**
 * A fold over the stream `config`. It decides nothing by record ids: a repeated change names a
 * base that is no longer the version, so that a reader which never saw the first copy reaches
 * the same verdict.
 *
 * While records before its first one are missing, the history is detached: it judges nothing
 * until a snapshot or another process's state tells the version at an offset from which on it
 * has read every record.
 */
export class ConfigHistory {
  #state: ConfigState | undefined;

  #position = -1;

  #isAttached = true;

  #firstRead = 0;

  #pending: LogRecord[] = [];

  /** The configuration in force, as far as it has been read. */
  get state(): ConfigState | undefined {
    if (this.#state === undefined || !this.#isAttached) return this.#state;
    return { ...this.#state, asOf: this.#position };
  }

  /** The version in force, or -1. */
  get version(): number {
    return this.#state?.version ?? NO_VERSION;
  }

  /** The offset of the last record that was taken in, or -1. */
  get position(): number {
    return this.#position;
  }

  /** Whether every record since a known version has been read. */
  get isAttached(): boolean {
    return this.#isAttached;
  }

  /** The number of records that wait for a snapshot. */
  get pendingCount(): number {
    return this.#pending.length;
  }

  /**
   * Notes that reading begins, or goes on, at an offset.
   *
   * @param first - the offset of the next record to be read; a gap before it detaches the history
   */
  readFrom(first: Offset): void {
    if (this.#isAttached && first <= this.#position + 1) return;
    this.#state = this.state;
    this.#isAttached = first === 0 && this.#state === undefined;
    this.#firstRead = first;
    this.#position = first - 1;
    this.#pending = [];
  }

  /**
   * Takes the next record in.
   *
   * @param record - a record of the stream `config`, in the order of offsets
   * @returns the verdicts that it settles: its own, or those of the records that waited for it
   */
  read(record: LogRecord): Judgement[] {
    if (record.offset <= this.#position) return [];
    if (this.#position < 0 && record.offset > 0) this.readFrom(record.offset);
    this.#position = record.offset;
    if (this.#isAttached) return [{ record, verdict: this.#judge(record) }];
    this.#pending.push(record);
    const snapshot = readSnapshot(record);
    return snapshot.isErr() ? [] : this.#attach(snapshot.value);
  }

  /**
   * Takes a state that another process has computed from the log.
   *
   * @param state - canonical, valid declarations with their version
   * @returns the verdicts that it settles, or why it contradicts what was read here
   */
  adopt(state: ConfigState): Result<Judgement[], string> {
    if (state.version < this.version) return ok([]);
    if (!this.#isAttached) {
      const judgements = this.#attach(state);
      if (!this.#isAttached && state.version > this.version) this.#state = state;
      return ok(judgements);
    }
    if (state.version === this.version) return ok([]);
    if (state.asOf <= this.#position) return err('the log holds no such version here');
    this.#state = state;
    this.#position = state.asOf;
    return ok([]);
  }

  #attach(state: ConfigState): Judgement[] {
    if (state.version < this.version) return [];
    if (state.asOf + 1 < this.#firstRead) return [];
    const pending = this.#pending;
    this.#pending = [];
    this.#isAttached = true;
    this.#state = state;
    this.#position = Math.max(this.#position, state.asOf);
    const known = pending.filter((record) => record.offset <= state.asOf);
    const later = pending.filter((record) => record.offset > state.asOf);
    return [
      ...judgeBefore(known, state.version),
      ...later.map((record) => ({ record, verdict: this.#judge(record) })),
    ];
  }

  #judge(record: LogRecord): Verdict {
    if (record.kind === CHANGE_KIND) return this.#judgeChange(record);
    if (record.kind === SNAPSHOT_KIND) return this.#judgeSnapshot(record);
    return IGNORED;
  }

  #judgeChange(record: LogRecord): Verdict {
    const payload = ChangePayload.safeParse(record.payload);
    if (!payload.success) return invalid('the payload is malformed');
    if (payload.data.base !== this.version) return { type: 'conflict', winner: this.version };
    const parsed = parseDeclarations(payload.data.declarations);
    if (parsed.isErr()) return { type: 'invalid', problems: parsed.error };
    const version = record.offset as number as ConfigVersion;
    this.#state = { version, asOf: record.offset, declarations: toCanonical(parsed.value) };
    return { type: 'accepted', version };
  }

  #judgeSnapshot(record: LogRecord): Verdict {
    const snapshot = readSnapshot(record);
    if (snapshot.isErr() || this.#state === undefined) return IGNORED;
    if (snapshot.value.version !== this.version) return IGNORED;
    const mine = JSON.stringify(this.#state.declarations);
    if (JSON.stringify(snapshot.value.declarations) !== mine) return IGNORED;
    return { type: 'snapshot', asOf: snapshot.value.asOf };
  }
}

/** Judges changes that a later state covers: the accepted ones lead to it by their bases. */
function judgeBefore(records: readonly LogRecord[], version: number): Judgement[] {
  let winner = version;
  const judgements = [...records].reverse().map((record): Judgement => {
    if (record.kind !== CHANGE_KIND) return { record, verdict: IGNORED };
    const payload = ChangePayload.safeParse(record.payload);
    if (!payload.success) return { record, verdict: invalid('the payload is malformed') };
    if (record.offset !== winner) return { record, verdict: { type: 'conflict', winner } };
    winner = payload.data.base;
    return { record, verdict: { type: 'accepted', version: record.offset as never } };
  });
  return judgements.reverse();
}

/**
 * Reads a snapshot.
 *
 * @param record - any record
 * @returns its state, or undefined as the error when it is no well-formed snapshot
 */
export function readSnapshot(record: LogRecord): Result<ConfigState, undefined> {
  if (record.kind !== SNAPSHOT_KIND) return err(undefined);
  const payload = SnapshotPayload.safeParse(record.payload);
  if (!payload.success) return err(undefined);
  const { through, asOf, state } = payload.data;
  if (through > asOf || asOf >= record.offset) return err(undefined);
  const parsed = parseDeclarations(state);
  if (parsed.isErr()) return err(undefined);
  const declarations = toCanonical(parsed.value);
  return ok({ version: through as ConfigVersion, asOf, declarations });
}

function invalid(message: string): Verdict {
  return { type: 'invalid', problems: [{ path: [], message }] };
}
