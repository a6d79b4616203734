/** An attempt that this entry has sent to an agent: its response, as a queue of events. */
import {
  type AttemptId,
  type Failure,
  type IncarnationId,
  type RequestId,
  type RunState,
  type TargetId,
  createFailure,
  findCodeName,
} from '@hibiscushill/base';
import type { End, Header, NotRun, Segment } from '@hibiscushill/protocol';
import type { XXHash } from 'xxhash-wasm';

/** How many bytes of a response the agent may send before the caller has read them. */
export const RESPONSE_WINDOW_BYTES = 256 * 1024;

const HEX_RADIX = 16;

/** What happens to an attempt. `end` and `failed` are final; after `link-down` it may continue. */
export type AttemptEvent =
  | { readonly kind: 'head'; readonly status: number; readonly headers: readonly Header[] }
  | { readonly kind: 'chunk'; readonly data: Buffer }
  | { readonly kind: 'end'; readonly tokens: number; readonly segments: readonly Segment[] }
  | { readonly kind: 'failed'; readonly failure: Failure }
  | { readonly kind: 'revoked'; readonly started: boolean }
  | { readonly kind: 'link-down' };

/** The ids that identify an attempt in frames. */
export interface AttemptIdentity {
  readonly attempt: string;
  readonly incarnation: string;
  readonly request: string;
}

/** Sends an attempt's control frames to its agent. */
export interface AttemptLink {
  /** Lets the agent send more bytes of the response. */
  credit(attempt: AttemptId, bytes: number): void;
  /** Lets the agent drop the attempt; `billed` tells whether the attempt's usage counts. */
  acknowledge(attempt: OutgoingAttempt, billed: boolean): void;
  /** Stops the attempt at its target. */
  cancel(attempt: OutgoingAttempt): void;
  /** Stops receiving the attempt's frames; the agent keeps the response. */
  release(attempt: OutgoingAttempt): void;
  /** Asks the agent never to start the attempt. */
  revoke(attempt: OutgoingAttempt): void;
}

/** An attempt at one target. Repeated frames are ignored; the response's digest is checked. */
export class OutgoingAttempt {
  readonly id: AttemptId;

  readonly target: TargetId;

  readonly incarnation: IncarnationId;

  readonly request: RequestId;

  readonly #link: AttemptLink;

  readonly #hash: XXHash<bigint>;

  readonly #events: AttemptEvent[] = [];

  #notifyWaiter: (() => void) | undefined;

  #nextSeq = 0;

  #hasHead = false;

  #isDone = false;

  #isLinkDown = false;

  #tokens = 0;

  #unreportedBytes = 0;

  /**
   * @param run - the ids that identify the attempt
   * @param target - the target
   * @param link - the link to its agent
   * @param hash - a new hash, for the digest of the response
   */
  constructor(run: AttemptIdentity, target: TargetId, link: AttemptLink, hash: XXHash<bigint>) {
    this.id = run.attempt as AttemptId;
    this.incarnation = run.incarnation as IncarnationId;
    this.request = run.request as RequestId;
    this.target = target;
    this.#link = link;
    this.#hash = hash;
  }

  /** The sequence number of the next chunk that is expected. */
  get nextSeq(): number {
    return this.#nextSeq;
  }

  /** Whether the attempt has ended, failed or been cancelled. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Whether the link to the agent is down. */
  get isLinkDown(): boolean {
    return this.#isLinkDown;
  }

  /** The number of tokens in the response, as the agent counted them; zero before its end. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Whether an event is queued. */
  get hasEvent(): boolean {
    return this.#events.length > 0;
  }

  /** Removes and returns the next event, and waits for it if the queue is empty. */
  async nextEvent(): Promise<AttemptEvent> {
    await this.waitForEvent();
    return this.#events.shift() ?? { kind: 'link-down' };
  }

  /** Waits until an event is queued. */
  async waitForEvent(): Promise<void> {
    while (this.#events.length === 0) {
      await new Promise<void>((resolve) => {
        this.#notifyWaiter = resolve;
      });
    }
  }

  /**
   * Records that the caller has read bytes of the response. The agent gets the credit for them once
   * they add up to half a window.
   *
   * @param bytes - the number of bytes
   */
  reportConsumed(bytes: number): void {
    this.#unreportedBytes += bytes;
    if (this.#unreportedBytes < RESPONSE_WINDOW_BYTES / 2) return;
    this.#link.credit(this.id, this.#unreportedBytes);
    this.#unreportedBytes = 0;
  }

  /** Lets the agent drop the attempt; `billed` tells whether the attempt's usage counts. */
  acknowledge(billed: boolean): void {
    this.#link.acknowledge(this, billed);
  }

  /** Stops receiving; the agent keeps the response, so that it can be read again later. */
  release(): void {
    this.#link.release(this);
  }

  /** Stops the attempt at its target. Frames that still arrive are ignored. */
  cancel(): void {
    this.#isDone = true;
    this.#link.cancel(this);
  }

  /** Asks the agent never to start the attempt. A `revoked` event follows. */
  revoke(): void {
    this.#link.revoke(this);
  }

  /** Receives the head of the response. A repeated one is ignored. */
  receiveHead(status: number, headers: readonly Header[]): void {
    if (this.#hasHead || this.#isDone) return;
    this.#hasHead = true;
    this.#push({ kind: 'head', status, headers });
  }

  /** Receives a chunk of the response. A repeated one is ignored; a gap fails the attempt. */
  receiveChunk(seq: number, data: Buffer): void {
    if (this.#isDone || seq < this.#nextSeq) return;
    if (seq > this.#nextSeq) {
      this.#failBroken('a chunk of the response is missing');
      return;
    }
    this.#nextSeq += 1;
    this.#hash.update(data);
    this.#push({ kind: 'chunk', data });
  }

  /** Receives the end of the response, and checks the number of chunks and the digest. */
  receiveEnd(end: End): void {
    if (this.#isDone) return;
    if (end.code !== 0) {
      const name = findCodeName(end.code) ?? 'answer_broken';
      this.fail(createFailure(name, { detail: end.detail, run: 'may-have-run' }));
    } else if (
      end.count !== this.#nextSeq ||
      end.digest !== this.#hash.digest().toString(HEX_RADIX)
    ) {
      this.#failBroken('the digest of the response does not match');
    } else {
      this.#isDone = true;
      this.#tokens = end.tokens;
      this.#push({ kind: 'end', tokens: end.tokens, segments: end.segments });
    }
  }

  /** Receives the agent's refusal: the attempt did not run and never will. */
  receiveNotRun(notRun: NotRun): void {
    if (this.#isDone) return;
    const { retryAfterMs, detail } = notRun;
    const name = findCodeName(notRun.code) ?? 'internal';
    this.fail(createFailure(name, { detail, ...(retryAfterMs > 0 && { retryAfterMs }) }));
  }

  /** Receives the result of a revocation: whether the attempt had started. */
  receiveRevokeResult(started: boolean): void {
    if (this.#isDone) return;
    this.#push({ kind: 'revoked', started });
  }

  /** Records that the link is down; the attempt may continue once it is reopened. */
  markLinkDown(): void {
    this.#isLinkDown = true;
    if (!this.#isDone) this.#push({ kind: 'link-down' });
  }

  /** Records that the link is open again and the rest of the response was requested. */
  markLinkUp(): void {
    this.#isLinkDown = false;
    // The new link starts with a full window of its own.
    this.#unreportedBytes = 0;
  }

  /** Fails the attempt because the agent, or its state of the attempt, is lost. */
  failLost(detail: string): void {
    const run: RunState = 'may-have-run';
    const name = this.#hasHead ? 'answer_broken' : 'outcome_unknown';
    this.fail(createFailure(name, { detail, run }));
  }

  /** Ends the attempt with a failure. */
  fail(failure: Failure): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#push({ kind: 'failed', failure });
  }

  #failBroken(detail: string): void {
    this.#link.cancel(this);
    this.fail(createFailure('answer_broken', { detail, run: 'may-have-run' }));
  }

  #push(event: AttemptEvent): void {
    this.#events.push(event);
    this.#notifyWaiter?.();
  }
}
