/** The entry's client of one agent: its link, reported load and open attempts. */
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
  type EntryFramePayload,
  type AgentFramePayload,
  type UsageItem,
  type WeightReport,
} from '@hibiscushill/protocol';
import type { TargetView } from '@hibiscushill/routing';
import type { XXHashAPI } from 'xxhash-wasm';

import type { LeavingNotices } from './leaving-notices';
import {
  type AttemptLink,
  type AttemptIdentity,
  OutgoingAttempt,
  RESPONSE_WINDOW_BYTES,
} from './outgoing-attempt';

/** How long the open attempts of a lost link wait for it to be reopened, before they fail. */
const REATTACH_TIMEOUT_MS: Millis = 2500;

const MAX_BODY_FRAME_BYTES = 64 * 1024;

/** The load that is assumed until the agent has reported one. */
const INITIAL_LOAD: Load = {
  running: 0,
  queued: 0,
  queuedTokens: 0,
  slots: 1,
  leaving: false,
  served: 0,
  weights: [],
  ready: false,
};

/** The agent's address, and the receivers of the frames that don't belong to an attempt. */
export interface AgentClientOptions {
  readonly address: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hash: XXHashAPI;
  /** Creates the hello that the link starts with. */
  readonly hello: () => EntryHello;
  readonly sync: ConfigSync;
  /** What agents have said about targets that are leaving. */
  readonly leaving: LeavingNotices;
  /** Called with usage items that the agent asks this entry to log. */
  readonly onUsage: (items: readonly UsageItem[], client: AgentClient) => void;
  readonly onWeightReport: (report: WeightReport) => void;
  /** Called after the agent has reported a load. */
  readonly onLoad: (client: AgentClient) => void;
  /** Called when the link is lost. */
  readonly onConnectionLost: (client: AgentClient) => void;
}

/** Keeps a link to one agent, sends attempts over it, and passes received frames to them. */
export class AgentClient implements LinkHandlers, AttemptLink {
  readonly #options: AgentClientOptions;

  readonly #link: LinkClient;

  readonly #attempts = new Map<AttemptId, OutgoingAttempt>();

  // Attempts that were cancelled while the link was down; the frames are sent after it is reopened.
  readonly #pendingCancels = new Set<AttemptId>();

  #hello: AgentHello | undefined;

  #isConnected = false;

  #configVersion: number | undefined;

  #isListedLeaving = false;

  #load: Load = INITIAL_LOAD;

  // When the load was reported.
  #loadAt: MonoTime;

  #sentSinceLoad = 0;

  #endedSinceLoad = 0;

  #reattachTimer: NodeJS.Timeout | undefined;

  /** @param options - the agent's address, and the receivers of its frames */
  constructor(options: AgentClientOptions) {
    this.#options = options;
    this.#loadAt = options.clock.mono();
    const { address, clock, random, hello } = options;
    this.#link = new LinkClient({ address, clock, random, hello, handlers: this });
  }

  /** The agent's inner address. */
  get address(): string {
    return this.#link.address;
  }

  /** The hello that the agent sent last; undefined before the first connection. */
  get hello(): AgentHello | undefined {
    return this.#hello;
  }

  /** Whether frames can be sent now. */
  get isConnected(): boolean {
    return this.#isConnected;
  }

  /** The agent's target; undefined before the first connection. */
  get target(): TargetId | undefined {
    return this.#hello?.target as TargetId | undefined;
  }

  /** The service that the target belongs to; undefined before the first connection. */
  get service(): ServiceId | undefined {
    return this.#hello?.service as ServiceId | undefined;
  }

  /** The configuration version that the agent reported last; undefined before the first one. */
  get configVersion(): number | undefined {
    return this.#configVersion;
  }

  /** The load that the agent reported last. */
  get load(): Load {
    return this.#load;
  }

  /** The number of this entry's attempts that are open at the agent. */
  get openAttemptCount(): number {
    return this.#attempts.size;
  }

  /** Whether the target is leaving, as its agent has said or as the instance list says. */
  get isLeaving(): boolean {
    if (this.#isListedLeaving) return true;
    return this.#hello !== undefined && this.#options.leaving.isLeaving(this.#hello);
  }

  /** Sets whether the platform's instance list reports the target as leaving. */
  setListedLeaving(isLeaving: boolean): void {
    this.#isListedLeaving = isLeaving;
  }

  /** Opens the link, and reopens it whenever it is lost, until `close`. */
  run(): Promise<void> {
    return this.#link.run();
  }

  /** Closes the link for good. */
  close(): void {
    this.#link.close();
    clearTimeout(this.#reattachTimer);
    this.#failAttempts('the link to the agent was closed');
  }

  /**
   * Creates the view of the target that policies choose by.
   *
   * @param isEjected - whether outlier ejection excludes the target
   * @returns the view; undefined before the first connection
   */
  createTargetView(isEjected: boolean): TargetView | undefined {
    if (this.#hello === undefined) return undefined;
    const { running, queued, queuedTokens, slots, ready, weights } = this.#load;
    return {
      id: this.#hello.target as TargetId,
      zone: this.#hello.availabilityZone as ZoneId,
      inFlight: this.#attempts.size,
      reported: { running, queued, queuedTokens, slots, receivedAt: this.#loadAt },
      sentSinceReport: this.#sentSinceLoad,
      endedSinceReport: this.#endedSinceLoad,
      leaving: this.isLeaving,
      ejected: isEjected,
      ready: ready && this.#isConnected,
      weights: new Map(
        weights.map(({ trainer, version }) => [trainer as TrainerId, version as WeightVersion]),
      ),
    };
  }

  /**
   * Sends an attempt to the agent. A large body follows in frames of its own.
   *
   * @param run - the run frame, without the agent's incarnation
   * @param body - the request's body
   * @returns the attempt; undefined when the link is down and nothing was sent
   */
  startAttempt(run: Omit<Run, 'incarnation' | 'body'>, body: Buffer): OutgoingAttempt | undefined {
    if (this.#hello === undefined || !this.#isConnected) return undefined;
    const isSmall = body.length <= MAX_BODY_FRAME_BYTES;
    const { incarnation, target } = this.#hello;
    const frame: Run = {
      ...run,
      incarnation,
      body: isSmall ? body : Buffer.alloc(0),
      bodyComplete: isSmall,
      creditBytes: RESPONSE_WINDOW_BYTES,
    };
    const hash = this.#options.hash.create64();
    const attempt = new OutgoingAttempt(frame, target as TargetId, this, hash);
    this.#attempts.set(attempt.id, attempt);
    this.#sentSinceLoad += 1;
    this.send({ $case: 'run', value: frame });
    if (!isSmall) this.#sendBody(attempt.id, body);
    return attempt;
  }

  /**
   * Requests the response of an earlier attempt again, from its start.
   *
   * @param run - the ids of the attempt, which the agent must have retained
   * @returns the attempt; undefined when the link is down or the agent has restarted
   */
  reattach(run: AttemptIdentity): OutgoingAttempt | undefined {
    if (!this.#isConnected || this.#hello?.incarnation !== run.incarnation) return undefined;
    const hash = this.#options.hash.create64();
    const attempt = new OutgoingAttempt(run, this.#hello.target as TargetId, this, hash);
    this.#attempts.set(attempt.id, attempt);
    this.#sendAttach(attempt);
    return attempt;
  }

  /** Sends a frame. Returns false when the link is down. */
  send(frame: EntryFramePayload): boolean {
    return this.#link.send(frame);
  }

  credit(attempt: AttemptId, bytes: number): void {
    this.send({ $case: 'credit', value: { attempt, bytes } });
  }

  acknowledge(attempt: OutgoingAttempt, billed: boolean): void {
    this.#remove(attempt);
    this.send({ $case: 'ack', value: { attempt: attempt.id, billed } });
  }

  release(attempt: OutgoingAttempt): void {
    this.#remove(attempt);
  }

  cancel(attempt: OutgoingAttempt): void {
    this.#remove(attempt);
    const isSent = this.send({ $case: 'cancel', value: { attempt: attempt.id } });
    if (!isSent) this.#pendingCancels.add(attempt.id);
  }

  revoke(attempt: OutgoingAttempt): void {
    const { id, incarnation } = attempt;
    this.send({ $case: 'revoke', value: { attempt: id, incarnation } });
  }

  onConnected(hello: AgentHello): void {
    const earlier = this.#hello;
    clearTimeout(this.#reattachTimer);
    this.#hello = hello;
    this.#isConnected = true;
    this.#options.leaving.recordConnected(hello);
    if (earlier !== undefined && earlier.incarnation !== hello.incarnation) {
      // What the list says is older than the new incarnation.
      this.#isListedLeaving = false;
      this.#failAttempts('the agent has restarted');
    }
    this.#pendingCancels.forEach((attempt) => this.send({ $case: 'cancel', value: { attempt } }));
    this.#pendingCancels.clear();
    this.#attempts.forEach((attempt) => this.#sendAttach(attempt));
    this.#options.sync.pullIfBehind(this, hello.configVersion);
    this.#options.sync.sendOffer(this, hello.configVersion);
  }

  onDisconnected(): void {
    if (!this.#isConnected) return;
    this.#isConnected = false;
    this.#attempts.forEach((attempt) => attempt.markLinkDown());
    this.#reattachTimer = setTimeout(
      () => this.#failAttempts('the agent did not reconnect in time'),
      REATTACH_TIMEOUT_MS,
    );
    this.#options.onConnectionLost(this);
  }

  onLeaving(frame: AgentFramePayload, ageMs: Millis | undefined): void {
    if (this.#hello === undefined) return;
    const attempt = 'attempt' in frame.value ? frame.value.attempt : '';
    const request = this.#findAttempt(attempt)?.request;
    this.#options.leaving.record(this.#hello, { frame, request, ageMs });
  }

  onConfigVersion(version: number, since: MonoTime): void {
    this.#configVersion = version;
    this.#options.sync.receiveVersion(this, version, since);
  }

  onFrame(frame: AgentFramePayload): void {
    switch (frame.$case) {
      case 'head':
        this.#findAttempt(frame.value.attempt)?.receiveHead(
          frame.value.status,
          frame.value.headers,
        );
        break;
      case 'chunk':
        this.#findAttempt(frame.value.attempt)?.receiveChunk(frame.value.seq, frame.value.data);
        break;
      case 'end':
        this.#findAttempt(frame.value.attempt)?.receiveEnd(frame.value);
        break;
      case 'notRun':
        this.#findAttempt(frame.value.attempt)?.receiveNotRun(frame.value);
        break;
      case 'revokeResult':
        this.#findAttempt(frame.value.attempt)?.receiveRevokeResult(frame.value.started);
        break;
      case 'load':
        this.#handleLoad(frame.value);
        break;
      case 'config':
        this.#options.sync.receiveOffer(this, frame.value);
        break;
      case 'configPull':
        this.#options.sync.sendOffer(this, frame.value.have);
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

  /** Stops passing frames to an attempt, and counts it as ended. */
  #remove(attempt: OutgoingAttempt): void {
    if (this.#attempts.delete(attempt.id)) this.#endedSinceLoad += 1;
  }

  #findAttempt(attempt: string): OutgoingAttempt | undefined {
    return this.#attempts.get(attempt as AttemptId);
  }

  #handleLoad(load: Load): void {
    this.#load = load;
    this.#loadAt = this.#options.clock.mono();
    this.#sentSinceLoad = 0;
    this.#endedSinceLoad = 0;
    this.#options.onLoad(this);
  }

  #sendAttach(attempt: OutgoingAttempt): void {
    const { id, nextSeq, incarnation } = attempt;
    attempt.markLinkUp();
    const value = {
      attempt: id,
      fromSeq: nextSeq,
      incarnation,
      creditBytes: RESPONSE_WINDOW_BYTES,
    };
    this.send({ $case: 'attach', value });
  }

  #sendBody(attempt: AttemptId, body: Buffer): void {
    for (let start = 0; start < body.length; start += MAX_BODY_FRAME_BYTES) {
      const data = body.subarray(start, start + MAX_BODY_FRAME_BYTES);
      const last = start + MAX_BODY_FRAME_BYTES >= body.length;
      this.send({ $case: 'body', value: { attempt, data, last } });
    }
  }

  #failAttempts(detail: string): void {
    const lost = [...this.#attempts.values()];
    this.#attempts.clear();
    lost.forEach((attempt) => attempt.failLost(detail));
  }
}
