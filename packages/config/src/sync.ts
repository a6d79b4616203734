/** The spread of configuration over a connection: both sides compare versions and pull. */
import { type MonoTime, createLogger } from '@hibiscushill/base';
import type { ConfigOffer } from '@hibiscushill/protocol';
import { isSome } from 'fp-ts/Option';

import { hasDeltas } from './offer';
import type { ConfigStore } from './store';

const log = createLogger('config.sync');

const WHOLE = -1;

/** The frames of the spread. Both directions of a link carry them. */
export type ConfigFrame =
  { $case: 'config'; value: ConfigOffer } | { $case: 'configPull'; value: { have: number } };

/** A connection that the frames go out on. */
export interface ConfigPeer {
  send(frame: ConfigFrame): boolean;
}

/** One process's part in the spread over its connections. */
export class ConfigSync {
  readonly #store: ConfigStore;

  /** @param store - the process's configuration */
  constructor(store: ConfigStore) {
    this.#store = store;
  }

  /**
   * Meets a process on a new connection.
   *
   * @param peer - the connection
   * @param version - the version that the other process has, or -1
   */
  meet(peer: ConfigPeer, version: number): void {
    if (version > this.#store.version) this.#pull(peer, this.#store.version);
  }

  /**
   * Takes the other process's word on its version.
   *
   * @param peer - the connection
   * @param version - the version that it has
   * @param since - a time of this process's clock; the other had the version then or later
   */
  compare(peer: ConfigPeer, version: number, since: MonoTime): void {
    if (version > this.#store.version) this.#pull(peer, this.#store.version);
    else this.#store.confirm(version, since);
  }

  /**
   * Takes an offer in. When deltas don't fit, asks for the whole; a whole that is refused is not
   * asked for again, since the same would come.
   *
   * @param peer - the connection
   * @param offer - the offer
   */
  take(peer: ConfigPeer, offer: ConfigOffer): void {
    this.#store.takeOffer(offer.update).mapErr((failure) => {
      if (!hasDeltas(offer.update)) return;
      log.warn('The whole configuration is asked for.', { detail: failure.detail });
      this.#pull(peer, WHOLE);
    });
  }

  /**
   * Answers a pull, or pushes a change.
   *
   * @param peer - the connection
   * @param have - the version that the other process has, or -1
   */
  answer(peer: ConfigPeer, have: number): void {
    const update = this.#store.offerFor(have);
    if (!isSome(update)) return;
    const value = { version: this.#store.version, update: Buffer.from(update.value) };
    peer.send({ $case: 'config', value });
  }

  #pull(peer: ConfigPeer, have: number): void {
    peer.send({ $case: 'configPull', value: { have } });
  }
}
