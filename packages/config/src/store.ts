/** The configuration of a process, and its encoding for other processes. */
import {
  type Clock,
  type ConfigVersion,
  type Failure,
  type Metrics,
  type Millis,
  type MonoTime,
  type Offset,
  createFailure,
  createLogger,
} from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { type Option, none, some } from 'fp-ts/Option';
import { type Result, ok } from 'neverthrow';

import { computeDigest } from './canonical';
import type { Declarations } from './declarations';
import { computeDelta } from './difference';
import { type VersionDelta, decodeOffer, encodeOffer, parseOffer } from './offer';
import { ConfigProjection, type ConfigState, type AppliedRecord, NO_VERSION } from './projection';
import { ConfigView } from './view';

const log = createLogger('config.store');

// The latest changes that can be sent as deltas; a process further behind gets the full state.
const MAX_DELTAS = 64;

/** The clock and the metrics of a store. */
export interface ConfigStoreOptions {
  readonly clock: Clock;
  readonly metrics?: Metrics;
}

/** Called with the new view after the version changed. */
export type ChangeListener = (view: ConfigView) => void;

/**
 * The current configuration of a process, from the log or from other processes' offers. Its version
 * never decreases.
 */
export class ConfigStore {
  readonly #clock: Clock;

  readonly #metrics: Metrics | undefined;

  readonly #projection = new ConfigProjection();

  readonly #listeners = new Set<ChangeListener>();

  #view: Option<ConfigView> = none;

  /** The state of `#view`. */
  #current: ConfigState | undefined;

  /** The JSON of the current declarations and its digest; undefined until it is first needed. */
  #encoded: { readonly json: string; readonly digest: string } | undefined;

  /** The deltas of the latest changes, oldest first. */
  #deltas: VersionDelta[] = [];

  #confirmedAt: MonoTime | undefined;

  /** @param options - the clock and the metrics */
  constructor(options: ConfigStoreOptions) {
    this.#clock = options.clock;
    this.#metrics = options.metrics;
  }

  /** The current configuration; none before the first is known. */
  get view(): Option<ConfigView> {
    return this.#view;
  }

  /** The current version, or -1 before the first is known. */
  get version(): ConfigVersion | -1 {
    return this.#projection.version as ConfigVersion | -1;
  }

  /** The offset of the last record of the log that is known here, or -1. */
  get position(): number {
    return this.#projection.position;
  }

  /** Whether effects of changes can be determined here; false while trimmed records are missing. */
  get isAttached(): boolean {
    return this.#projection.isAttached;
  }

  /** The current configuration with the offset of the last record up to which it was current. */
  get state(): ConfigState | undefined {
    return this.#projection.state;
  }

  /** When the version was last confirmed by the log or another process; see `confirm`. */
  get confirmedAt(): MonoTime | undefined {
    return this.#confirmedAt;
  }

  /**
   * Applies a record of the stream `config`.
   *
   * @param record - the record; a record that was applied before is ignored
   * @returns the effects that are now known
   */
  apply(record: LogRecord): AppliedRecord[] {
    const applied = this.#projection.apply(record);
    applied.forEach((each) => this.#countEffect(each));
    this.#publishState();
    return applied;
  }

  /**
   * Sets the offset at which reading of the log starts or resumes.
   *
   * @param first - the offset of the next record
   */
  seek(first: Offset): void {
    this.#projection.seek(first);
    if (!this.#projection.isAttached)
      log.warn('The store lacks earlier records of the log.', { first });
  }

  /**
   * Encodes the configuration for a process with a lower version, as deltas if those are smaller.
   *
   * @param have - the version that the other process has, or -1 for the full configuration
   * @returns the offer; none when the other process's version isn't lower
   */
  createOffer(have: number): Option<Uint8Array> {
    const { state } = this.#projection;
    if (state === undefined || have >= state.version) return none;
    const { json, digest } = this.#encode(state.declarations);
    const fullState = `{"state":${json}}`;
    const deltas = this.#findDeltas(have);
    if (deltas === undefined) return some(encodeOffer(state, digest, fullState));
    const body = JSON.stringify({ from: have, deltas: deltas.map((entry) => entry.delta) });
    return some(encodeOffer(state, digest, body.length < fullState.length ? body : fullState));
  }

  /**
   * Applies another process's offer. An offer whose version isn't higher changes no version; one of
   * the same version may attach a detached store. After a refusal the caller should request the
   * full configuration, with `have` -1.
   *
   * @param bytes - the offer
   * @returns whether the version rose, or `config_invalid`
   */
  applyOffer(bytes: Uint8Array): Result<boolean, Failure> {
    return parseOffer(bytes)
      .andThen((offer) => {
        if (offer.version < this.version) return ok(false);
        const isKnown = offer.version === this.version && this.isAttached;
        return isKnown ? ok(false) : this.#adopt(bytes);
      })
      .mapErr((detail) => {
        this.#metrics?.count('config.offer_refused');
        log.warn('A configuration offer was refused.', { detail });
        return createFailure('config_invalid', { detail });
      });
  }

  /**
   * Confirms that the version is current, from the version that the log or another process has.
   * Only the same version confirms: a lower one means that the other process is behind, a higher
   * one that this process is.
   *
   * @param version - the version of the log or the other process
   * @param requestedAt - when the version was requested, not when the response was read: a response
   *   may wait in the socket while this process is suspended
   * @returns whether the version was confirmed
   */
  confirm(version: number, requestedAt: MonoTime): boolean {
    if (version < 0 || version !== this.version) return false;
    this.#confirmedAt = Math.max(this.#confirmedAt ?? requestedAt, requestedAt) as MonoTime;
    return true;
  }

  /**
   * Tells whether the version was confirmed recently.
   *
   * @param maxAgeMs - the maximum age of the last confirmation, in milliseconds
   * @returns false before the first confirmation, and when the last one is older, as after a pause
   *   of this process
   */
  isFresh(maxAgeMs: Millis): boolean {
    if (this.#confirmedAt === undefined) return false;
    return this.#clock.mono() - this.#confirmedAt <= maxAgeMs;
  }

  /**
   * Subscribes to changes of the version.
   *
   * @param listener - called with the new view after each change
   * @returns a function that ends the subscription
   */
  onChange(listener: ChangeListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #adopt(bytes: Uint8Array): Result<boolean, string> {
    const before = this.version;
    return decodeOffer(bytes, this.#projection.state)
      .andThen((state) => this.#projection.adopt(state))
      .map((applied) => {
        applied.forEach((each) => this.#countEffect(each));
        this.#publishState();
        return this.version > before;
      });
  }

  #publishState(): void {
    const { state } = this.#projection;
    if (state === undefined || state.version === this.#current?.version) return;
    this.#storeDelta(this.#current, state);
    this.#current = state;
    this.#encoded = undefined;
    const view = new ConfigView(state.version, state.declarations);
    this.#view = some(view);
    log.info('A new configuration version is in use.', { version: state.version });
    this.#metrics?.gauge('config.version', state.version);
    [...this.#listeners].forEach((listener) => listener(view));
  }

  #storeDelta(before: ConfigState | undefined, after: ConfigState): void {
    if (before === undefined) return;
    const delta = computeDelta(before.declarations, after.declarations);
    this.#deltas.push({ from: before.version, to: after.version, delta });
    if (this.#deltas.length > MAX_DELTAS) this.#deltas.shift();
  }

  #findDeltas(have: number): VersionDelta[] | undefined {
    if (have === NO_VERSION) return undefined;
    const start = this.#deltas.findIndex((entry) => entry.from === have);
    return start < 0 ? undefined : this.#deltas.slice(start);
  }

  #encode(declarations: Declarations): { readonly json: string; readonly digest: string } {
    if (this.#encoded === undefined) {
      const json = JSON.stringify(declarations);
      this.#encoded = { json, digest: computeDigest(json) };
    }
    return this.#encoded;
  }

  #countEffect(applied: AppliedRecord): void {
    const { record, effect } = applied;
    this.#metrics?.count(`config.${effect.type}`);
    if (effect.type === 'invalid' || effect.type === 'conflict') {
      log.info('A configuration change was refused.', {
        offset: record.offset,
        verdict: effect.type,
      });
    }
  }
}
