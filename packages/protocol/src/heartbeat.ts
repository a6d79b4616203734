/** Heartbeats of a connection: when they are sent, and when the other side has timed out. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

import type { Heartbeat } from './generated/link';

/** The interval between heartbeats, and the time without any frame after which a side times out. */
export interface HeartbeatOptions {
  readonly intervalMs: Millis;
  readonly timeoutMs: Millis;
}

/** The interval and the timeout that links use by default. */
export const DEFAULT_HEARTBEAT_OPTIONS: HeartbeatOptions = { intervalMs: 250, timeoutMs: 1000 };

/** The number of sent heartbeats whose send times are kept, to look up when one is echoed. */
const MAX_TRACKED_HEARTBEATS = 64;

/** Tracks the heartbeats that one side of a connection sends and receives. */
export class HeartbeatTracker {
  readonly #clock: Clock;

  readonly #options: HeartbeatOptions;

  readonly #sentAtByNumber = new Map<number, MonoTime>();

  #lastSentNumber = 0;

  #lastReceivedNumber = 0;

  #lastFrameAt: MonoTime;

  /**
   * @param clock - the process's clock
   * @param options - the interval and the timeout
   */
  constructor(clock: Clock, options: HeartbeatOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#lastFrameAt = clock.mono();
  }

  /** Records that a frame of any kind has arrived, which restarts the timeout. */
  onFrame(): void {
    this.#lastFrameAt = this.#clock.mono();
  }

  /**
   * Records a heartbeat of the other side.
   *
   * @param heartbeat - the received heartbeat
   * @returns when this side sent the heartbeat that the other side echoes, or undefined when that
   *   is not known; the received heartbeat describes the other side's state at or after that time
   */
  onHeartbeat(heartbeat: Heartbeat): MonoTime | undefined {
    this.#lastReceivedNumber = heartbeat.number;
    return this.#sentAtByNumber.get(heartbeat.echo);
  }

  /**
   * Creates the next heartbeat. The caller must send it at once.
   *
   * @param configVersion - the configuration version that this side applies
   * @returns the heartbeat
   */
  createHeartbeat(configVersion: number): Heartbeat {
    this.#lastSentNumber += 1;
    this.#sentAtByNumber.set(this.#lastSentNumber, this.#clock.mono());
    this.#sentAtByNumber.delete(this.#lastSentNumber - MAX_TRACKED_HEARTBEATS);
    return { number: this.#lastSentNumber, echo: this.#lastReceivedNumber, configVersion };
  }

  /** Checks whether no frame has arrived within the timeout. */
  isTimedOut(): boolean {
    return this.#clock.mono() - this.#lastFrameAt > this.#options.timeoutMs;
  }
}
