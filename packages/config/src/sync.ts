/** Propagates the configuration over connections: each side pulls versions higher than its own. */
import { type MonoTime, createLogger } from '@hibiscushill/base';
import type { ConfigOffer } from '@hibiscushill/protocol';
import { isSome } from 'fp-ts/Option';

import { hasDeltas } from './offer';
import type { ConfigStore } from './store';

const log = createLogger('config.sync');

const REQUEST_FULL = -1;

/** The frames by which processes exchange the configuration, in both directions of a link. */
export type ConfigFrame =
  { $case: 'config'; value: ConfigOffer } | { $case: 'configPull'; value: { have: number } };

/** A connection to another process. */
export interface ConfigConnection {
  /** Sends a frame; returns false when the connection is closed. */
  send(frame: ConfigFrame): boolean;
}

/** Exchanges a process's configuration with other processes over its connections. */
export class ConfigSync {
  readonly #store: ConfigStore;

  /** @param store - the process's configuration */
  constructor(store: ConfigStore) {
    this.#store = store;
  }

  /**
   * Requests the configuration on a new connection when the other process has a higher version.
   *
   * @param connection - the connection
   * @param version - the version that the other process has, or -1
   */
  pullIfBehind(connection: ConfigConnection, version: number): void {
    if (version > this.#store.version) this.#pull(connection, this.#store.version);
  }

  /**
   * Handles the version that the other process reported: requests a higher one, and treats the
   * same one as a confirmation.
   *
   * @param connection - the connection
   * @param version - the version that the other process has
   * @param notBefore - a time of this process's clock; the other process reported the version at
   *   that time or later
   */
  receiveVersion(connection: ConfigConnection, version: number, notBefore: MonoTime): void {
    if (version > this.#store.version) this.#pull(connection, this.#store.version);
    else this.#store.confirm(version, notBefore);
  }

  /**
   * Applies an offer. When deltas are refused, requests the full configuration; when a full one is
   * refused, doesn't request it again, because the other process would send the same.
   *
   * @param connection - the connection
   * @param offer - the offer
   */
  receiveOffer(connection: ConfigConnection, offer: ConfigOffer): void {
    this.#store.applyOffer(offer.update).mapErr((failure) => {
      if (!hasDeltas(offer.update)) return;
      log.warn('Deltas were refused; the full configuration is requested.', {
        detail: failure.detail,
      });
      this.#pull(connection, REQUEST_FULL);
    });
  }

  /**
   * Sends an offer, in response to a pull or after a change, unless the other process has the
   * version already.
   *
   * @param connection - the connection
   * @param have - the version that the other process has, or -1
   */
  sendOffer(connection: ConfigConnection, have: number): void {
    const update = this.#store.createOffer(have);
    if (!isSome(update)) return;
    const value = { version: this.#store.version, update: Buffer.from(update.value) };
    connection.send({ $case: 'config', value });
  }

  #pull(connection: ConfigConnection, have: number): void {
    connection.send({ $case: 'configPull', value: { have } });
  }
}
