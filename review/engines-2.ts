/** Model replicas that run as processes of their own. */
import type { ChildProcess } from 'node:child_process';

import { findPort, record, registerReplica, startChild } from './case-2';
import type { Store } from './store-2';

const PINGS_OF_SILENCE_MS = 3_600;

/** A model replica, which registers itself until it crashes. */
export class EngineProcess {
  readonly id: string;

  readonly #store: Store;

  #child: ChildProcess | undefined;

  #stopPings: () => void = () => undefined;

  constructor(id: string, store: Store) {
    this.id = id;
    this.#store = store;
  }

  /**
   * Starts the process.
   *
   * @param program - the name of its built file
   * @param args - what it is started with, after its id and port
   */
  async start(program: string, args: readonly string[]): Promise<void> {
    const port = await findPort();
    this.#child = startChild(
      [`target/review-2/${program}.mjs`, this.id, `${port}`, ...args],
      {},
      this.id,
    );
    const address = `127.0.0.1:${port}`;
    this.#stopPings = registerReplica(this.#store, this.id, {
      service: 'models',
      address,
      isEngine: true,
    });
  }

  /** Kills the process for good; its entry is removed after three ping intervals. */
  crash(): void {
    this.#child?.kill('SIGKILL');
    this.#stopPings();
    record(`${this.id} is killed`);
    setTimeout(() => this.#store.removeKeyed('keyed.servers', this.id), PINGS_OF_SILENCE_MS);
  }
}
