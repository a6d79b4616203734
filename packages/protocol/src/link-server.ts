/** The agent's side of its links: a server to which each entry opens one long-lived stream. */
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js';
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

import { SERVER_OPTIONS } from './channel-options';
import {
  type AgentFrame,
  type AgentHello,
  type EntryFrame,
  type EntryHello,
  LinkService,
} from './generated/link';
import { DEFAULT_HEARTBEAT_OPTIONS, type HeartbeatOptions, HeartbeatTracker } from './heartbeat';
import type { EntryFramePayload, AgentFramePayload } from './link-client';

type Stream = ServerDuplexStream<EntryFrame, AgentFrame>;

/** One entry's stream, from the moment its hello has arrived. */
export class LinkSession {
  readonly hello: EntryHello;

  readonly #write: (frame: AgentFramePayload) => void;

  readonly #end: () => void;

  #isOpen = true;

  /**
   * @param hello - the entry's hello
   * @param write - writes a frame to the entry's stream
   * @param end - ends the stream
   */
  constructor(hello: EntryHello, write: (frame: AgentFramePayload) => void, end: () => void) {
    this.hello = hello;
    this.#write = write;
    this.#end = end;
  }

  /**
   * Sends a frame.
   *
   * @param frame - the frame's content
   * @returns false when the session is closed and nothing was sent
   */
  send(frame: AgentFramePayload): boolean {
    if (!this.#isOpen) return false;
    this.#write(frame);
    return true;
  }

  /** Closes the session. Frames that arrive later are ignored. */
  close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#end();
  }

  /** Whether frames can still be sent. */
  get isOpen(): boolean {
    return this.#isOpen;
  }
}

/** Callbacks for the agent. They are called one at a time for each session, in order. */
export interface LinkServerHandlers {
  /** For how long the target has been leaving, in milliseconds; undefined while it serves. */
  readonly leavingAgeMs: Millis | undefined;
  /** An entry's hello has arrived and was answered. */
  onOpen(session: LinkSession): void;
  /** A frame other than hello and heartbeat has arrived. */
  onFrame(session: LinkSession, frame: EntryFramePayload): void;
  /** The entry had this configuration version at or after the time `since`. */
  onConfigVersion(session: LinkSession, version: number, since: MonoTime): void;
  /** The session's stream has ended. */
  onClose(session: LinkSession): void;
}

/** What the server sends to entries and whom it notifies. */
export interface LinkServerOptions {
  readonly clock: Clock;
  /** Creates the hello that answers each entry's hello. */
  readonly hello: () => AgentHello;
  readonly handlers: LinkServerHandlers;
  readonly heartbeat?: HeartbeatOptions;
}

/** A server that accepts the links of entries. */
export class LinkServer {
  readonly #options: Required<LinkServerOptions>;

  readonly #server = new Server(SERVER_OPTIONS);

  // Each start of an entry has one session, so that late frames of an older stream are ignored.
  readonly #sessionsByEntry = new Map<string, LinkSession>();

  /** @param options - the clock, the hello and the callbacks */
  constructor(options: LinkServerOptions) {
    this.#options = { heartbeat: DEFAULT_HEARTBEAT_OPTIONS, ...options };
    this.#server.addService(LinkService, {
      open: (stream: Stream) => {
        void this.#serveStream(stream);
      },
    });
  }

  /**
   * Starts to listen.
   *
   * @param address - host and port; port 0 chooses a free port
   * @returns the port; rejects when the address can't be bound
   */
  listen(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(address, ServerCredentials.createInsecure(), (err, port) => {
        if (err) reject(err);
        else resolve(port);
      });
    });
  }

  /** The open sessions. */
  get sessions(): readonly LinkSession[] {
    return [...this.#sessionsByEntry.values()];
  }

  /** Sends a frame to every connected entry. */
  broadcast(frame: AgentFramePayload): void {
    this.#sessionsByEntry.forEach((session) => session.send(frame));
  }

  /** Closes every session and the server. */
  close(): void {
    this.#sessionsByEntry.forEach((session) => session.close());
    this.#server.forceShutdown();
  }

  /** Reads a stream to its end. */
  async #serveStream(stream: Stream): Promise<void> {
    stream.on('error', () => undefined);
    const tracker = new HeartbeatTracker(this.#options.clock, this.#options.heartbeat);
    const timer = this.#startHeartbeats(stream, tracker);
    let session: LinkSession | undefined;
    try {
      for await (const message of stream as AsyncIterable<EntryFrame>) {
        tracker.onFrame();
        if (message.frame?.$case === 'hello')
          session = this.#openSession(message.frame.value, stream);
        else if (session?.isOpen) this.#dispatch(session, tracker, message.frame);
      }
    } catch {
      // The entry reconnects for whatever reason the stream ended.
    } finally {
      clearInterval(timer);
      if (session !== undefined) this.#closeSession(session);
      stream.end();
    }
  }

  #startHeartbeats(stream: Stream, tracker: HeartbeatTracker): NodeJS.Timeout {
    return setInterval(() => {
      if (tracker.isTimedOut()) {
        stream.destroy();
        return;
      }
      const heartbeat = tracker.createHeartbeat(this.#options.hello().configVersion);
      this.#write(stream, { $case: 'heartbeat', value: heartbeat });
    }, this.#options.heartbeat.intervalMs);
  }

  /** Writes a frame, which says that the target is leaving if it is. */
  #write(stream: Stream, frame: AgentFramePayload): void {
    const { leavingAgeMs } = this.#options.handlers;
    stream.write(
      leavingAgeMs === undefined ? { frame } : { frame, leavingAgeMs: Math.floor(leavingAgeMs) },
    );
  }

  #openSession(hello: EntryHello, stream: Stream): LinkSession {
    const key = `${hello.entry}/${hello.incarnation}`;
    const replaced = this.#sessionsByEntry.get(key);
    const session = new LinkSession(
      hello,
      (frame) => this.#write(stream, frame),
      () => stream.end(),
    );
    this.#sessionsByEntry.set(key, session);
    replaced?.close();
    session.send({ $case: 'hello', value: this.#options.hello() });
    this.#options.handlers.onOpen(session);
    return session;
  }

  #dispatch(session: LinkSession, tracker: HeartbeatTracker, frame: EntryFrame['frame']): void {
    if (frame === undefined) return;
    if (frame.$case !== 'heartbeat') {
      this.#options.handlers.onFrame(session, frame);
      return;
    }
    const since = tracker.onHeartbeat(frame.value);
    if (since === undefined) return;
    this.#options.handlers.onConfigVersion(session, frame.value.configVersion, since);
  }

  #closeSession(session: LinkSession): void {
    session.close();
    const key = `${session.hello.entry}/${session.hello.incarnation}`;
    if (this.#sessionsByEntry.get(key) === session) this.#sessionsByEntry.delete(key);
    this.#options.handlers.onClose(session);
  }
}
