/** One attempt as the entry sees it: the agent's frames in order, each once. */
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

/** How many bytes of an answer the agent may send ahead of the caller. */
export const WINDOW_BYTES = 256 * 1024;

const HEX = 16;

/** What happens to an attempt. `failed` is final; `down` means that its link is broken just now. */
export type AttemptEvent =
  | { readonly kind: 'head'; readonly status: number; readonly headers: readonly Header[] }
  | { readonly kind: 'chunk'; readonly data: Buffer }
  | { readonly kind: 'end'; readonly tokens: number; readonly segments: readonly Segment[] }
  | { readonly kind: 'failed'; readonly failure: Failure }
  | { readonly kind: 'revoked'; readonly started: boolean }
  | { readonly kind: 'down' };

/** How an attempt is named in frames. */
export interface AttemptName {
  readonly attempt: string;
  readonly incarnation: string;
  readonly request: string;
}

/** What an attempt asks of its link. */
export interface AttemptLink {
  credit(attempt: AttemptId, bytes: number): void;
  acknowledge(attempt: OutgoingAttempt, billed: boolean): void;
  cancel(attempt: OutgoingAttempt): void;
  forget(attempt: OutgoingAttempt): void;
  revoke(attempt: OutgoingAttempt): void;
}

/** An attempt at one target. */
export class OutgoingAttempt {
  readonly id: AttemptId;

  readonly target: TargetId;

  readonly incarnation: IncarnationId;

  readonly request: RequestId;

  readonly #link: AttemptLink;

  readonly #hash: XXHash<bigint>;

  readonly #events: AttemptEvent[] = [];

  #wake: (() => void) | undefined;

  #nextSeq = 0;

  #hasHead = false;

  #isDone = false;

  #isDown = false;

  #tokens = 0;

  #takenBytes = 0;

  /**
   * @param run - how the attempt is named in frames
   * @param target - the target
   * @param link - the link to its agent
   * @param hash - a fresh hash for the answer's digest
   */
  constructor(run: AttemptName, target: TargetId, link: AttemptLink, hash: XXHash<bigint>) {
    this.id = run.attempt as AttemptId;
    this.incarnation = run.incarnation as IncarnationId;
    this.request = run.request as RequestId;
    this.target = target;
    this.#link = link;
    this.#hash = hash;
  }

  /** The first chunk that has not arrived. */
  get nextSeq(): number {
    return this.#nextSeq;
  }

  /** Whether the attempt has come to its end. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Whether the link is broken just now. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** The tokens of the answer as the agent counted them; zero before its end. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Whether an event is waiting. */
  get hasEvent(): boolean {
    return this.#events.length > 0;
  }

  /** Takes the next event, and waits for it if need be. */
  async next(): Promise<AttemptEvent> {
    await this.ready();
    return this.#events.shift() ?? { kind: 'down' };
  }

  /** Waits until an event can be taken. */
  async ready(): Promise<void> {
    while (this.#events.length === 0) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  /**
   * Notes that the caller has taken bytes. The agent is told of them half a window at a time.
   *
   * @param bytes - how many
   */
  credit(bytes: number): void {
    this.#takenBytes += bytes;
    if (this.#takenBytes < WINDOW_BYTES / 2) return;
    this.#link.credit(this.id, this.#takenBytes);
    this.#takenBytes = 0;
  }

  /** Lets the agent forget the attempt. */
  acknowledge(billed: boolean): void {
    this.#link.acknowledge(this, billed);
  }

  /** Leaves the answer with the agent, which keeps it for a later attempt to read. */
  leave(): void {
    this.#link.forget(this);
  }

  /** Stops the work. Nothing that still arrives counts. */
  cancel(): void {
    this.#isDone = true;
    this.#link.cancel(this);
  }

  /** Asks the agent never to start the attempt. A `revoked` event follows. */
  revoke(): void {
    this.#link.revoke(this);
  }

  /** Takes the head of the answer; a repeated one is ignored. */
  takeHead(status: number, headers: readonly Header[]): void {
    if (this.#hasHead || this.#isDone) return;
    this.#hasHead = true;
    this.#push({ kind: 'head', status, headers });
  }

  /** Takes a piece of the answer; a repeated one is ignored. */
  takeChunk(seq: number, data: Buffer): void {
    if (this.#isDone || seq < this.#nextSeq) return;
    if (seq > this.#nextSeq) {
      this.#failBroken('a piece is missing');
      return;
    }
    this.#nextSeq += 1;
    this.#hash.update(data);
    this.#push({ kind: 'chunk', data });
  }

  /** Takes the end of the answer and checks that the answer is whole. */
  takeEnd(end: End): void {
    if (this.#isDone) return;
    if (end.code !== 0) {
      const name = findCodeName(end.code) ?? 'answer_broken';
      this.fail(createFailure(name, { detail: end.detail, run: 'may-have-run' }));
    } else if (end.count !== this.#nextSeq || end.digest !== this.#hash.digest().toString(HEX)) {
      this.#failBroken('the digest differs');
    } else {
      this.#isDone = true;
      this.#tokens = end.tokens;
      this.#push({ kind: 'end', tokens: end.tokens, segments: end.segments });
    }
  }

  /** Takes the agent's word that the attempt did not run and never will. */
  takeNotRun(notRun: NotRun): void {
    if (this.#isDone) return;
    const { retryAfterMs, detail } = notRun;
    const name = findCodeName(notRun.code) ?? 'internal';
    this.fail(createFailure(name, { detail, ...(retryAfterMs > 0 && { retryAfterMs }) }));
  }

  /** Takes the answer to a revocation. */
  takeRevoked(started: boolean): void {
    if (this.#isDone) return;
    this.#push({ kind: 'revoked', started });
  }

  /** Notes that the link broke; the attempt may go on over the next one. */
  takeDown(): void {
    this.#isDown = true;
    if (!this.#isDone) this.#push({ kind: 'down' });
  }

  /** Notes that a new link has asked for the rest of the answer. */
  takeUp(): void {
    this.#isDown = false;
    // The new link's window begins empty.
    this.#takenBytes = 0;
  }

  /** Notes that the agent, or its memory of the attempt, is gone. */
  takeLost(detail: string): void {
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
    this.#wake?.();
  }
}
