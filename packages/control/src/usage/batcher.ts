/** Holds the usage of finished requests in memory until the log has it. */
import {
  type Clock,
  type IncarnationId,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  type RecordId,
  type RequestId,
  createId,
  createLogger,
  createRandomSource,
} from '@hibiscushill/base';
import type { Log, NewRecord } from '@hibiscushill/log';

import { AgentAckTracker } from './agent-acks';
import { USAGE_KINDS, type UsageItem } from './records';

const MAX_BATCH_ITEMS = 500;
const MAX_BATCH_AGE_MS = 5_000;
const MAX_PENDING_ITEMS = 50_000;
const LOGGED_IDS_PER_SET = 50_000;
const APPEND_TIMEOUT_MS = 2_000;
const RETRY_MS = 500;

/** The log, and the bounds of batches and memory. */
export interface UsageBatcherOptions {
  readonly log: Log;
  readonly clock: Clock;
  /** This process's incarnation. */
  readonly incarnation: IncarnationId;
  /** The highest number of items in a batch. */
  readonly maxBatchItems?: number;
  /** How long an item waits for its batch to fill up, in milliseconds. */
  readonly maxBatchAgeMs?: Millis;
  /** The highest number of items that wait for the log. */
  readonly maxPendingItems?: number;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/** An item that an agent holds until it is acknowledged. */
export interface AgentItem extends UsageItem {
  /** The item's number, which increases within an agent's incarnation. */
  readonly seq: number;
}

/**
 * Appends usage to the log in batches. Items come from the requests that finished in this process
 * and from agents, which hold the same items in case this process fails.
 */
export class UsageBatcher {
  readonly #options: UsageBatcherOptions;

  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #logger = createLogger('control.usage');

  // The items that wait for the log.
  readonly #pending = new Map<RequestId, UsageItem>();

  readonly #agentAcks = new AgentAckTracker();

  readonly #ackListeners = new Set<(incarnation: IncarnationId, throughSeq: number) => void>();

  // The requests whose usage was logged recently. A full set replaces `#previouslyLogged`, so that
  // memory is bounded and a duplicate is still recognised for a while.
  #logged = new Set<RequestId>();

  #previouslyLogged = new Set<RequestId>();

  #oldestPendingAt: MonoTime | undefined;

  #seq = 0;

  #isStopping = false;

  #wakeUp = new AbortController();

  #task: Promise<void> | undefined;

  /** @param options - the log, and the bounds of batches and memory */
  constructor(options: UsageBatcherOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#random = options.random ?? createRandomSource();
  }

  /** The number of items that wait for the log. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /**
   * Adds the usage of a request that finished in this process. When the memory bound is reached,
   * the item is dropped here; the agent holds it as well and will send it.
   *
   * @param item - the usage of the request with all its attempts
   */
  add(item: UsageItem): void {
    if (this.#isKnown(item.request)) return;
    if (this.#isFull) this.#options.metrics?.count('usage.left_to_agent');
    else this.#addPending(item);
  }

  /**
   * Adds a batch of items that an agent holds.
   *
   * @param incarnation - the agent's incarnation
   * @param items - the items, which the agent holds until they are acknowledged
   * @returns false when the memory bound is reached and nothing was added; the agent sends the
   *   batch again later
   */
  addAgentBatch(incarnation: IncarnationId, items: readonly AgentItem[]): boolean {
    const fresh = items.filter((item) => !this.#isKnown(item.request));
    if (this.#isFull && fresh.length > 0) {
      this.#options.metrics?.count('usage.batch_refused');
      return false;
    }
    fresh.forEach(({ seq: _seq, ...item }) => this.#addPending(item));
    items.forEach((item) => this.#agentAcks.add(incarnation, item.seq, item.request));
    this.#notifyAcks();
    return true;
  }

  /**
   * Calls a function when the log has more of an agent's items. `throughSeq` is the highest number
   * up to which the log has all items that the agent sent to this process.
   *
   * @returns removes the function
   */
  onAck(handle: (incarnation: IncarnationId, throughSeq: number) => void): () => void {
    this.#ackListeners.add(handle);
    return () => this.#ackListeners.delete(handle);
  }

  /** Discards the unacknowledged numbers of an agent's incarnation that has ended. */
  forgetAgent(incarnation: IncarnationId): void {
    this.#agentAcks.forget(incarnation);
  }

  /** Starts to append batches. */
  start(): void {
    this.#task ??= this.#run();
  }

  /**
   * Appends the pending items and stops.
   *
   * @param timeoutMs - how long to wait for the log, in milliseconds
   * @returns the number of items that weren't logged; their agents still hold them
   */
  async stop(timeoutMs: Millis): Promise<number> {
    this.#isStopping = true;
    this.#wakeUp.abort();
    const timeout = new AbortController();
    await Promise.race([this.#task, this.#clock.sleep(timeoutMs, timeout.signal)]);
    timeout.abort();
    return this.#pending.size;
  }

  get #isFull(): boolean {
    return this.#pending.size >= (this.#options.maxPendingItems ?? MAX_PENDING_ITEMS);
  }

  #isKnown(request: RequestId): boolean {
    return this.#pending.has(request) || this.#isLogged(request);
  }

  #isLogged(request: RequestId): boolean {
    return this.#logged.has(request) || this.#previouslyLogged.has(request);
  }

  #addPending(item: UsageItem): void {
    this.#pending.set(item.request, item);
    this.#oldestPendingAt ??= this.#clock.mono();
    if (this.#pending.size >= this.#maxBatchItems) this.#wakeUp.abort();
  }

  get #maxBatchItems(): number {
    return this.#options.maxBatchItems ?? MAX_BATCH_ITEMS;
  }

  async #run(): Promise<void> {
    while (!this.#isStopping || this.#pending.size > 0) {
      if (this.#isBatchDue()) await this.#flush();
      else await this.#sleep(this.#getWaitMs());
    }
  }

  #getWaitMs(): Millis {
    const ageMs = this.#options.maxBatchAgeMs ?? MAX_BATCH_AGE_MS;
    if (this.#oldestPendingAt === undefined) return ageMs;
    return Math.max(0, this.#oldestPendingAt + ageMs - this.#clock.mono());
  }

  #isBatchDue(): boolean {
    if (this.#pending.size === 0) return false;
    return this.#isStopping || this.#pending.size >= this.#maxBatchItems || this.#getWaitMs() === 0;
  }

  async #flush(): Promise<void> {
    const items = [...this.#pending.values()].slice(0, this.#maxBatchItems);
    const { incarnation } = this.#options;
    this.#seq += 1;
    const payload = { incarnation, seq: this.#seq, items };
    await this.#append({ id: createId<RecordId>(), kind: USAGE_KINDS.delta, payload });
    items.forEach((item) => this.#markLogged(item.request));
    this.#oldestPendingAt = this.#pending.size > 0 ? this.#clock.mono() : undefined;
    this.#notifyAcks();
  }

  // Appends the same record until the log confirms it. Readers drop duplicates by the batch's
  // number, so a batch whose confirmation was lost is counted once, and this process needn't read
  // the stream to find out whether an append succeeded.
  async #append(record: NewRecord): Promise<void> {
    const { log, metrics } = this.#options;
    for (;;) {
      const result = await log.append('usage', [record], { timeoutMs: APPEND_TIMEOUT_MS });
      metrics?.count('usage.append');
      if (result.isOk()) return;
      metrics?.countRetry(result.error.code);
      this.#logger.warn('A usage batch was not logged; it will be sent again.', {
        code: result.error.code,
      });
      await this.#clock.sleep(RETRY_MS * (0.5 + this.#random.fraction()));
    }
  }

  #markLogged(request: RequestId): void {
    this.#pending.delete(request);
    this.#logged.add(request);
    if (this.#logged.size < LOGGED_IDS_PER_SET) return;
    this.#previouslyLogged = this.#logged;
    this.#logged = new Set();
  }

  #notifyAcks(): void {
    const acks = this.#agentAcks.takeAcks((request) => !this.#pending.has(request));
    acks.forEach((ack) =>
      this.#ackListeners.forEach((handle) => handle(ack.incarnation, ack.throughSeq)),
    );
  }

  async #sleep(ms: Millis): Promise<void> {
    this.#wakeUp = new AbortController();
    await this.#clock.sleep(ms, this.#wakeUp.signal);
  }
}
