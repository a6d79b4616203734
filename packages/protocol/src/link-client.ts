/** The entry's side of a link: one long-lived stream to an agent. */
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
import { saysLeaving } from './leaving';

/** The content of a frame that an entry sends to an agent. */
export type EntryFramePayload = NonNullable<EntryFrame['frame']>;

/** The content of a frame that an agent sends to an entry. */
export type AgentFramePayload = NonNullable<AgentFrame['frame']>;

/** Callbacks for the owner of a link. They are called one at a time, in order. */
export interface LinkHandlers {
  /** The stream is open and the agent's hello has arrived. */
  onConnected(hello: AgentHello): void;
  /** A frame other than hello and heartbeat has arrived. */
  onFrame(frame: AgentFramePayload): void;
  /**
   * A frame has said that the target is leaving. This is called before the frame is handled, except
   * for a hello, where it is called after `onConnected`; `ageMs` is the time since the agent learnt
   * of it, which agents of earlier versions don't send.
   */
  onLeaving(frame: AgentFramePayload, ageMs: Millis | undefined): void;
  /** The agent had this configuration version at or after the time `since`. */
  onConfigVersion(version: number, since: MonoTime): void;
  /** The stream has ended or could not be opened. */
  onDisconnected(): void;
}

/** The agent's address, what the link sends and whom it notifies. */
export interface LinkClientOptions {
  readonly address: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Creates the hello that is sent first on each stream. */
  readonly hello: () => EntryHello;
  readonly handlers: LinkHandlers;
  readonly heartbeat?: HeartbeatOptions;
  /** The delay after the end of a connected stream, in milliseconds before jitter. */
  readonly minReconnectDelayMs?: Millis;
  /** The limit up to which the delay doubles when no connection comes about, before jitter. */
  readonly maxReconnectDelayMs?: Millis;
}

type Stream = ClientDuplexStream<EntryFrame, AgentFrame>;

/** A link to one agent. It reconnects when its stream ends or the agent times out. */
export class LinkClient {
  readonly address: string;

  readonly #options: Required<LinkClientOptions>;

  readonly #closing = new AbortController();

  /** The stream on which the agent's hello has arrived. */
  #stream: Stream | undefined;

  /** @param options - the agent's address, the hello and the callbacks */
  constructor(options: LinkClientOptions) {
    this.address = options.address;
    this.#options = {
      heartbeat: DEFAULT_HEARTBEAT_OPTIONS,
      minReconnectDelayMs: 50,
      maxReconnectDelayMs: 1000,
      ...options,
    };
  }

  /** Keeps the link open until {@link LinkClient.close} is called. */
  async run(): Promise<void> {
    let delayMs = this.#options.minReconnectDelayMs;
    while (!this.#closing.signal.aborted) {
      const wasConnected = await this.#runStream();
      this.#options.handlers.onDisconnected();
      delayMs = wasConnected
        ? this.#options.minReconnectDelayMs
        : Math.min(delayMs * 2, this.#options.maxReconnectDelayMs);
      const jitter = 0.5 + this.#options.random.fraction();
      await this.#options.clock.sleep(delayMs * jitter, this.#closing.signal);
    }
  }

  /**
   * Sends a frame.
   *
   * @param frame - the frame's content
   * @returns false when the link is not connected and nothing was sent
   */
  send(frame: EntryFramePayload): boolean {
    if (this.#stream === undefined) return false;
    this.#stream.write({ frame });
    return true;
  }

  /** Closes the link. It can't be opened again. */
  close(): void {
    this.#closing.abort();
    this.#stream?.cancel();
  }

  /**
   * Opens a stream and reads it to its end.
   *
   * @returns whether the agent's hello arrived
   */
  async #runStream(): Promise<boolean> {
    const stub = new LinkStub(this.address, credentials.createInsecure(), CLIENT_OPTIONS);
    const stream = stub.open();
    stream.on('error', () => undefined);
    const tracker = new HeartbeatTracker(this.#options.clock, this.#options.heartbeat);
    const timer = this.#startHeartbeats(stream, tracker);
    try {
      stream.write({ frame: { $case: 'hello', value: this.#options.hello() } });
      await this.#readFrames(stream, tracker);
    } catch {
      // The link reconnects for whatever reason the stream ended.
    } finally {
      clearInterval(timer);
      stream.cancel();
      stub.close();
    }
    const wasConnected = this.#stream === stream;
    this.#stream = undefined;
    return wasConnected;
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
    for await (const message of stream as AsyncIterable<AgentFrame>) {
      tracker.onFrame();
      if (message.frame?.$case === 'hello') this.#stream = stream;
      if (message.frame !== undefined) this.#handleFrame(message.frame, message, tracker);
    }
  }

  #handleFrame(frame: AgentFramePayload, message: AgentFrame, tracker: HeartbeatTracker): void {
    const { handlers } = this.#options;
    if (frame.$case === 'hello') handlers.onConnected(frame.value);
    if (saysLeaving(message)) handlers.onLeaving(frame, message.leavingAgeMs);
    if (frame.$case === 'heartbeat') {
      const since = tracker.onHeartbeat(frame.value);
      if (since !== undefined) handlers.onConfigVersion(frame.value.configVersion, since);
    } else if (frame.$case !== 'hello') {
      handlers.onFrame(frame);
    }
  }
}
