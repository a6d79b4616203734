/**
 * The acceptance rule: which configuration changes on the log take effect. Every reader comes to
 * the same result, from whichever offset it starts.
 */
import type { ConfigVersion, Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';
import { z } from 'zod';

import { toCanonical } from './canonical';
import type { Declarations } from './declarations';
import { type DeclarationProblem, parseDeclarations } from './validation';

/** The kind of a record that changes the configuration. */
export const CHANGE_KIND = 'config.change';

/** The kind of a record that repeats the current configuration. */
export const SNAPSHOT_KIND = 'config.snapshot';

/** The version before the first accepted change. */
export const NO_VERSION = -1;

/** The payload of a change. `base` is the version that the change replaces. */
export interface ConfigChange {
  readonly base: number;
  readonly declarations: unknown;
}

/** The payload of a snapshot: after the record at offset `asOf`, version `through` was `state`. */
export interface ConfigSnapshot {
  readonly through: number;
  readonly asOf: number;
  readonly state: unknown;
}

/** A configuration, its version, and the offset of the last record up to which it was current. */
export interface ConfigState {
  readonly version: ConfigVersion;
  readonly asOf: number;
  readonly declarations: Declarations;
}

/**
 * The effect of a record. `accepted`: a change took effect; `conflict`: its base was no longer the
 * current version, which was `winner`; `invalid`: its declarations are invalid; `snapshot`: a
 * snapshot of the current configuration; `ignored`: any other record.
 */
export type RecordEffect =
  | { readonly type: 'accepted'; readonly version: ConfigVersion }
  | { readonly type: 'conflict'; readonly winner: number }
  | { readonly type: 'invalid'; readonly problems: readonly DeclarationProblem[] }
  | { readonly type: 'snapshot'; readonly asOf: number }
  | { readonly type: 'ignored' };

/** A record with its effect. */
export interface AppliedRecord {
  readonly record: LogRecord;
  readonly effect: RecordEffect;
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

/** Creates the payload of a snapshot record. */
export function createSnapshotPayload(state: ConfigState): ConfigSnapshot {
  return { through: state.version, asOf: state.asOf, state: state.declarations };
}

const IGNORED_EFFECT: RecordEffect = { type: 'ignored' };

/**
 * The configuration as a projection of the stream `config`. It doesn't detect duplicates by record
 * ids: the base of a repeated change is no longer the current version, so that a reader which never
 * saw the first copy comes to the same effect.
 *
 * While records before the first one read are missing, the projection is detached: it determines no
 * effects until a snapshot or another process's state gives the version at an offset after which
 * every record has been read.
 */
export class ConfigProjection {
  #state: ConfigState | undefined;

  /** The offset of the last record applied, or -1. */
  #position = -1;

  #isAttached = true;

  /** The offset at which reading last started after a gap. */
  #firstOffset = 0;

  /** While detached, the records read since `#firstOffset`. */
  #pending: LogRecord[] = [];

  /** The current configuration, as of the last record read; undefined when it isn't known. */
  get state(): ConfigState | undefined {
    if (this.#state === undefined || !this.#isAttached) return this.#state;
    return { ...this.#state, asOf: this.#position };
  }

  /** The current version, or -1 when none is known. */
  get version(): number {
    return this.#state?.version ?? NO_VERSION;
  }

  /** The offset of the last record applied, or -1. */
  get position(): number {
    return this.#position;
  }

  /** Whether every record since a known version has been read. */
  get isAttached(): boolean {
    return this.#isAttached;
  }

  /** The number of records whose effects wait for a snapshot. */
  get pendingCount(): number {
    return this.#pending.length;
  }

  /**
   * Sets the offset at which reading starts or resumes.
   *
   * @param first - the offset of the next record; a gap before it detaches the projection
   */
  seek(first: Offset): void {
    if (this.#isAttached && first <= this.#position + 1) return;
    this.#state = this.state;
    this.#isAttached = first === 0 && this.#state === undefined;
    this.#firstOffset = first;
    this.#position = first - 1;
    this.#pending = [];
  }

  /**
   * Applies the next record. A record at an offset already applied is ignored.
   *
   * @param record - a record of the stream `config`, in the order of offsets
   * @returns the effects that are now known: that of the record, or while detached those of all
   *   records that waited for a snapshot
   */
  apply(record: LogRecord): AppliedRecord[] {
    if (record.offset <= this.#position) return [];
    if (this.#position < 0 && record.offset > 0) this.seek(record.offset);
    this.#position = record.offset;
    if (this.#isAttached) return [{ record, effect: this.#applyRecord(record) }];
    this.#pending.push(record);
    const snapshot = parseSnapshot(record);
    return snapshot.isErr() ? [] : this.#attach(snapshot.value);
  }

  /**
   * Adopts a state that another process has computed from the log. A lower version changes nothing.
   *
   * @param state - valid declarations in canonical form, with their version
   * @returns the effects that are now known, or why the state contradicts the records read here
   */
  adopt(state: ConfigState): Result<AppliedRecord[], string> {
    if (state.version < this.version) return ok([]);
    if (!this.#isAttached) {
      const applied = this.#attach(state);
      if (!this.#isAttached && state.version > this.version) this.#state = state;
      return ok(applied);
    }
    if (state.version === this.version) return ok([]);
    if (state.asOf <= this.#position) return err('the log contains no such version at this offset');
    this.#state = state;
    this.#position = state.asOf;
    return ok([]);
  }

  /** Adopts a state and applies the pending records after it, unless some between are missing. */
  #attach(state: ConfigState): AppliedRecord[] {
    if (state.version < this.version) return [];
    if (state.asOf + 1 < this.#firstOffset) return [];
    const pending = this.#pending;
    this.#pending = [];
    this.#isAttached = true;
    this.#state = state;
    this.#position = Math.max(this.#position, state.asOf);
    const covered = pending.filter((record) => record.offset <= state.asOf);
    const later = pending.filter((record) => record.offset > state.asOf);
    return [
      ...inferEffects(covered, state.version),
      ...later.map((record) => ({ record, effect: this.#applyRecord(record) })),
    ];
  }

  #applyRecord(record: LogRecord): RecordEffect {
    if (record.kind === CHANGE_KIND) return this.#applyChange(record);
    if (record.kind === SNAPSHOT_KIND) return this.#checkSnapshot(record);
    return IGNORED_EFFECT;
  }

  #applyChange(record: LogRecord): RecordEffect {
    const payload = ChangePayload.safeParse(record.payload);
    if (!payload.success) return createInvalid('the payload is malformed');
    if (payload.data.base !== this.version) return { type: 'conflict', winner: this.version };
    const parsed = parseDeclarations(payload.data.declarations);
    if (parsed.isErr()) return { type: 'invalid', problems: parsed.error };
    const version = record.offset as number as ConfigVersion;
    this.#state = { version, asOf: record.offset, declarations: toCanonical(parsed.value) };
    return { type: 'accepted', version };
  }

  #checkSnapshot(record: LogRecord): RecordEffect {
    const snapshot = parseSnapshot(record);
    if (snapshot.isErr() || this.#state === undefined) return IGNORED_EFFECT;
    if (snapshot.value.version !== this.version) return IGNORED_EFFECT;
    const own = JSON.stringify(this.#state.declarations);
    if (JSON.stringify(snapshot.value.declarations) !== own) return IGNORED_EFFECT;
    return { type: 'snapshot', asOf: snapshot.value.asOf };
  }
}

/**
 * Infers the effects of changes that a later state covers: going back from its version, each
 * accepted change is the base of the next.
 */
function inferEffects(records: readonly LogRecord[], version: number): AppliedRecord[] {
  let winner = version;
  const applied = [...records].reverse().map((record): AppliedRecord => {
    if (record.kind !== CHANGE_KIND) return { record, effect: IGNORED_EFFECT };
    const payload = ChangePayload.safeParse(record.payload);
    if (!payload.success) return { record, effect: createInvalid('the payload is malformed') };
    if (record.offset !== winner) return { record, effect: { type: 'conflict', winner } };
    winner = payload.data.base;
    return { record, effect: { type: 'accepted', version: record.offset as never } };
  });
  return applied.reverse();
}

/**
 * Parses a snapshot record.
 *
 * @param record - any record
 * @returns the snapshot's state, or undefined as the error when the record is no valid snapshot
 */
export function parseSnapshot(record: LogRecord): Result<ConfigState, undefined> {
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

function createInvalid(message: string): RecordEffect {
  return { type: 'invalid', problems: [{ path: [], message }] };
}
