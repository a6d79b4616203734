/** Keeps the usage of finished requests until the log has it. */
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

import { AgentReceipts } from './agent-acks';
import { USAGE_KINDS, type UsageItem } from './records';

const BATCH_ITEMS = 500;
const BATCH_AGE_MS = 5_000;
const PENDING_ITEMS = 50_000;
const LOGGED_IDS = 50_000;
const APPEND_TIMEOUT_MS = 2_000;
const RETRY_MS = 500;

/** How usage is batched and bounded. */
export interface UsageLedgerOptions {
  readonly log: Log;
  readonly clock: Clock;
  /** This process's incarnation. */
  readonly incarnation: IncarnationId;
  /** The most items of a batch. */
  readonly batchItems?: number;
  /** How long an item waits for its batch to fill, in milliseconds. */
  readonly batchAgeMs?: Millis;
  /** The most items that wait for the log. */
  readonly pendingItems?: number;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/** An item that an agent keeps until it is acknowledged. */
export interface AgentItem extends UsageItem {
  readonly seq: number;
}

/** Batches usage onto the log: from this process's finished requests and from agents. */
export class UsageLedger {
  readonly #options: UsageLedgerOptions;

  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #logger = createLogger('control.usage');

  readonly #pending = new Map<RequestId, UsageItem>();

  readonly #receipts = new AgentReceipts();

  readonly #acks = new Set<(incarnation: IncarnationId, throughSeq: number) => void>();

  #logged = new Set<RequestId>();

  #loggedBefore = new Set<RequestId>();

  #oldestAt: MonoTime | undefined;

  #seq = 0;

  #isStopping = false;

  #wake = new AbortController();

  #task: Promise<void> | undefined;

  /** @param options - the log, and the bounds of batches and memory */
  constructor(options: UsageLedgerOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#random = options.random ?? createRandomSource();
  }

  /** How many items wait for the log. */
  get size(): number {
    return this.#pending.size;
  }

  /**
   * Takes the usage of a request that finished here. At the bound it is left to the agent, which
   * holds it as well.
   *
   * @param item - what the request used; one item a request, whatever attempts it took
   */
  add(item: UsageItem): void {
    if (this.#isKnown(item.request)) return;
    if (this.#isFull) this.#options.metrics?.count('usage.left_to_agent');
    else this.#keep(item);
  }

  /**
   * Takes a batch that an agent holds.
   *
   * @param incarnation - the agent's incarnation
   * @param items - the items, which the agent keeps until they are acknowledged
   * @returns false when there is no room; the agent sends them again later
   */
  takeBatch(incarnation: IncarnationId, items: readonly AgentItem[]): boolean {
    const fresh = items.filter((item) => !this.#isKnown(item.request));
    if (this.#isFull && fresh.length > 0) {
      this.#options.metrics?.count('usage.batch_refused');
      return false;
    }
    fresh.forEach(({ seq: _seq, ...item }) => this.#keep(item));
    items.forEach((item) => this.#receipts.add(incarnation, item.seq, item.request));
    this.#acknowledge();
    return true;
  }

  /**
   * Calls a function when all items up to a number that an agent gave to this process are on the
   * log.
   */
  onAck(handle: (incarnation: IncarnationId, throughSeq: number) => void): () => void {
    this.#acks.add(handle);
    return () => this.#acks.delete(handle);
  }

  /** Forgets an agent's incarnation that is gone. */
  forgetAgent(incarnation: IncarnationId): void {
    this.#receipts.forget(incarnation);
  }

  /** Starts to batch. */
  start(): void {
    this.#task ??= this.#run();
  }

  /**
   * Logs what is left and stops.
   *
   * @param withinMs - when to give up, in milliseconds
   * @returns how many items are left; their agents hold them
   */
  async stop(withinMs: Millis): Promise<number> {
    this.#isStopping = true;
    this.#wake.abort();
    const enough = new AbortController();
    await Promise.race([this.#task, this.#clock.sleep(withinMs, enough.signal)]);
    enough.abort();
    return this.#pending.size;
  }

  get #isFull(): boolean {
    return this.#pending.size >= (this.#options.pendingItems ?? PENDING_ITEMS);
  }

  #isKnown(request: RequestId): boolean {
    return this.#pending.has(request) || this.#isLogged(request);
  }

  #isLogged(request: RequestId): boolean {
    return this.#logged.has(request) || this.#loggedBefore.has(request);
  }

  #keep(item: UsageItem): void {
    this.#pending.set(item.request, item);
    this.#oldestAt ??= this.#clock.mono();
    if (this.#pending.size >= this.#batchItems) this.#wake.abort();
  }

  get #batchItems(): number {
    return this.#options.batchItems ?? BATCH_ITEMS;
  }

  async #run(): Promise<void> {
    while (!this.#isStopping || this.#pending.size > 0) {
      if (this.#isDue()) await this.#flush();
      else await this.#sleep(this.#waitMs());
    }
  }

  #waitMs(): Millis {
    const ageMs = this.#options.batchAgeMs ?? BATCH_AGE_MS;
    if (this.#oldestAt === undefined) return ageMs;
    return Math.max(0, this.#oldestAt + ageMs - this.#clock.mono());
  }

  #isDue(): boolean {
    if (this.#pending.size === 0) return false;
    return this.#isStopping || this.#pending.size >= this.#batchItems || this.#waitMs() === 0;
  }

  async #flush(): Promise<void> {
    const items = [...this.#pending.values()].slice(0, this.#batchItems);
    const { incarnation } = this.#options;
    this.#seq += 1;
    const payload = { incarnation, seq: this.#seq, items };
    await this.#append({ id: createId<RecordId>(), kind: USAGE_KINDS.delta, payload });
    items.forEach((item) => this.#markLogged(item.request));
    this.#oldestAt = this.#pending.size > 0 ? this.#clock.mono() : undefined;
    this.#acknowledge();
  }

  // The same record until it is answered: readers drop a repeat by its number, so that no process
  // has to read the stream to find out what became of an append.
  async #append(record: NewRecord): Promise<void> {
    const { log, metrics } = this.#options;
    for (;;) {
      const result = await log.append('usage', [record], { timeoutMs: APPEND_TIMEOUT_MS });
      metrics?.count('usage.append');
      if (result.isOk()) return;
      metrics?.countRetry(result.error.code);
      this.#logger.warn('A batch was not logged.', { code: result.error.code });
      await this.#clock.sleep(RETRY_MS * (0.5 + this.#random.fraction()));
    }
  }

  #markLogged(request: RequestId): void {
    this.#pending.delete(request);
    this.#logged.add(request);
    if (this.#logged.size < LOGGED_IDS) return;
    this.#loggedBefore = this.#logged;
    this.#logged = new Set();
  }

  #acknowledge(): void {
    const acks = this.#receipts.settle((request) => !this.#pending.has(request));
    acks.forEach((ack) => this.#acks.forEach((handle) => handle(ack.incarnation, ack.throughSeq)));
  }

  async #sleep(ms: Millis): Promise<void> {
    this.#wake = new AbortController();
    await this.#clock.sleep(ms, this.#wake.signal);
  }
}
