/** The entry's view of one agent: its link, its load and the attempts that are open there. */
import {
  type AttemptId,
  type Clock,
  type Millis,
  type MonoTime,
  type RandomSource,
  type ServiceId,
  type TargetId,
  type TrainerId,
  type WeightVersion,
  type ZoneId,
} from '@hibiscushill/base';
import type { ConfigSync } from '@hibiscushill/config';
import {
  type AgentHello,
  type EntryHello,
  LinkClient,
  type LinkHandlers,
  type Load,
  type Run,
  type ToAgent,
  type ToEntry,
  type UsageItem,
  type WeightReport,
} from '@hibiscushill/protocol';
import type { TargetView } from '@hibiscushill/routing';
import type { XXHashAPI } from 'xxhash-wasm';

import {
  type AttemptLink,
  type AttemptName,
  OutgoingAttempt,
  WINDOW_BYTES,
} from './outgoing-attempt';

/** How long an attempt waits for its broken link to come back, in milliseconds. */
const REATTACH_MS: Millis = 2500;

const BODY_FRAME_BYTES = 64 * 1024;

const IDLE_LOAD: Load = {
  running: 0,
  queued: 0,
  queuedTokens: 0,
  slots: 1,
  leaving: false,
  served: 0,
  weights: [],
  ready: false,
};

/** What a peer needs. */
export interface AgentPeerOptions {
  readonly address: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hash: XXHashAPI;
  readonly hello: () => EntryHello;
  readonly sync: ConfigSync;
  readonly onUsage: (items: readonly UsageItem[], peer: AgentPeer) => void;
  readonly onWeightReport: (report: WeightReport) => void;
  readonly onLoad: (peer: AgentPeer) => void;
  readonly onSilent: (peer: AgentPeer) => void;
}

/** An agent that this entry keeps a link to. */
export class AgentPeer implements LinkHandlers, AttemptLink {
  readonly #options: AgentPeerOptions;

  readonly #link: LinkClient;

  readonly #attempts = new Map<AttemptId, OutgoingAttempt>();

  // Cancelled while the link was down; the agent is told when it is back.
  readonly #cancelled = new Set<AttemptId>();

  #hello: AgentHello | undefined;

  #isUp = false;

  #configVersion: number | undefined;

  #isListedLeaving = false;

  #load: Load = IDLE_LOAD;

  #loadAt: MonoTime;

  #sentSinceLoad = 0;

  #endedSinceLoad = 0;

  #lossTimer: NodeJS.Timeout | undefined;

  /** @param options - the address and who is told of what arrives */
  constructor(options: AgentPeerOptions) {
    this.#options = options;
    this.#loadAt = options.clock.mono();
    const { address, clock, random, hello } = options;
    this.#link = new LinkClient({ address, clock, random, hello, handlers: this });
  }

  /** The agent's inner address. */
  get address(): string {
    return this.#link.address;
  }

  /** What the agent said of itself; undefined before the first contact. */
  get hello(): AgentHello | undefined {
    return this.#hello;
  }

  /** Whether frames can be sent now. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** The target; undefined before the first contact. */
  get target(): TargetId | undefined {
    return this.#hello?.target as TargetId | undefined;
  }

  /** The service that the target belongs to. */
  get service(): ServiceId | undefined {
    return this.#hello?.service as ServiceId | undefined;
  }

  /** The configuration version that the agent named last. */
  get configVersion(): number | undefined {
    return this.#configVersion;
  }

  /** The load that the agent reported last. */
  get load(): Load {
    return this.#load;
  }

  /** How many attempts of this entry are open here. */
  get openAttempts(): number {
    return this.#attempts.size;
  }

  /** Sets whether the platform's list says that the target leaves. */
  setListedLeaving(isLeaving: boolean): void {
    this.#isListedLeaving = isLeaving;
  }

  /** Runs the link's task until `close`. */
  run(): Promise<void> {
    return this.#link.run();
  }

  /** Closes the link for good. */
  close(): void {
    this.#link.close();
    clearTimeout(this.#lossTimer);
    this.#loseAttempts('the target has left');
  }

  /**
   * Describes the target for a choice.
   *
   * @param isEjected - whether the target is left out
   * @returns the view; undefined before the first contact
   */
  view(isEjected: boolean): TargetView | undefined {
    if (this.#hello === undefined) return undefined;
    const { running, queued, queuedTokens, slots, leaving, ready, weights } = this.#load;
    return {
      id: this.#hello.target as TargetId,
      zone: this.#hello.availabilityZone as ZoneId,
      inFlight: this.#attempts.size,
      reported: { running, queued, queuedTokens, slots, atMono: this.#loadAt },
      sentSinceReport: this.#sentSinceLoad,
      endedSinceReport: this.#endedSinceLoad,
      leaving: leaving || this.#isListedLeaving,
      ejected: isEjected,
      ready: ready && this.#isUp,
      weights: new Map(
        weights.map(({ trainer, version }) => [trainer as TrainerId, version as WeightVersion]),
      ),
    };
  }

  /**
   * Starts an attempt.
   *
   * @param run - the frame without its incarnation
   * @param body - the request's body
   * @returns the attempt; undefined when the link is down and nothing was sent
   */
  open(run: Omit<Run, 'incarnation' | 'body'>, body: Buffer): OutgoingAttempt | undefined {
    if (this.#hello === undefined || !this.#isUp) return undefined;
    const isSmall = body.length <= BODY_FRAME_BYTES;
    const { incarnation, target } = this.#hello;
    const whole: Run = {
      ...run,
      incarnation,
      body: isSmall ? body : Buffer.alloc(0),
      bodyComplete: isSmall,
      creditBytes: WINDOW_BYTES,
    };
    const hash = this.#options.hash.create64();
    const attempt = new OutgoingAttempt(whole, target as TargetId, this, hash);
    this.#attempts.set(attempt.id, attempt);
    this.#sentSinceLoad += 1;
    this.send({ $case: 'run', value: whole });
    if (!isSmall) this.#sendBody(attempt.id, body);
    return attempt;
  }

  /**
   * Reads an attempt's kept answer again from its start.
   *
   * @param run - how the attempt is named
   * @returns the attempt; undefined when the link is down or the agent has restarted
   */
  reopen(run: AttemptName): OutgoingAttempt | undefined {
    if (!this.#isUp || this.#hello?.incarnation !== run.incarnation) return undefined;
    const hash = this.#options.hash.create64();
    const attempt = new OutgoingAttempt(run, this.#hello.target as TargetId, this, hash);
    this.#attempts.set(attempt.id, attempt);
    this.#sendAttach(attempt);
    return attempt;
  }

  /** Sends a frame; false when the link is down. */
  send(frame: ToAgent): boolean {
    return this.#link.send(frame);
  }

  credit(attempt: AttemptId, bytes: number): void {
    this.send({ $case: 'credit', value: { attempt, bytes } });
  }

  acknowledge(attempt: OutgoingAttempt, billed: boolean): void {
    this.#remove(attempt);
    this.send({ $case: 'ack', value: { attempt: attempt.id, billed } });
  }

  forget(attempt: OutgoingAttempt): void {
    this.#remove(attempt);
  }

  cancel(attempt: OutgoingAttempt): void {
    this.#remove(attempt);
    const isSent = this.send({ $case: 'cancel', value: { attempt: attempt.id } });
    if (!isSent) this.#cancelled.add(attempt.id);
  }

  revoke(attempt: OutgoingAttempt): void {
    const { id, incarnation } = attempt;
    this.send({ $case: 'revoke', value: { attempt: id, incarnation } });
  }

  onUp(hello: AgentHello): void {
    const isSame = this.#hello?.incarnation === hello.incarnation;
    clearTimeout(this.#lossTimer);
    this.#hello = hello;
    this.#isUp = true;
    if (!isSame) this.#loseAttempts('the agent has restarted');
    this.#cancelled.forEach((attempt) => this.send({ $case: 'cancel', value: { attempt } }));
    this.#cancelled.clear();
    this.#attempts.forEach((attempt) => this.#sendAttach(attempt));
    this.#options.sync.meet(this, hello.configVersion);
    this.#options.sync.answer(this, hello.configVersion);
  }

  onDown(): void {
    if (!this.#isUp) return;
    this.#isUp = false;
    this.#attempts.forEach((attempt) => attempt.takeDown());
    this.#lossTimer = setTimeout(() => this.#loseAttempts('the agent is gone'), REATTACH_MS);
    this.#options.onSilent(this);
  }

  onVersion(version: number, since: MonoTime): void {
    this.#configVersion = version;
    this.#options.sync.compare(this, version, since);
  }

  onFrame(frame: ToEntry): void {
    switch (frame.$case) {
      case 'head':
        this.#find(frame.value.attempt)?.takeHead(frame.value.status, frame.value.headers);
        break;
      case 'chunk':
        this.#find(frame.value.attempt)?.takeChunk(frame.value.seq, frame.value.data);
        break;
      case 'end':
        this.#find(frame.value.attempt)?.takeEnd(frame.value);
        break;
      case 'notRun':
        this.#find(frame.value.attempt)?.takeNotRun(frame.value);
        break;
      case 'revokeResult':
        this.#find(frame.value.attempt)?.takeRevoked(frame.value.started);
        break;
      case 'load':
        this.#takeLoad(frame.value);
        break;
      case 'config':
        this.#options.sync.take(this, frame.value);
        break;
      case 'configPull':
        this.#options.sync.answer(this, frame.value.have);
        break;
      case 'usage':
        this.#options.onUsage(frame.value.items, this);
        break;
      case 'weightReport':
        this.#options.onWeightReport(frame.value);
        break;
      default:
    }
  }

  #remove(attempt: OutgoingAttempt): void {
    if (this.#attempts.delete(attempt.id)) this.#endedSinceLoad += 1;
  }

  #find(attempt: string): OutgoingAttempt | undefined {
    return this.#attempts.get(attempt as AttemptId);
  }

  #takeLoad(load: Load): void {
    this.#load = load;
    this.#loadAt = this.#options.clock.mono();
    this.#sentSinceLoad = 0;
    this.#endedSinceLoad = 0;
    this.#options.onLoad(this);
  }

  #sendAttach(attempt: OutgoingAttempt): void {
    const { id, nextSeq, incarnation } = attempt;
    attempt.takeUp();
    const value = { attempt: id, fromSeq: nextSeq, incarnation, creditBytes: WINDOW_BYTES };
    this.send({ $case: 'attach', value });
  }

  #sendBody(attempt: AttemptId, body: Buffer): void {
    for (let start = 0; start < body.length; start += BODY_FRAME_BYTES) {
      const data = body.subarray(start, start + BODY_FRAME_BYTES);
      const last = start + BODY_FRAME_BYTES >= body.length;
      this.send({ $case: 'body', value: { attempt, data, last } });
    }
  }

  #loseAttempts(detail: string): void {
    const lost = [...this.#attempts.values()];
    this.#attempts.clear();
    lost.forEach((attempt) => attempt.takeLost(detail));
  }
}
