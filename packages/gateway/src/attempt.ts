/** One attempt to run a request at one target. */
import { type Clock, GrowingBuffer, type Millis, type MonoTime } from '@hibiscushill/base';
import {
  type ByteBudget,
  type ResponseEnd,
  type TargetOutcome,
  describeMismatch,
  findTruncation,
  judgeAnswer,
} from '@hibiscushill/routing';

import type { CallerReply } from './caller-port';
import {
  type AbortCall,
  type CallFailure,
  type ResponseFlow,
  TargetResponseSink,
  type TargetResponseHead,
  type TargetCall,
  type TargetClient,
} from './target-port';
import type { TargetStats } from './target-stats';

// The target has another incarnation or weight version than the request expects.
const STATUS_MISDIRECTED = 421;
const MIN_ERROR_STATUS = 500;
// A larger response is streamed to the caller as it arrives, which bounds the memory it takes.
const MAX_BUFFER_BYTES = 1_000_000;

/** A response of which all has arrived. */
export interface CompleteResponse {
  readonly head: TargetResponseHead;
  readonly body: Buffer;
  /** Frees the memory of the body, which is empty from then on. */
  readonly release: () => void;
}

/** How an attempt ended; after `lost`, the target may have run the request. */
export type AttemptResult =
  | ({ readonly type: 'answered' } & CompleteResponse)
  | { readonly type: 'streaming'; readonly head: TargetResponseHead }
  | { readonly type: 'not-run'; readonly reason: string }
  | { readonly type: 'lost'; readonly reason: string };

/**
 * What the end of an attempt says about its request: a target responded completely (`answered`) or
 * stated that it has not run it (`not-run`); the connection ended before the response did
 * (`broken`); or nothing, since the gateway ended the attempt or the response was another one's.
 */
export type AttemptEnd = 'answered' | 'not-run' | 'broken' | 'unknown';

/** The client, and where the outcome is recorded. */
export interface AttemptOptions {
  readonly client: TargetClient;
  readonly stats: TargetStats;
  readonly clock: Clock;
  /** What the attempts of the process keep together of responses that aren't passed on yet. */
  readonly buffers: ByteBudget;
  /** Called once, when the response is complete or the attempt has ended without one. */
  readonly onEnded?: (attempt: Attempt, end: AttemptEnd) => void;
}

/**
 * Collects a target's response, or streams it to the caller once the forwarder has chosen this
 * attempt.
 */
export class Attempt extends TargetResponseSink {
  readonly call: TargetCall;

  readonly result: Promise<AttemptResult>;

  readonly sentAt: MonoTime;

  readonly #options: AttemptOptions;

  readonly #abort: AbortCall;

  #resolve: (result: AttemptResult) => void = () => undefined;

  #head: TargetResponseHead | undefined;

  #flow: ResponseFlow | undefined;

  #isPaused = false;

  #isOverdue = false;

  /** Ends the wait for the deadline of a response that is being relayed. */
  #deadlineStop: AbortController | undefined;

  /** What was collected; it is freed when it was passed on rather than by a garbage collection. */
  readonly #body = new GrowingBuffer(MAX_BUFFER_BYTES);

  /** What arrived after it and has no room in it. */
  #overflow: Buffer[] = [];

  /** How many of these bytes count against the budget. */
  #budgetedBytes = 0;

  #reply: CallerReply | undefined;

  #onRelayEnd: (reason: string | undefined) => void = () => undefined;

  #hasEnded = false;

  #endBeforeRelay: { readonly reason: string | undefined } | undefined;

  /**
   * @param options - the client and where outcomes are recorded
   * @param call - the request to send
   */
  constructor(options: AttemptOptions, call: TargetCall) {
    super();
    this.#options = options;
    this.call = call;
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.sentAt = options.clock.mono();
    options.stats.recordSent(call.target.id, this.sentAt);
    this.#abort = options.client.call(call, this);
  }

  /** The status of the response; undefined before its head has arrived. */
  get status(): number | undefined {
    return this.#head?.status;
  }

  /** Whether its response is complete, or it ended without one. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** How long ago the request was sent, in milliseconds. */
  get ageMs(): Millis {
    return this.#options.clock.mono() - this.sentAt;
  }

  /** Ends the attempt without recording an outcome for the target. */
  cancel(): void {
    if (this.#hasEnded) return;
    this.#finish('unknown');
    this.#abort();
    if (!this.#reply) this.#body.release();
    this.#resolve({ type: 'lost', reason: 'cancelled' });
  }

  /** Ends the attempt because the target did not respond in time. */
  timeOut(): void {
    if (this.#hasEnded) return;
    this.#finish('unknown', 'silent');
    this.#abort();
    this.#resolve({ type: 'lost', reason: 'silent' });
  }

  /**
   * Relays a streaming response to the caller, from its beginning. The target has to wait while the
   * caller reads more slowly than it writes. At the deadline the relay ends, but for a stream of
   * events that its caller reads in time.
   *
   * @param reply - the response to the caller
   * @param onEnd - called at the end, with a reason if the stream is incomplete
   */
  relayTo(reply: CallerReply, onEnd: (reason: string | undefined) => void): void {
    if (!this.#head) return;
    this.#reply = reply;
    this.#onRelayEnd = onEnd;
    reply.startResponse(this.#head);
    const isWritable = this.#writeCollected(reply);
    this.#releaseBuffers();
    if (this.#endBeforeRelay) {
      this.#endRelay(this.#endBeforeRelay.reason);
      return;
    }
    reply.onWritable(() => this.#resume());
    if (isWritable) this.#resume();
    else this.#pause();
    void this.#waitForDeadline();
  }

  override onHead(head: TargetResponseHead, flow?: ResponseFlow): void {
    const { target, id } = this.call;
    if (this.#hasEnded) return;
    const kind = judgeAnswer(head, id);
    if (kind !== 'own') {
      this.#finish('unknown', 'failed');
      this.#abort();
      this.#resolve({ type: 'lost', reason: describeMismatch(head, kind) });
      return;
    }
    this.#head = head;
    this.#flow = flow;
    if (head.load) this.#options.stats.recordLoad(target.id, head.load, this.sentAt);
    if (head.isEventStream && head.status < 300) this.#resolve({ type: 'streaming', head });
  }

  override onData(chunk: Buffer): void {
    if (this.#hasEnded) return;
    if (this.#reply) {
      if (!this.#reply.write(chunk)) this.#pause();
      return;
    }
    if (this.#hasRoom(chunk.length) && this.#options.buffers.take(chunk.length)) {
      this.#budgetedBytes += chunk.length;
      this.#body.add(chunk);
      return;
    }
    this.#overflow.push(chunk);
    if (!this.#head) return;
    this.#pause();
    this.#resolve({ type: 'streaming', head: this.#head });
  }

  override onEnd(end: ResponseEnd): void {
    const head = this.#head;
    if (this.#hasEnded || !head) return;
    const truncation = findTruncation(end, this.call.resumeAfter !== undefined);
    if (truncation !== undefined) {
      this.onFailure({ run: 'may-have-run', reason: truncation });
      return;
    }
    const isError = head.status >= MIN_ERROR_STATUS && !head.hasNotRun;
    const hasNotRun = head.hasNotRun || head.status === STATUS_MISDIRECTED;
    this.#finish(
      hasNotRun ? 'not-run' : 'answered',
      isError ? 'failed' : 'answered',
      isError ? undefined : this.ageMs,
    );
    if (hasNotRun) {
      this.#resolve({ type: 'not-run', reason: `status ${head.status}` });
    } else {
      const body = this.#body.toBuffer();
      this.#resolve({ type: 'answered', head, body, release: () => this.#body.release() });
    }
    this.#endRelay(undefined);
  }

  override onFailure(failure: CallFailure): void {
    if (this.#hasEnded) return;
    this.#finish(failure.run === 'not-run' ? 'not-run' : 'broken', 'failed');
    const type = failure.run === 'not-run' ? 'not-run' : 'lost';
    this.#resolve({ type, reason: failure.reason });
    this.#endRelay(failure.reason);
  }

  #hasRoom(bytes: number): boolean {
    return this.#overflow.length === 0 && this.#body.bytes + bytes <= MAX_BUFFER_BYTES;
  }

  /** Returns false if the caller reads more slowly than this is written. */
  #writeCollected(reply: CallerReply): boolean {
    const body = this.#body.toBuffer();
    const isWritable = body.length === 0 || reply.write(body, () => this.#body.release());
    const results = this.#overflow.map((chunk) => reply.write(chunk));
    this.#overflow = [];
    return results.at(-1) ?? isWritable;
  }

  #pause(): void {
    this.#isPaused = true;
    this.#flow?.pause();
    if (this.#isOverdue) this.#cutRelay();
  }

  #resume(): void {
    this.#isPaused = false;
    this.#flow?.resume();
  }

  async #waitForDeadline(): Promise<void> {
    this.#deadlineStop = new AbortController();
    const leftMs = Math.max(0, this.call.deadlineMs - this.ageMs);
    await this.#options.clock.sleep(leftMs, this.#deadlineStop.signal);
    this.#isOverdue = true;
    if (this.#isPaused || !this.#head?.isEventStream) this.#cutRelay();
  }

  /** Ends a response at its deadline, which says nothing about the target. */
  #cutRelay(): void {
    if (this.#hasEnded) return;
    this.#finish('unknown');
    this.#abort();
    this.#endRelay('the response had not been passed on at its deadline');
  }

  #endRelay(reason: string | undefined): void {
    if (!this.#reply) {
      this.#endBeforeRelay = { reason };
      return;
    }
    if (reason === undefined) this.#reply.end();
    else this.#reply.abort();
    this.#onRelayEnd(reason);
  }

  #releaseBuffers(): void {
    this.#options.buffers.release(this.#budgetedBytes);
    this.#budgetedBytes = 0;
  }

  #finish(end: AttemptEnd, outcome?: TargetOutcome, tookMs?: Millis): void {
    this.#hasEnded = true;
    this.#deadlineStop?.abort();
    this.#releaseBuffers();
    this.#options.stats.recordEnded(this.call.target.id, outcome, tookMs, this.sentAt);
    this.#options.onEnded?.(this, end);
  }
}
