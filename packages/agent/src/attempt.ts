/** One attempt at the agent: its state, and its answer until the entry has taken it. */
import type { AttemptId, MonoTime } from '@hibiscushill/base';
import type { End, Header, LinkSession, NotRun, Run } from '@hibiscushill/protocol';

/** Where an attempt stands. `finished` and `refused` are final. */
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

/** An attempt with the frames of its answer. */
export class Attempt {
  readonly id: AttemptId;

  readonly run: Run;

  readonly deadline: MonoTime;

  #state: AttemptState = 'receiving';

  /** The incarnation of the entry that sent the attempt or attached to it last. */
  entry: string;

  #settledAt: MonoTime | undefined;

  readonly #cancelling = new AbortController();

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

  #room: (() => void) | undefined;

  readonly #followers: Attempt[] = [];

  readonly #onStored: (bytes: number) => void;

  /**
   * @param run - the entry's frame
   * @param session - the entry's session
   * @param deadline - when the caller stops waiting
   * @param onStored - told of bytes that are held from now on, or no longer
   */
  constructor(
    run: Run,
    session: LinkSession,
    deadline: MonoTime,
    onStored: (bytes: number) => void = () => undefined,
  ) {
    this.#onStored = onStored;
    this.id = run.attempt as AttemptId;
    this.run = run;
    this.deadline = deadline;
    this.#session = session;
    this.entry = session.hello.incarnation;
    this.#windowBytes = run.creditBytes;
    this.#body = run.body.length > 0 ? [run.body] : [];
  }

  /** Where the attempt stands. */
  get state(): AttemptState {
    return this.#state;
  }

  /** When the attempt was settled: acknowledged, or given up by its entry. */
  get settledAt(): MonoTime | undefined {
    return this.#settledAt;
  }

  /** The entry that the answer goes to. */
  get session(): LinkSession | undefined {
    return this.#session;
  }

  /** Aborts when the attempt is cancelled. */
  get signal(): AbortSignal {
    return this.#cancelling.signal;
  }

  /** The request's body. */
  get body(): Buffer {
    return Buffer.concat(this.#body);
  }

  /** The bytes of the answer that are held in memory. */
  get storedBytes(): number {
    return this.#storedBytes;
  }

  /** Whether the attempt has come to an end. */
  get isDone(): boolean {
    return this.#state === 'finished' || this.#state === 'refused';
  }

  /** Whether the answer has come to a good end. */
  get isWhole(): boolean {
    return this.#end?.code === 0;
  }

  /** The tokens of the answer; zero before its end. */
  get tokens(): number {
    return this.#end?.tokens ?? 0;
  }

  /** Notes that the attempt waits for its turn. */
  queue(): void {
    this.#state = 'queued';
  }

  /** Notes that the attempt runs. */
  start(): void {
    this.#state = 'running';
  }

  /** Notes that the entry needs nothing more of the attempt. */
  settle(now: MonoTime): void {
    this.#settledAt = now;
  }

  /** The index of the first token that the target will send. */
  get resumeFrom(): number {
    return this.#resumeFrom;
  }

  /** Sets the index of the first token that the target will send. */
  setResumeFrom(index: number): void {
    this.#resumeFrom = index;
  }

  /** Adds to the request's body. */
  addBody(data: Buffer): void {
    this.#body.push(data);
  }

  /** Frees the request's body once it has been sent to the target. */
  dropBody(): void {
    this.#body = [];
  }

  /** Stops the work at the target. */
  cancel(): void {
    this.#cancelling.abort();
    this.#room?.();
  }

  /** Answers that the attempt did not run and never will. */
  refuse(notRun: Omit<NotRun, 'attempt'>): void {
    this.#state = 'refused';
    this.#refusal = { attempt: this.id, ...notRun };
    this.dropBody();
    this.#session?.send({ $case: 'notRun', value: this.#refusal });
    this.#followers.forEach((follower) => follower.refuse(notRun));
  }

  /** Starts the answer. */
  addHead(status: number, headers: Header[]): void {
    this.#head = { status, headers };
    this.#session?.send({ $case: 'head', value: { attempt: this.id, status, headers } });
    this.#followers.forEach((follower) => follower.addHead(status, headers));
  }

  /** Adds a piece of the answer. */
  addChunk(data: Buffer): void {
    const chunk = { seq: this.#nextSeq, data };
    this.#nextSeq += 1;
    this.#chunks.push(chunk);
    this.#store(data.length);
    this.#unconsumedBytes += data.length;
    this.#session?.send({ $case: 'chunk', value: { attempt: this.id, ...chunk } });
    this.#followers.forEach((follower) => follower.addChunk(data));
  }

  /**
   * Ends the answer.
   *
   * @param end - its digest, label and result code
   */
  finish(end: Omit<EndFields, 'count'>): void {
    this.#state = 'finished';
    this.dropBody();
    this.#end = { ...end, count: this.#nextSeq };
    this.#session?.send({ $case: 'end', value: { attempt: this.id, ...this.#end } });
    this.#followers.forEach((follower) => follower.finish(end));
  }

  /**
   * Gives another attempt the same answer: what is held of it now, and the rest as it comes.
   *
   * @param follower - an attempt of the same request, which doesn't run
   */
  addFollower(follower: Attempt): void {
    this.#followers.push(follower);
    follower.start();
    if (this.#refusal) follower.refuse(this.#refusal);
    if (this.#head) follower.addHead(this.#head.status, this.#head.headers);
    this.#chunks.forEach((chunk) => follower.addChunk(chunk.data));
    if (this.#end) follower.finish(this.#end);
  }

  /** Waits until the entry has room for more of the answer, or the attempt is cancelled. */
  async waitForRoom(): Promise<void> {
    while (this.#unconsumedBytes >= this.#windowBytes && !this.signal.aborted) {
      await new Promise<void>((resolve) => {
        this.#room = resolve;
      });
    }
  }

  /** Notes that the caller has taken bytes of the answer. */
  addCredit(bytes: number): void {
    this.#unconsumedBytes -= bytes;
    if (!this.run.retain) this.#dropConsumed();
    this.#room?.();
  }

  /**
   * Sends the answer from a sequence number on to a session, now and from now on.
   *
   * @param session - the entry's new session
   * @param fromSeq - the first chunk that the entry lacks
   * @param windowBytes - how much the entry has room for
   * @returns false when chunks from there on are no longer held
   */
  attach(session: LinkSession, fromSeq: number, windowBytes: number): boolean {
    const firstHeld = this.#chunks[0]?.seq ?? this.#nextSeq;
    if (fromSeq < firstHeld) return false;
    this.#session = session;
    this.entry = session.hello.incarnation;
    this.#windowBytes = windowBytes;
    if (!this.run.retain) this.#dropBefore(fromSeq);
    this.#resend(session, fromSeq);
    this.#room?.();
    return true;
  }

  /** Leaves a session that is gone; the answer is kept for the next one. */
  detach(session: LinkSession): void {
    if (this.#session === session) this.#session = undefined;
  }

  /** Frees the answer. */
  dropAnswer(): void {
    this.#chunks = [];
    this.#store(-this.#storedBytes);
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

  #dropConsumed(): void {
    while (this.#chunks.length > 0) {
      const first = this.#chunks[0]!;
      if (this.#storedBytes - first.data.length < this.#unconsumedBytes) return;
      this.#chunks.shift();
      this.#store(-first.data.length);
    }
  }

  #dropBefore(seq: number): void {
    const dropped = this.#chunks.filter((chunk) => chunk.seq < seq);
    this.#chunks = this.#chunks.filter((chunk) => chunk.seq >= seq);
    this.#store(-dropped.reduce((sum, chunk) => sum + chunk.data.length, 0));
  }

  #store(bytes: number): void {
    this.#storedBytes += bytes;
    this.#onStored(bytes);
  }
}
