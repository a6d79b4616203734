/** The entry's side of a link: one task keeps one stream to an agent open. */
import { type ClientDuplexStream, credentials } from '@grpc/grpc-js';
import type { Clock, Millis, MonoTime, RandomSource } from '@hibiscushill/base';

import { CLIENT_OPTIONS } from './channel-options';
import {
  type AgentFrame,
  type AgentHello,
  type EntryFrame,
  type EntryHello,
  LinkClient as LinkStub,
} from './generated/link';
import { DEFAULT_HEARTBEAT_OPTIONS, type HeartbeatOptions, HeartbeatTracker } from './heartbeat';

/** One frame's content on its way to the agent. */
export type ToAgent = NonNullable<EntryFrame['frame']>;

/** One frame's content on its way to the entry. */
export type ToEntry = NonNullable<AgentFrame['frame']>;

/** What the owner of a link is told. Calls come one at a time, in order. */
export interface LinkHandlers {
  /** The stream is open and the agent has said who it is. */
  onUp(hello: AgentHello): void;
  /** A frame other than hello and heartbeat has arrived. */
  onFrame(frame: ToEntry): void;
  /** The agent had this configuration version at or after the time given. */
  onVersion(version: number, since: MonoTime): void;
  /** The stream is gone, or could not be opened. */
  onDown(): void;
}

/** How a link is made. */
export interface LinkClientOptions {
  readonly address: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hello: () => EntryHello;
  readonly handlers: LinkHandlers;
  readonly heartbeat?: HeartbeatOptions;
  readonly minReconnectDelayMs?: Millis;
  readonly maxReconnectDelayMs?: Millis;
}

type Stream = ClientDuplexStream<EntryFrame, AgentFrame>;

/** A link to one agent that is opened again whenever it breaks or goes silent. */
export class LinkClient {
  readonly address: string;

  readonly #options: Required<LinkClientOptions>;

  readonly #stopping = new AbortController();

  #stream: Stream | undefined;

  /** @param options - the agent's address, what to say first, and who is told of frames */
  constructor(options: LinkClientOptions) {
    this.address = options.address;
    this.#options = {
      heartbeat: DEFAULT_HEARTBEAT_OPTIONS,
      minReconnectDelayMs: 50,
      maxReconnectDelayMs: 1000,
      ...options,
    };
  }

  /** Runs the link's task until it is closed. */
  async run(): Promise<void> {
    let pauseMs = this.#options.minReconnectDelayMs;
    while (!this.#stopping.signal.aborted) {
      const wasUp = await this.#session();
      this.#options.handlers.onDown();
      pauseMs = wasUp
        ? this.#options.minReconnectDelayMs
        : Math.min(pauseMs * 2, this.#options.maxReconnectDelayMs);
      const spread = 0.5 + this.#options.random.fraction();
      await this.#options.clock.sleep(pauseMs * spread, this.#stopping.signal);
    }
  }

  /**
   * Sends a frame.
   *
   * @param frame - the frame's content
   * @returns false when the link is down and nothing was sent
   */
  send(frame: ToAgent): boolean {
    if (this.#stream === undefined) return false;
    this.#stream.write({ frame });
    return true;
  }

  /** Closes the link for good. */
  close(): void {
    this.#stopping.abort();
    this.#stream?.cancel();
  }

  async #session(): Promise<boolean> {
    const stub = new LinkStub(this.address, credentials.createInsecure(), CLIENT_OPTIONS);
    const stream = stub.open();
    stream.on('error', () => undefined);
    const tracker = new HeartbeatTracker(this.#options.clock, this.#options.heartbeat);
    const timer = this.#startHeartbeats(stream, tracker);
    try {
      stream.write({ frame: { $case: 'hello', value: this.#options.hello() } });
      await this.#readFrames(stream, tracker);
    } catch {
      // The stream's end is what counts, whatever ended it.
    } finally {
      clearInterval(timer);
      stream.cancel();
      stub.close();
    }
    const wasUp = this.#stream === stream;
    this.#stream = undefined;
    return wasUp;
  }

  #startHeartbeats(stream: Stream, tracker: HeartbeatTracker): NodeJS.Timeout {
    return setInterval(() => {
      if (tracker.isTimedOut()) {
        stream.cancel();
        return;
      }
      const heartbeat = tracker.createHeartbeat(this.#options.hello().configVersion);
      stream.write({ frame: { $case: 'heartbeat', value: heartbeat } });
    }, this.#options.heartbeat.intervalMs);
  }

  async #readFrames(stream: Stream, tracker: HeartbeatTracker): Promise<void> {
    const { handlers } = this.#options;
    for await (const message of stream as AsyncIterable<AgentFrame>) {
      const { frame } = message;
      tracker.onFrame();
      if (frame?.$case === 'hello') {
        this.#stream = stream;
        handlers.onUp(frame.value);
      } else if (frame?.$case === 'heartbeat') {
        const since = tracker.onHeartbeat(frame.value);
        if (since !== undefined) handlers.onVersion(frame.value.configVersion, since);
      } else if (frame !== undefined) {
        handlers.onFrame(frame);
      }
    }
  }
}
