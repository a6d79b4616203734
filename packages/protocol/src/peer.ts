/** Unary calls between entries, each with a deadline. */
import {
  Metadata,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  credentials,
  type sendUnaryData,
} from '@grpc/grpc-js';
import { type Failure, type Millis, createFailure } from '@hibiscushill/base';
import { ResultAsync, errAsync, okAsync } from 'neverthrow';

import { CLIENT_OPTIONS, SERVER_OPTIONS } from './channel-options';
import {
  type ForwardedCall,
  type ForwardedReply,
  PeerClient as PeerStub,
  type PeerMessage,
  PeerService,
} from './generated/link';

/** Callbacks that answer the calls of peers. */
export interface PeerHandlers {
  /** Records a peer's state and returns this entry's state. */
  readonly exchange: (message: PeerMessage) => PeerMessage;
  /** Serves a trainer's call that a peer forwarded; the signal aborts when the peer cancels it. */
  readonly forward: (call: ForwardedCall, signal: AbortSignal) => Promise<ForwardedReply>;
}

/** A client for the calls to one peer. */
export class PeerClient {
  readonly address: string;

  readonly #timeoutMs: Millis;

  #stub: PeerStub | undefined;

  /**
   * @param address - the address at which the peer serves other entries
   * @param timeoutMs - the timeout of an exchange, in milliseconds
   */
  constructor(address: string, timeoutMs: Millis = 800) {
    this.address = address;
    this.#timeoutMs = timeoutMs;
  }

  /**
   * Exchanges state with the peer. A failure closes the connection, so that an unresponsive
   * connection makes only one exchange time out.
   *
   * @param message - this entry's state
   * @returns the peer's state, or the failure `target_down`
   */
  exchange(message: PeerMessage): ResultAsync<PeerMessage, Failure> {
    this.#stub ??= this.#createStub();
    const stub = this.#stub;
    const response = new Promise<PeerMessage | undefined>((resolve) => {
      const deadline = Date.now() + this.#timeoutMs;
      stub.exchange(message, new Metadata(), { deadline }, (err, res) => {
        resolve(err ? undefined : res);
      });
    });
    return ResultAsync.fromSafePromise(response).andThen((res) => {
      if (res !== undefined) return okAsync(res);
      this.close();
      return errAsync(createFailure('target_down'));
    });
  }

  /** Closes the connection. Another exchange opens a new one. */
  close(): void {
    this.#stub?.close();
    this.#stub = undefined;
  }

  /**
   * Forwards a trainer's call to the peer, on a connection of its own.
   *
   * @param call - the call
   * @param options - the timeout in milliseconds, and a signal that cancels the call
   * @returns the peer's reply, or the failure `not_owner`, after which the call may have run
   */
  forward(
    call: ForwardedCall,
    options: { timeoutMs: Millis; signal: AbortSignal },
  ): ResultAsync<ForwardedReply, Failure> {
    const stub = this.#createStub();
    const response = new Promise<ForwardedReply | undefined>((resolve) => {
      const deadline = Date.now() + options.timeoutMs;
      const pending = stub.forward(call, new Metadata(), { deadline }, (err, res) => {
        stub.close();
        resolve(err ? undefined : res);
      });
      options.signal.addEventListener('abort', () => pending.cancel(), { once: true });
    });
    return ResultAsync.fromSafePromise(response).andThen((res) =>
      res === undefined
        ? errAsync(createFailure('not_owner', { run: 'may-have-run' }))
        : okAsync(res),
    );
  }

  #createStub(): PeerStub {
    return new PeerStub(this.address, credentials.createInsecure(), CLIENT_OPTIONS);
  }
}

/** A server for the calls of peers. */
export class PeerServer {
  readonly #server = new Server(SERVER_OPTIONS);

  /** @param handlers - the callbacks that answer the calls */
  constructor(handlers: PeerHandlers) {
    this.#server.addService(PeerService, {
      exchange: (
        call: ServerUnaryCall<PeerMessage, PeerMessage>,
        callback: sendUnaryData<PeerMessage>,
      ) => callback(null, handlers.exchange(call.request)),
      forward: (
        call: ServerUnaryCall<ForwardedCall, ForwardedReply>,
        callback: sendUnaryData<ForwardedReply>,
      ) => {
        const cancelled = new AbortController();
        call.once('cancelled', () => cancelled.abort());
        void handlers
          .forward(call.request, cancelled.signal)
          .then((reply) => callback(null, reply));
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

  /** Closes the server and aborts open calls. */
  close(): void {
    this.#server.forceShutdown();
  }
}
