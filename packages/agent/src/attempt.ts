/** An attempt at the agent: its state, and its response until the entry has acknowledged it. */
import { type AttemptId, type MonoTime, RESULT_CODES } from '@hibiscushill/base';
import type { End, Header, LinkSession, NotRun, Run } from '@hibiscushill/protocol';

/** The state of an attempt. `finished` and `refused` are final. */
export type AttemptState = 'receiving' | 'queued' | 'running' | 'finished' | 'refused';

interface StoredChunk {
  readonly seq: number;
  readonly data: Buffer;
}

interface StoredHead {
  readonly status: number;
  readonly headers: Header[];
}

type EndFields = Omit<End, 'attempt'>;

const CANCELLED_END: EndFields = {
  digest: '',
  tokens: 0,
  segments: [],
  code: RESULT_CODES.cancelled.code,
  detail: '',
  count: 0,
};

/** An attempt and the frames of its response, which are sent again after a reconnect. */
export class Attempt {
  readonly id: AttemptId;

  readonly run: Run;

  readonly deadline: MonoTime;

  #state: AttemptState = 'receiving';

  /** The incarnation of the entry that sent the attempt, or that attached to it last. */
  entry: string;

  #settledAt: MonoTime | undefined;

  readonly #cancelController = new AbortController();

  #session: LinkSession | undefined;

  #body: Buffer[];

  #head: StoredHead | undefined;

  #chunks: StoredChunk[] = [];

  #nextSeq = 0;

  #storedBytes = 0;

  #windowBytes: number;

  #unconsumedBytes = 0;

  #end: EndFields | undefined;

  #resumeFrom = 0;

  #refusal: NotRun | undefined;

  #notifyCredit: (() => void) | undefined;

  readonly #followers = new Set<Attempt>();

  // The attempt whose response this one follows.
  #leader: Attempt | undefined;

  #isCancelled = false;

  #isResponseDropped = false;

  readonly #onStoredBytesChanged: (bytes: number) => void;

  /**
   * @param run - the run frame of the entry
   * @param session - the session with the entry
   * @param deadline - when the caller stops waiting
   * @param onStoredBytesChanged - called with the number of bytes of the response that were stored,
   *   or, negative, dropped
   */
  constructor(
    run: Run,
    session: LinkSession,
    deadline: MonoTime,
    onStoredBytesChanged: (bytes: number) => void = () => undefined,
  ) {
    this.#onStoredBytesChanged = onStoredBytesChanged;
    this.id = run.attempt as AttemptId;
    this.run = run;
    this.deadline = deadline;
    this.#session = session;
    this.entry = session.hello.incarnation;
    this.#windowBytes = run.creditBytes;
    this.#body = run.body.length > 0 ? [run.body] : [];
  }

  /** The state of the attempt. */
  get state(): AttemptState {
    return this.#state;
  }

  /** When the attempt was settled: acknowledged, cancelled, refused or abandoned by its entry. */
  get settledAt(): MonoTime | undefined {
    return this.#settledAt;
  }

  /** The session that the response is sent to; undefined while the entry is disconnected. */
  get session(): LinkSession | undefined {
    return this.#session;
  }

  /** Aborts when the attempt is cancelled. */
  get signal(): AbortSignal {
    return this.#cancelController.signal;
  }

  /** The request's body. */
  get body(): Buffer {
    return Buffer.concat(this.#body);
  }

  /** The number of bytes of the response that are stored. */
  get storedBytes(): number {
    return this.#storedBytes;
  }

  /** Whether the attempt has finished or was refused. */
  get isDone(): boolean {
    return this.#state === 'finished' || this.#state === 'refused';
  }

  /** Whether the response was received completely. */
  get isComplete(): boolean {
    return this.#end?.code === 0;
  }

  /** The number of tokens in the response; zero before its end. */
  get tokens(): number {
    return this.#end?.tokens ?? 0;
  }

  /** Records that the attempt waits for a slot. */
  markQueued(): void {
    this.#state = 'queued';
  }

  /** Records that the attempt runs. */
  markRunning(): void {
    this.#state = 'running';
  }

  /** Records that the entry no longer needs the attempt. */
  markSettled(now: MonoTime): void {
    this.#settledAt = now;
  }

  /** The index of the first token that the target will send; above zero for a resumed response. */
  get resumeFrom(): number {
    return this.#resumeFrom;
  }

  /** Sets the index of the first token that the target will send. */
  setResumeFrom(index: number): void {
    this.#resumeFrom = index;
  }

  /** Adds a part of the request's body. */
  addBody(data: Buffer): void {
    this.#body.push(data);
  }

  /** Drops the request's body, which is not needed once it was sent to the target. */
  dropBody(): void {
    this.#body = [];
  }

  /**
   * Ends the response to this attempt's entry. The request to the target is aborted unless another
   * attempt follows its response.
   */
  cancel(): void {
    if (this.#isCancelled || this.isDone) return;
    this.#isCancelled = true;
    if (this.#leader) {
      this.finish(CANCELLED_END);
      this.#leader.#removeFollower(this);
    } else if (this.#followers.size > 0) {
      this.#session?.send({ $case: 'end', value: { attempt: this.id, ...CANCELLED_END } });
      this.#session = undefined;
      this.#notifyCredit?.();
    } else {
      this.abort();
    }
  }

  /** Aborts the request to the target, also for attempts that follow its response. */
  abort(): void {
    this.#cancelController.abort();
    this.#notifyCredit?.();
  }

  /** Reports that the attempt did not run and never will. */
  refuse(notRun: Omit<NotRun, 'attempt'>): void {
    this.#state = 'refused';
    this.#refusal = { attempt: this.id, ...notRun };
    this.dropBody();
    this.#session?.send({ $case: 'notRun', value: this.#refusal });
    this.#followers.forEach((follower) => follower.refuse(notRun));
  }

  /** Starts the response. */
  addHead(status: number, headers: Header[]): void {
    this.#head = { status, headers };
    this.#session?.send({ $case: 'head', value: { attempt: this.id, status, headers } });
    this.#followers.forEach((follower) => follower.addHead(status, headers));
  }

  /** Adds a chunk of the response. */
  addChunk(data: Buffer): void {
    const chunk = { seq: this.#nextSeq, data };
    this.#nextSeq += 1;
    if (!this.#isResponseDropped) {
      this.#chunks.push(chunk);
      this.#addStoredBytes(data.length);
    }
    this.#unconsumedBytes += data.length;
    this.#session?.send({ $case: 'chunk', value: { attempt: this.id, ...chunk } });
    this.#followers.forEach((follower) => follower.addChunk(data));
  }

  /**
   * Ends the response.
   *
   * @param end - its digest, tokens, segments and result code; code 0 means success
   */
  finish(end: Omit<EndFields, 'count'>): void {
    this.#state = 'finished';
    this.dropBody();
    this.#end = { ...end, count: this.#nextSeq };
    this.#session?.send({ $case: 'end', value: { attempt: this.id, ...this.#end } });
    this.#followers.forEach((follower) => follower.finish(end));
  }

  /**
   * Adds an attempt that gets the same response: what is stored of it now, and the rest as it
   * arrives.
   *
   * @param follower - an attempt of the same request, which does not run itself
   */
  addFollower(follower: Attempt): void {
    this.#followers.add(follower);
    follower.#follow(this);
    follower.markRunning();
    if (this.#refusal) follower.refuse(this.#refusal);
    if (this.#head) follower.addHead(this.#head.status, this.#head.headers);
    this.#chunks.forEach((chunk) => follower.addChunk(chunk.data));
    if (this.#end) follower.finish(this.#end);
  }

  /** Waits until the entry has credit for more of the response, or needs no more of it. */
  async waitForCredit(): Promise<void> {
    while (this.#unconsumedBytes >= this.#windowBytes && !this.#hasNoReader) {
      await new Promise<void>((resolve) => {
        this.#notifyCredit = resolve;
      });
    }
  }

  /** Records that the caller has read bytes of the response. */
  addCredit(bytes: number): void {
    this.#unconsumedBytes -= bytes;
    if (!this.run.retain) this.#dropConsumedChunks();
    this.#notifyCredit?.();
  }

  /**
   * Attaches a new session: sends it the stored response from a chunk on, and the rest as it
   * arrives.
   *
   * @param session - the entry's new session
   * @param fromSeq - the sequence number of the first chunk that the entry lacks
   * @param windowBytes - how many bytes may be sent before the entry gives credit
   * @returns false when some of these chunks are no longer stored
   */
  attach(session: LinkSession, fromSeq: number, windowBytes: number): boolean {
    const firstStoredSeq = this.#chunks[0]?.seq ?? this.#nextSeq;
    if (fromSeq < firstStoredSeq) return false;
    this.#session = session;
    this.entry = session.hello.incarnation;
    this.#windowBytes = windowBytes;
    if (!this.run.retain) this.#dropChunksBefore(fromSeq);
    this.#resend(session, fromSeq);
    this.#notifyCredit?.();
    return true;
  }

  /** Detaches a session that was closed; the response is kept for the next one. */
  detach(session: LinkSession): void {
    if (this.#session === session) this.#session = undefined;
  }

  /** Drops the stored response, and stores no more of it. */
  dropResponse(): void {
    this.#isResponseDropped = true;
    this.#notifyCredit?.();
    this.#chunks = [];
    this.#addStoredBytes(-this.#storedBytes);
  }

  get #hasNoReader(): boolean {
    return this.signal.aborted || this.#isCancelled || this.#isResponseDropped;
  }

  #follow(leader: Attempt): void {
    this.#leader = leader;
  }

  #removeFollower(follower: Attempt): void {
    this.#followers.delete(follower);
    if (this.#isCancelled && this.#followers.size === 0) this.abort();
  }

  #resend(session: LinkSession, fromSeq: number): void {
    const attempt = this.id;
    const rest = this.#chunks.filter((chunk) => chunk.seq >= fromSeq);
    this.#unconsumedBytes = rest.reduce((sum, chunk) => sum + chunk.data.length, 0);
    if (this.#refusal) session.send({ $case: 'notRun', value: this.#refusal });
    else session.send({ $case: 'accepted', value: { attempt } });
    if (this.#head) session.send({ $case: 'head', value: { attempt, ...this.#head } });
    rest.forEach((chunk) => session.send({ $case: 'chunk', value: { attempt, ...chunk } }));
    if (this.#end) session.send({ $case: 'end', value: { attempt, ...this.#end } });
  }

  #dropConsumedChunks(): void {
    while (this.#chunks.length > 0) {
      const first = this.#chunks[0]!;
      if (this.#storedBytes - first.data.length < this.#unconsumedBytes) return;
      this.#chunks.shift();
      this.#addStoredBytes(-first.data.length);
    }
  }

  #dropChunksBefore(seq: number): void {
    const dropped = this.#chunks.filter((chunk) => chunk.seq < seq);
    this.#chunks = this.#chunks.filter((chunk) => chunk.seq >= seq);
    this.#addStoredBytes(-dropped.reduce((sum, chunk) => sum + chunk.data.length, 0));
  }

  #addStoredBytes(bytes: number): void {
    this.#storedBytes += bytes;
    this.#onStoredBytesChanged(bytes);
  }
}
