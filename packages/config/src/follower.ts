/** Keeps a store up to date with the log, and renews the snapshot before the log drops it. */
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

import { SNAPSHOT_KIND, createSnapshotPayload } from './projection';
import { type DelayPolicy, ExponentialDelay, SnapshotRenewal } from './snapshot-renewal';
import type { ConfigStore } from './store';

const log = createLogger('config.follower');

const STREAM = 'config';
const CHECK_INTERVAL_MS = 200;
const BOUNDS_RETRY_MS = 500;
const APPEND_TIMEOUT_MS = 2_000;
const DEFAULT_RETENTION_MS = 86_400_000;
const DEFAULT_MAX_RENEWAL_DELAY_MS = 60_000;
// Enough to contain a snapshot, which is renewed after 64 records.
const RECENT_RECORD_COUNT = 256;

/** The log and the store that a follower connects, and how it renews the snapshot. */
export interface ConfigFollowerOptions {
  readonly log: Log;
  readonly store: ConfigStore;
  readonly clock: Clock;
  /** How long the log keeps a record, in milliseconds; a day by default. */
  readonly retentionMs?: Millis;
  /** The maximum random delay before this process renews a snapshot, in milliseconds. */
  readonly maxRenewalDelayMs?: Millis;
  /** Draws that delay. */
  readonly delayPolicy?: DelayPolicy;
  /** How long the log waits for a record before it returns an empty page, in milliseconds. */
  readonly waitMs?: Millis;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/**
 * Applies the stream `config` to a store while the process runs. It starts with the newest records,
 * and reads the whole stream only if those hold no snapshot that can be used.
 */
export class ConfigFollower {
  readonly #options: ConfigFollowerOptions;

  readonly #renewal: SnapshotRenewal;

  readonly #stopping = new AbortController();

  #tail: LogTail | undefined;

  #task: Promise<void> | undefined;

  #hasReread = false;

  /** @param options - the log, the store and the renewal of the snapshot */
  constructor(options: ConfigFollowerOptions) {
    this.#options = options;
    this.#renewal = new SnapshotRenewal({
      retentionMs: options.retentionMs ?? DEFAULT_RETENTION_MS,
      maxDelayMs: options.maxRenewalDelayMs ?? DEFAULT_MAX_RENEWAL_DELAY_MS,
      delayPolicy: options.delayPolicy ?? new ExponentialDelay(),
      random: options.random ?? createRandomSource(),
    });
  }

  /** Starts reading. Returns at once, even if the log is unavailable. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops reading and renewing, and resolves once neither is in progress. */
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
    const recent = Math.max(bounds.first, bounds.next - RECENT_RECORD_COUNT) as Offset;
    this.#startTail(recent);
    while (!signal.aborted) {
      const caughtUpAt = this.#tail?.caughtUpAt;
      if (caughtUpAt !== undefined && store.isAttached) store.confirm(store.version, caughtUpAt);
      const lacksSnapshot = caughtUpAt !== undefined && !store.isAttached && store.version < 0;
      if (lacksSnapshot && recent > bounds.first) await this.#rereadFromStart(bounds.first);
      await this.#renewSnapshot();
      await clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /** Reads the stream from its first record, when its newest records hold no usable snapshot. */
  async #rereadFromStart(first: Offset): Promise<void> {
    if (this.#hasReread) return;
    this.#hasReread = true;
    log.info(
      'The follower reads the whole stream, because its newest records hold no usable snapshot.',
      { first },
    );
    await this.#tail?.stop();
    if (!this.#stopping.signal.aborted) this.#startTail(first);
  }

  #startTail(from: Offset): void {
    const { log: source, clock, waitMs, metrics, random } = this.#options;
    this.#seek(from);
    this.#tail = new LogTail({
      log: source,
      stream: STREAM,
      clock,
      from,
      ...(waitMs !== undefined && { waitMs }),
      ...(metrics !== undefined && { metrics }),
      ...(random !== undefined && { random }),
    });
    this.#tail.onTrimmed((gap) => this.#seek(gap.first));
    this.#tail.subscribe((record) => {
      this.#renewal.observe(record);
      this.#options.store.apply(record);
    });
    this.#tail.start();
  }

  #seek(first: Offset): void {
    this.#renewal.seek(first);
    this.#options.store.seek(first);
  }

  async #readBounds(): Promise<{ first: Offset; next: Offset } | undefined> {
    const { clock, log: source, metrics } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const bounds = await source.bounds(STREAM);
      if (bounds.isOk()) return bounds.value;
      metrics?.countRetry(bounds.error.code);
      await clock.sleep(BOUNDS_RETRY_MS, signal);
    }
    return undefined;
  }

  async #renewSnapshot(): Promise<void> {
    const { clock, log: source, metrics, store } = this.#options;
    const { state } = store;
    if (state === undefined || !store.isAttached) return;
    if (!this.#renewal.shouldWrite(clock.mono(), clock.wall())) return;
    const record: NewRecord = {
      id: createId<RecordId>(),
      kind: SNAPSHOT_KIND,
      payload: createSnapshotPayload(state),
    };
    // After a lost response there is nothing to look up: the tail will read this snapshot if it was
    // appended, and otherwise the renewal stays due.
    const result = await source.append(STREAM, [record], { timeoutMs: APPEND_TIMEOUT_MS });
    metrics?.count(result.isOk() ? 'config.snapshot_written' : 'config.snapshot_unanswered');
    log.info('The follower sent a configuration snapshot to the log.', {
      through: state.version,
      asOf: state.asOf,
    });
  }
}
