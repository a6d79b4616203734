/** The agent's side of its links: one task reads each entry's stream. */
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js';
import type { Clock, MonoTime } from '@hibiscushill/base';

import { SERVER_OPTIONS } from './channel-options';
import {
  type AgentFrame,
  type AgentHello,
  type EntryFrame,
  type EntryHello,
  LinkService,
} from './generated/link';
import { DEFAULT_HEARTBEAT_OPTIONS, type HeartbeatOptions, HeartbeatTracker } from './heartbeat';
import type { ToAgent, ToEntry } from './link-client';

type Stream = ServerDuplexStream<EntryFrame, AgentFrame>;

/** One entry's stream, once it has said who it is. */
export class LinkSession {
  readonly hello: EntryHello;

  readonly #stream: Stream;

  #isOpen = true;

  /**
   * @param hello - the entry's first frame
   * @param stream - the gRPC stream
   */
  constructor(hello: EntryHello, stream: Stream) {
    this.hello = hello;
    this.#stream = stream;
  }

  /**
   * Sends a frame.
   *
   * @param frame - the frame's content
   * @returns false when the session is over and nothing was sent
   */
  send(frame: ToEntry): boolean {
    if (!this.#isOpen) return false;
    this.#stream.write({ frame });
    return true;
  }

  /** Ends the session. Frames that arrive later are dropped. */
  close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#stream.end();
  }

  /** Tells whether frames can still be sent. */
  get isOpen(): boolean {
    return this.#isOpen;
  }
}

/** What the agent does with its links. Calls for one session come one at a time, in order. */
export interface LinkServerHandlers {
  onOpen(session: LinkSession): void;
  onFrame(session: LinkSession, frame: ToAgent): void;
  /** The entry had this configuration version at or after the time given. */
  onVersion(session: LinkSession, version: number, since: MonoTime): void;
  onClose(session: LinkSession): void;
}

/** How the agent's server is made. */
export interface LinkServerOptions {
  readonly clock: Clock;
  readonly hello: () => AgentHello;
  readonly handlers: LinkServerHandlers;
  readonly heartbeat?: HeartbeatOptions;
}

/** The server that entries open their links to. */
export class LinkServer {
  readonly #options: Required<LinkServerOptions>;

  readonly #server = new Server(SERVER_OPTIONS);

  // An entry has one session at a time: what an older connection still delivers must not count.
  readonly #sessions = new Map<string, LinkSession>();

  /** @param options - what to say first and who is told of frames */
  constructor(options: LinkServerOptions) {
    this.#options = { heartbeat: DEFAULT_HEARTBEAT_OPTIONS, ...options };
    this.#server.addService(LinkService, {
      open: (stream: Stream) => {
        void this.#serve(stream);
      },
    });
  }

  /**
   * Starts to listen.
   *
   * @param address - host and port; port 0 takes a free one
   * @returns the port
   */
  listen(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(address, ServerCredentials.createInsecure(), (err, port) => {
        if (err) reject(err);
        else resolve(port);
      });
    });
  }

  /** Lists the open sessions. */
  get sessions(): readonly LinkSession[] {
    return [...this.#sessions.values()];
  }

  /** Sends a frame to every entry. */
  broadcast(frame: ToEntry): void {
    this.#sessions.forEach((session) => session.send(frame));
  }

  /** Closes every session and the server. */
  close(): void {
    this.#sessions.forEach((session) => session.close());
    this.#server.forceShutdown();
  }

  async #serve(stream: Stream): Promise<void> {
    stream.on('error', () => undefined);
    const tracker = new HeartbeatTracker(this.#options.clock, this.#options.heartbeat);
    const timer = this.#startHeartbeats(stream, tracker);
    let session: LinkSession | undefined;
    try {
      for await (const message of stream as AsyncIterable<EntryFrame>) {
        tracker.onFrame();
        if (message.frame?.$case === 'hello') session = this.#open(message.frame.value, stream);
        else if (session?.isOpen) this.#dispatch(session, tracker, message.frame);
      }
    } catch {
      // The stream's end is what counts, whatever ended it.
    } finally {
      clearInterval(timer);
      if (session !== undefined) this.#close(session);
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
      stream.write({ frame: { $case: 'heartbeat', value: heartbeat } });
    }, this.#options.heartbeat.intervalMs);
  }

  #open(hello: EntryHello, stream: Stream): LinkSession {
    const key = `${hello.entry}/${hello.incarnation}`;
    const older = this.#sessions.get(key);
    const session = new LinkSession(hello, stream);
    this.#sessions.set(key, session);
    older?.close();
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
    this.#options.handlers.onVersion(session, frame.value.configVersion, since);
  }

  #close(session: LinkSession): void {
    session.close();
    const key = `${session.hello.entry}/${session.hello.incarnation}`;
    if (this.#sessions.get(key) === session) this.#sessions.delete(key);
    this.#options.handlers.onClose(session);
  }
}
