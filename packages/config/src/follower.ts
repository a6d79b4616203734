/** Keeps a store in step with the log, and the log's snapshot from being dropped. */
import {
  type Clock,
  type Metrics,
  type Millis,
  type Offset,
  type RandomSource,
  type RecordId,
  createId,
  createLogger,
  createRandomSource,
} from '@hibiscushill/base';
import { type Log, LogTail, type NewRecord } from '@hibiscushill/log';

import { SNAPSHOT_KIND, toSnapshot } from './history';
import { type DelayPolicy, ExponentialDelay, SnapshotRenewal } from './renewal';
import type { ConfigStore } from './store';

const log = createLogger('config.follower');

const STREAM = 'config';
const TICK_MS = 200;
const RETRY_MS = 500;
const APPEND_TIMEOUT_MS = 2_000;
const RETENTION_MS = 86_400_000;
const SPREAD_MS = 60_000;
const RECENT_RECORDS = 256;

/** What a follower needs. */
export interface ConfigFollowerOptions {
  readonly log: Log;
  readonly store: ConfigStore;
  readonly clock: Clock;
  /** How long the log keeps a record, in milliseconds; a day when left out. */
  readonly retentionMs?: Millis;
  /** Over how long the processes spread their tries to renew the snapshot, in milliseconds. */
  readonly spreadMs?: Millis;
  readonly delay?: DelayPolicy;
  /** How long the log may hold an empty answer back, in milliseconds. */
  readonly waitMs?: Millis;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/** Reads the stream `config` into a store for as long as the process runs. */
export class ConfigFollower {
  readonly #options: ConfigFollowerOptions;

  readonly #renewal: SnapshotRenewal;

  readonly #stopping = new AbortController();

  #tail: LogTail | undefined;

  #task: Promise<void> | undefined;

  #hasRestarted = false;

  /** @param options - the log, the store, and how the snapshot is renewed */
  constructor(options: ConfigFollowerOptions) {
    this.#options = options;
    this.#renewal = new SnapshotRenewal({
      retentionMs: options.retentionMs ?? RETENTION_MS,
      spreadMs: options.spreadMs ?? SPREAD_MS,
      delay: options.delay ?? new ExponentialDelay(),
      random: options.random ?? createRandomSource(),
    });
  }

  /** Starts reading. Returns at once, also while the log is down. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops reading and waits until the tasks have ended. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#tail?.stop();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { clock, store } = this.#options;
    const { signal } = this.#stopping;
    const bounds = await this.#readBounds();
    if (bounds === undefined) return;
    const recent = Math.max(bounds.first, bounds.next - RECENT_RECORDS) as Offset;
    this.#follow(recent);
    while (!signal.aborted) {
      const readAt = this.#tail?.caughtUpAt;
      if (readAt !== undefined && store.isAttached) store.confirm(store.version, readAt);
      const isLost = readAt !== undefined && !store.isAttached && store.version < 0;
      if (isLost && recent > bounds.first) await this.#restart(bounds.first);
      await this.#renew();
      await clock.sleep(TICK_MS, signal);
    }
  }

  /** Reads the whole log where its latest part holds no snapshot that can be used. */
  async #restart(first: Offset): Promise<void> {
    if (this.#hasRestarted) return;
    this.#hasRestarted = true;
    log.info('The whole log is read.', { first });
    await this.#tail?.stop();
    if (!this.#stopping.signal.aborted) this.#follow(first);
  }

  #follow(from: Offset): void {
    const { log: source, clock, waitMs, metrics, random } = this.#options;
    this.#readFrom(from);
    this.#tail = new LogTail({
      log: source,
      stream: STREAM,
      clock,
      from,
      ...(waitMs !== undefined && { waitMs }),
      ...(metrics !== undefined && { metrics }),
      ...(random !== undefined && { random }),
    });
    this.#tail.onTrimmed((gap) => this.#readFrom(gap.first));
    this.#tail.subscribe((record) => {
      this.#renewal.note(record);
      this.#options.store.apply(record);
    });
    this.#tail.start();
  }

  #readFrom(first: Offset): void {
    this.#renewal.readFrom(first);
    this.#options.store.readFrom(first);
  }

  async #readBounds(): Promise<{ first: Offset; next: Offset } | undefined> {
    const { clock, log: source, metrics } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const bounds = await source.bounds(STREAM);
      if (bounds.isOk()) return bounds.value;
      metrics?.countRetry(bounds.error.code);
      await clock.sleep(RETRY_MS, signal);
    }
    return undefined;
  }

  async #renew(): Promise<void> {
    const { clock, log: source, metrics, store } = this.#options;
    const { state } = store;
    if (state === undefined || !store.isAttached) return;
    if (!this.#renewal.isTime(clock.mono(), clock.wall())) return;
    const record: NewRecord = {
      id: createId<RecordId>(),
      kind: SNAPSHOT_KIND,
      payload: toSnapshot(state),
    };
    // A lost answer needs no search: the tail shows whether this snapshot or another stands.
    const result = await source.append(STREAM, [record], { timeoutMs: APPEND_TIMEOUT_MS });
    metrics?.count(result.isOk() ? 'config.snapshot_written' : 'config.snapshot_unanswered');
    log.info('The snapshot is renewed.', { through: state.version, asOf: state.asOf });
  }
}
