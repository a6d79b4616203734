/** Heartbeats of a connection: when to send, when the other side counts as silent. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

import type { Heartbeat } from './generated/link';

/** How often heartbeats go out and how long a silence may last, in milliseconds. */
export interface HeartbeatOptions {
  readonly intervalMs: Millis;
  readonly timeoutMs: Millis;
}

/** The default pace of heartbeats. */
export const DEFAULT_HEARTBEAT_OPTIONS: HeartbeatOptions = { intervalMs: 250, timeoutMs: 1000 };

const REMEMBERED_SENDS = 64;

/** The heartbeats of one connection, as one side sees them. */
export class HeartbeatTracker {
  readonly #clock: Clock;

  readonly #options: HeartbeatOptions;

  readonly #sentAt = new Map<number, MonoTime>();

  #number = 0;

  #lastReceived = 0;

  #heardAt: MonoTime;

  /**
   * @param clock - the process's clock
   * @param options - interval and silence
   */
  constructor(clock: Clock, options: HeartbeatOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#heardAt = clock.mono();
  }

  /** Notes that any frame has arrived. */
  onFrame(): void {
    this.#heardAt = this.#clock.mono();
  }

  /**
   * Takes the other side's heartbeat.
   *
   * @param heartbeat - what arrived
   * @returns when this side sent the heartbeat that it echoes: whatever it says held then or later
   */
  onHeartbeat(heartbeat: Heartbeat): MonoTime | undefined {
    this.#lastReceived = heartbeat.number;
    return this.#sentAt.get(heartbeat.echo);
  }

  /**
   * Makes the next heartbeat.
   *
   * @param configVersion - the version in force at this side
   * @returns the heartbeat to send now
   */
  createHeartbeat(configVersion: number): Heartbeat {
    this.#number += 1;
    this.#sentAt.set(this.#number, this.#clock.mono());
    this.#sentAt.delete(this.#number - REMEMBERED_SENDS);
    return { number: this.#number, echo: this.#lastReceived, configVersion };
  }

  /** Tells whether nothing has arrived for the silence time. */
  isTimedOut(): boolean {
    return this.#clock.mono() - this.#heardAt > this.#options.timeoutMs;
  }
}
