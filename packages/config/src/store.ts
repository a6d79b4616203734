/** The configuration that one process knows, and its spread to others. */
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

import { digestOf } from './canonical';
import type { Declarations } from './declarations';
import { computeDelta } from './difference';
import { ConfigHistory, type ConfigState, type Judgement, NO_VERSION } from './history';
import { type VersionDelta, decodeOffer, encodeOffer, parseOffer } from './offer';
import { ConfigView } from './view';

const log = createLogger('config.store');

const MOST_DELTAS = 64;

/** What a store needs. */
export interface ConfigStoreOptions {
  readonly clock: Clock;
  readonly metrics?: Metrics;
}

/** Called when another version came into force. */
export type ChangeListener = (view: ConfigView) => void;

/** The configuration in force in one process. Its version never goes down. */
export class ConfigStore {
  readonly #clock: Clock;

  readonly #metrics: Metrics | undefined;

  readonly #history = new ConfigHistory();

  readonly #listeners = new Set<ChangeListener>();

  #view: Option<ConfigView> = none;

  #current: ConfigState | undefined;

  #encoded: { readonly json: string; readonly digest: string } | undefined;

  #deltas: VersionDelta[] = [];

  #confirmedAt: MonoTime | undefined;

  /** @param options - the clock, and where refusals are counted */
  constructor(options: ConfigStoreOptions) {
    this.#clock = options.clock;
    this.#metrics = options.metrics;
  }

  /** The configuration in force; none before the first is known. */
  get view(): Option<ConfigView> {
    return this.#view;
  }

  /** The version in force, or -1 before the first is known. */
  get version(): ConfigVersion | -1 {
    return this.#history.version as ConfigVersion | -1;
  }

  /** The offset up to which the log is known here, or -1. */
  get position(): number {
    return this.#history.position;
  }

  /** Whether changes on the log can be judged here; false while trimmed records are missing. */
  get isAttached(): boolean {
    return this.#history.isAttached;
  }

  /** The configuration in force with the offset up to which it was known. */
  get state(): ConfigState | undefined {
    return this.#history.state;
  }

  /** When the version was last confirmed with the log, a peer or an agent. */
  get confirmedAt(): MonoTime | undefined {
    return this.#confirmedAt;
  }

  /**
   * Takes a record of the stream `config` in.
   *
   * @param record - the record; records that were taken in before are ignored
   * @returns the verdicts that it settles
   */
  apply(record: LogRecord): Judgement[] {
    const judgements = this.#history.read(record);
    judgements.forEach((judgement) => this.#count(judgement));
    this.#refresh();
    return judgements;
  }

  /**
   * Notes that reading of the log begins, or goes on, at an offset.
   *
   * @param first - the offset of the next record to be read
   */
  readFrom(first: Offset): void {
    this.#history.readFrom(first);
    if (!this.#history.isAttached) log.warn('Earlier records are missing.', { first });
  }

  /**
   * Encodes the configuration for a process with a lower version.
   *
   * @param have - the version that the other process has, or -1
   * @returns the bytes for its `takeOffer`; none if it lacks nothing
   */
  offerFor(have: number): Option<Uint8Array> {
    const { state } = this.#history;
    if (state === undefined || have >= state.version) return none;
    const { json, digest } = this.#encode(state.declarations);
    const whole = `{"state":${json}}`;
    const deltas = this.#deltasFrom(have);
    if (deltas === undefined) return some(encodeOffer(state, digest, whole));
    const body = JSON.stringify({ from: have, deltas: deltas.map((entry) => entry.delta) });
    return some(encodeOffer(state, digest, body.length < whole.length ? body : whole));
  }

  /**
   * Takes another process's offer. An offer that is not higher changes nothing. One that is
   * refused should be asked for again whole, with `have` -1.
   *
   * @param bytes - what the other process's `offerFor` returned
   * @returns whether the version rose, or `config_invalid`
   */
  takeOffer(bytes: Uint8Array): Result<boolean, Failure> {
    return parseOffer(bytes)
      .andThen((offer) => {
        if (offer.version < this.version) return ok(false);
        const isKnown = offer.version === this.version && this.isAttached;
        return isKnown ? ok(false) : this.#adopt(bytes);
      })
      .mapErr((detail) => {
        this.#metrics?.count('config.offer_refused');
        log.warn('An offer was refused.', { detail });
        return createFailure('config_invalid', { detail });
      });
  }

  /**
   * Confirms the version with another process or the log. Only the same version confirms; a
   * lower one shows that the other is behind, and a higher one that this process is.
   *
   * @param version - the version that the other has
   * @param askedAt - when the question was sent, not when the answer was read: an answer may
   *   have waited in a socket while this process was stopped
   * @returns whether the version was confirmed
   */
  confirm(version: number, askedAt: MonoTime): boolean {
    if (version < 0 || version !== this.version) return false;
    this.#confirmedAt = Math.max(this.#confirmedAt ?? askedAt, askedAt) as MonoTime;
    return true;
  }

  /**
   * Tells whether the version was confirmed lately. Reads the clock at the call.
   *
   * @param maxAgeMs - the greatest age of the confirmation, in milliseconds
   * @returns false before the first confirmation and after a pause longer than the age
   */
  isFresh(maxAgeMs: Millis): boolean {
    if (this.#confirmedAt === undefined) return false;
    return this.#clock.mono() - this.#confirmedAt <= maxAgeMs;
  }

  /**
   * Subscribes to changes of the version.
   *
   * @param listener - called with the new view, after it is in force
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
    return decodeOffer(bytes, this.#history.state)
      .andThen((state) => this.#history.adopt(state))
      .map((judgements) => {
        judgements.forEach((judgement) => this.#count(judgement));
        this.#refresh();
        return this.version > before;
      });
  }

  #refresh(): void {
    const { state } = this.#history;
    if (state === undefined || state.version === this.#current?.version) return;
    this.#remember(this.#current, state);
    this.#current = state;
    this.#encoded = undefined;
    const view = new ConfigView(state.version, state.declarations);
    this.#view = some(view);
    log.info('A configuration is in force.', { version: state.version });
    this.#metrics?.gauge('config.version', state.version);
    [...this.#listeners].forEach((listener) => listener(view));
  }

  #remember(before: ConfigState | undefined, after: ConfigState): void {
    if (before === undefined) return;
    const delta = computeDelta(before.declarations, after.declarations);
    this.#deltas.push({ from: before.version, to: after.version, delta });
    if (this.#deltas.length > MOST_DELTAS) this.#deltas.shift();
  }

  #deltasFrom(have: number): VersionDelta[] | undefined {
    if (have === NO_VERSION) return undefined;
    const start = this.#deltas.findIndex((entry) => entry.from === have);
    return start < 0 ? undefined : this.#deltas.slice(start);
  }

  #encode(declarations: Declarations): { readonly json: string; readonly digest: string } {
    if (this.#encoded === undefined) {
      const json = JSON.stringify(declarations);
      this.#encoded = { json, digest: digestOf(json) };
    }
    return this.#encoded;
  }

  #count(judgement: Judgement): void {
    const { record, verdict } = judgement;
    this.#metrics?.count(`config.${verdict.type}`);
    if (verdict.type === 'invalid' || verdict.type === 'conflict') {
      log.info('A change was refused.', { offset: record.offset, verdict: verdict.type });
    }
  }
}
