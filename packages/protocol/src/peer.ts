/** Exchanges between entries: a unary call with a deadline. */
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

/** What an entry answers to its peers. */
export interface PeerHandlers {
  readonly exchange: (message: PeerMessage) => PeerMessage;
  readonly forward: (call: ForwardedCall, signal: AbortSignal) => Promise<ForwardedReply>;
}

/** A peer of this entry. */
export class PeerClient {
  readonly address: string;

  readonly #timeoutMs: Millis;

  #stub: PeerStub | undefined;

  /**
   * @param address - the peer's inner address
   * @param timeoutMs - the deadline of an exchange, in milliseconds
   */
  constructor(address: string, timeoutMs: Millis = 800) {
    this.address = address;
    this.#timeoutMs = timeoutMs;
  }

  /**
   * Exchanges messages. After a failure the next exchange has a new connection, so that a silent one
   * costs one deadline.
   *
   * @param message - what to say
   * @returns the peer's answer
   */
  exchange(message: PeerMessage): ResultAsync<PeerMessage, Failure> {
    this.#stub ??= this.#createStub();
    const stub = this.#stub;
    const answer = new Promise<PeerMessage | undefined>((resolve) => {
      const deadline = Date.now() + this.#timeoutMs;
      stub.exchange(message, new Metadata(), { deadline }, (err, res) => {
        resolve(err ? undefined : res);
      });
    });
    return ResultAsync.fromSafePromise(answer).andThen((res) => {
      if (res !== undefined) return okAsync(res);
      this.close();
      return errAsync(createFailure('target_down'));
    });
  }

  /** Closes the connection; another exchange opens it again. */
  close(): void {
    this.#stub?.close();
    this.#stub = undefined;
  }

  /**
   * Passes a trainer's call on.
   *
   * @param call - the call
   * @param options - the deadline in milliseconds, and an early end
   * @returns the owner's answer
   */
  forward(
    call: ForwardedCall,
    options: { timeoutMs: Millis; signal: AbortSignal },
  ): ResultAsync<ForwardedReply, Failure> {
    const stub = this.#createStub();
    const answer = new Promise<ForwardedReply | undefined>((resolve) => {
      const deadline = Date.now() + options.timeoutMs;
      const sent = stub.forward(call, new Metadata(), { deadline }, (err, res) => {
        stub.close();
        resolve(err ? undefined : res);
      });
      options.signal.addEventListener('abort', () => sent.cancel(), { once: true });
    });
    return ResultAsync.fromSafePromise(answer).andThen((res) =>
      res === undefined
        ? errAsync(createFailure('not_owner', { run: 'may-have-run' }))
        : okAsync(res),
    );
  }

  #createStub(): PeerStub {
    return new PeerStub(this.address, credentials.createInsecure(), CLIENT_OPTIONS);
  }
}

/** The server that peers call. */
export class PeerServer {
  readonly #server = new Server(SERVER_OPTIONS);

  /** @param handlers - what is answered */
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
        const gone = new AbortController();
        call.once('cancelled', () => gone.abort());
        void handlers.forward(call.request, gone.signal).then((reply) => callback(null, reply));
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

  /** Closes the server at once. */
  close(): void {
    this.#server.forceShutdown();
  }
}
