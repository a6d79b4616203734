/** One try of a request at one target. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

import type { CallerReply } from './caller-port';
import {
  type AbortCall,
  type CallFailure,
  TargetAnswerSink,
  type TargetAnswerHead,
  type TargetCall,
  type TargetClient,
} from './target-port';
import type { TargetStats } from './target-stats';

// Statuses that a target gives when the request reached the wrong incarnation or version.
const STATUS_MISDIRECTED = 421;
const FIRST_ERROR_STATUS = 500;
// An answer above this is passed on as it arrives, so that memory stays bounded.
const BUFFER_BYTES = 1_000_000;

/** How an attempt ended. */
export type AttemptResult =
  | { readonly type: 'answered'; readonly head: TargetAnswerHead; readonly body: Buffer }
  | { readonly type: 'streaming'; readonly head: TargetAnswerHead }
  | { readonly type: 'not-run'; readonly reason: string }
  | { readonly type: 'lost'; readonly reason: string };

/** What an attempt runs on. */
export interface AttemptOptions {
  readonly client: TargetClient;
  readonly stats: TargetStats;
  readonly clock: Clock;
}

/** Collects a target's answer, or passes a stream on once it is chosen. */
export class Attempt extends TargetAnswerSink {
  readonly call: TargetCall;

  readonly result: Promise<AttemptResult>;

  readonly #options: AttemptOptions;

  readonly #sentAt: MonoTime;

  readonly #abort: AbortCall;

  #resolve: (result: AttemptResult) => void = () => undefined;

  #head: TargetAnswerHead | undefined;

  #parts: Buffer[] = [];

  #bytes = 0;

  #relay: CallerReply | undefined;

  #onRelayEnd: (reason: string | undefined) => void = () => undefined;

  #isOver = false;

  #earlyEnd: { readonly reason: string | undefined } | undefined;

  /**
   * @param options - the client and where outcomes are recorded
   * @param call - what is sent
   */
  constructor(options: AttemptOptions, call: TargetCall) {
    super();
    this.#options = options;
    this.call = call;
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#sentAt = options.clock.mono();
    options.stats.recordSent(call.target.id);
    this.#abort = options.client.call(call, this);
  }

  /** How long ago it was sent, in milliseconds. */
  get ageMs(): Millis {
    return this.#options.clock.mono() - this.#sentAt;
  }

  /** Ends it without an outcome that tells about the target. */
  cancel(): void {
    if (this.#isOver) return;
    this.#finish();
    this.#abort();
    this.#resolve({ type: 'lost', reason: 'cancelled' });
  }

  /** Ends it because the target kept silent. */
  abandon(): void {
    if (this.#isOver) return;
    this.#finish('silent');
    this.#abort();
    this.#resolve({ type: 'lost', reason: 'silent' });
  }

  /**
   * Passes a stream on to the caller from now on.
   *
   * @param reply - the caller
   * @param onEnd - called at the end, with a reason when the stream isn't whole
   */
  relayTo(reply: CallerReply, onEnd: (reason: string | undefined) => void): void {
    if (!this.#head) return;
    this.#relay = reply;
    this.#onRelayEnd = onEnd;
    reply.startRelay(this.#head);
    this.#parts.forEach((part) => reply.write(part));
    this.#parts = [];
    if (this.#earlyEnd) this.#endRelay(this.#earlyEnd.reason);
  }

  override onHead(head: TargetAnswerHead): void {
    const { target, id } = this.call;
    if (this.#isOver) return;
    if (head.echo !== undefined && head.echo !== id) {
      // An answer to another request came late on a kept connection.
      this.#finish('failed');
      this.#abort();
      this.#resolve({ type: 'lost', reason: 'the answer belongs to another request' });
      return;
    }
    this.#head = head;
    if (head.load) this.#options.stats.takeLoad(target.id, head.load);
    if (head.isEventStream && head.status < 300) this.#resolve({ type: 'streaming', head });
  }

  override onData(chunk: Buffer): void {
    if (this.#isOver) return;
    if (this.#relay) {
      this.#relay.write(chunk);
      return;
    }
    this.#parts.push(chunk);
    this.#bytes += chunk.length;
    if (this.#bytes > BUFFER_BYTES && this.#head) {
      this.#resolve({ type: 'streaming', head: this.#head });
    }
  }

  override onEnd(): void {
    const head = this.#head;
    if (this.#isOver || !head) return;
    const isError = head.status >= FIRST_ERROR_STATUS && !head.isNotRun;
    this.#finish(isError ? 'failed' : 'answered', isError ? undefined : this.ageMs);
    if (head.isNotRun || head.status === STATUS_MISDIRECTED) {
      this.#resolve({ type: 'not-run', reason: `status ${head.status}` });
    } else {
      this.#resolve({ type: 'answered', head, body: Buffer.concat(this.#parts) });
    }
    this.#endRelay(undefined);
  }

  override onFailure(failure: CallFailure): void {
    if (this.#isOver) return;
    this.#finish('failed');
    const type = failure.run === 'not-run' ? 'not-run' : 'lost';
    this.#resolve({ type, reason: failure.reason });
    this.#endRelay(failure.reason);
  }

  #endRelay(reason: string | undefined): void {
    if (!this.#relay) {
      this.#earlyEnd = { reason };
      return;
    }
    if (reason === undefined) this.#relay.end();
    else this.#relay.break();
    this.#onRelayEnd(reason);
  }

  #finish(outcome?: 'answered' | 'failed' | 'silent', tookMs?: Millis): void {
    this.#isOver = true;
    this.#options.stats.recordEnded(this.call.target.id, outcome, tookMs);
  }
}
