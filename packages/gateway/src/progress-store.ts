/** Partial outputs on the log, from which the duty's next holder resumes the running items. */
import {
  type Clock,
  type Failure,
  type Logger,
  type Metrics,
  type MonoTime,
  type Offset,
  createFailure,
  createId,
} from '@hibiscushill/base';
import type { Log } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

import type { ItemTask, PartialOutput } from './item-task';
import {
  type ChainId,
  type ProgressPayload,
  type OutputSegment,
  createProgressRecord,
  parseProgressRecord,
} from './progress-records';
import type { ItemFingerprint } from './partial-output-cache';

// A holder that is lost loses at most this much of each output, 10 to 20 events of an engine,
// beside the time until its lease expires.
const SAVE_INTERVAL_MS = 500;
const SAVE_TIMEOUT_MS = 1_500;
// Generating fewer events again is faster than saving them.
const MIN_SEGMENT_EVENTS = 6;
// Keeps the stream below 60 MB over the 300 s for which the log retains it, and a record below the
// log's limit of 256 KiB.
const MAX_RECORD_BYTES = 100_000;
// The approximate size of a segment without its events.
const SEGMENT_OVERHEAD_BYTES = 250;
// A new holder starts without the outputs rather than wait longer for them.
const RECOVERY_TIMEOUT_MS = 600;
const MAX_PAGE_BYTES = 1_000_000;

/** The log and what the store reports to. */
export interface ProgressStoreOptions {
  readonly log: Log;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** How much of a chain is on the log. */
class SavedChain {
  readonly id = createId<ChainId>();

  /** How often the item's output had been discarded when the chain began. */
  readonly restarts: number;

  #savedEvents = 0;

  #firstOffset: Offset | undefined;

  constructor(restarts: number) {
    this.restarts = restarts;
  }

  /** How many of its events are saved. */
  get savedEvents(): number {
    return this.#savedEvents;
  }

  /** The offset of the record with its first segment; undefined before any was saved. */
  get firstOffset(): Offset | undefined {
    return this.#firstOffset;
  }

  /**
   * Marks events as saved.
   *
   * @param events - how many of its events are saved now
   * @param offset - the offset of the record with the newest of them
   */
  markSaved(events: number, offset: Offset): void {
    this.#savedEvents = events;
    this.#firstOffset ??= offset;
  }
}

/** The events that were added to a chain since it was last saved. */
interface UnsavedSegment {
  readonly chain: SavedChain;
  readonly segment: OutputSegment;
}

interface ProgressPage {
  readonly payloads: readonly ProgressPayload[];
  readonly next: Offset;
}

interface RecoveredChain {
  readonly id: ChainId;
  readonly output: PartialOutput;
}

/** Saves the outputs of running items, and recovers those that the previous holder saved. */
export class ProgressStore {
  readonly #options: ProgressStoreOptions;

  readonly #chainsByTask = new WeakMap<ItemTask, SavedChain>();

  #lastSaveAt = -Infinity as MonoTime;

  #isSaving = false;

  /** @param options - the log */
  constructor(options: ProgressStoreOptions) {
    this.#options = options;
  }

  /**
   * Starts to save what was added to outputs, unless a save is in progress or was started recently.
   *
   * @param tasks - the items that wait or run
   */
  save(tasks: readonly ItemTask[]): void {
    const now = this.#options.clock.mono();
    if (this.#isSaving || now - this.#lastSaveAt < SAVE_INTERVAL_MS) return;
    this.#lastSaveAt = now;
    const withOutput = tasks.filter((task) => task.hasOutput);
    const added = selectLongest(withOutput.map((task) => this.#createSegment(task)));
    if (added.length > 0) void this.#write(added, this.#findFirstOffset(tasks));
  }

  /**
   * Reads the outputs that a previous holder saved.
   *
   * @returns the outputs that could be read in time, by item
   */
  async recover(): Promise<ReadonlyMap<ItemFingerprint, PartialOutput>> {
    const { clock, logger } = this.#options;
    const startedAt = clock.mono();
    const chains = new Map<ItemFingerprint, RecoveredChain>();
    const done = await this.#read((startedAt + RECOVERY_TIMEOUT_MS) as MonoTime, chains);
    const tookMs = Math.round(clock.mono() - startedAt);
    if (done.isOk()) logger.info('Partial outputs were recovered.', { texts: chains.size, tookMs });
    else {
      const { code, detail } = done.error;
      logger.warn('Partial outputs were recovered only in part; the other items start over.', {
        texts: chains.size,
        tookMs,
        code,
        detail,
      });
    }
    return new Map([...chains].map(([item, { output }]) => [item, output]));
  }

  #createSegment(task: ItemTask): UnsavedSegment {
    const { events, lastNumber, versions, software } = task.output;
    const chain = this.#getChain(task);
    return {
      chain,
      segment: {
        work: task.fingerprint,
        chain: chain.id,
        from: chain.savedEvents,
        events: events.slice(chain.savedEvents),
        lastNumber: lastNumber ?? 0,
        versions: [...versions],
        software,
      },
    };
  }

  #getChain(task: ItemTask): SavedChain {
    const known = this.#chainsByTask.get(task);
    if (known?.restarts === task.restarts) return known;
    const chain = new SavedChain(task.restarts);
    this.#chainsByTask.set(task, chain);
    return chain;
  }

  #findFirstOffset(tasks: readonly ItemTask[]): Offset | undefined {
    const offsets = tasks.flatMap((task) => this.#chainsByTask.get(task)?.firstOffset ?? []);
    return offsets.length > 0 ? (Math.min(...offsets) as Offset) : undefined;
  }

  async #write(added: readonly UnsavedSegment[], since: Offset | undefined): Promise<void> {
    const { log, logger, metrics } = this.#options;
    this.#isSaving = true;
    const parts = added.map(({ segment }) => segment);
    const record = createProgressRecord({ ...(since !== undefined && { since }), parts });
    const done = await log.append('progress', [record], { timeoutMs: SAVE_TIMEOUT_MS });
    this.#isSaving = false;
    if (done.isErr()) {
      const { code, detail } = done.error;
      logger.warn('Partial outputs were not saved; the next save includes them.', { code, detail });
      return;
    }
    metrics.count('progress.saved', parts.length);
    added.forEach(({ chain, segment }) => {
      chain.markSaved(segment.from + segment.events.length, done.value);
    });
  }

  async #read(
    endsAt: MonoTime,
    chains: Map<ItemFingerprint, RecoveredChain>,
  ): Promise<Result<void, Failure>> {
    const { clock, log } = this.#options;
    const bounds = await Promise.race([
      log.bounds('progress'),
      clock.sleep(endsAt - clock.mono()).then(() => err(createTimeoutFailure())),
    ]);
    if (bounds.isErr()) return err(bounds.error);
    const { first, next: end } = bounds.value;
    if (end <= first) return ok(undefined);
    const last = await this.#readPage((end - 1) as Offset, endsAt);
    if (last.isErr()) return err(last.error);
    const since = last.value.payloads.at(-1)?.since ?? end - 1;
    let next = Math.max(first, since) as Offset;
    while (next < end) {
      const page = await this.#readPage(next, endsAt);
      if (page.isErr()) return err(page.error);
      page.value.payloads
        .flatMap(({ parts }) => parts)
        .forEach((segment) => applySegment(chains, segment));
      if (page.value.next <= next) break;
      next = page.value.next;
    }
    return ok(undefined);
  }

  async #readPage(from: Offset, endsAt: MonoTime): Promise<Result<ProgressPage, Failure>> {
    const { log, clock } = this.#options;
    const timeoutMs = Math.max(0, endsAt - clock.mono());
    const options = { maxBytes: MAX_PAGE_BYTES, waitMs: 0, timeoutMs };
    const page = await log.read('progress', from, options);
    return page.map(({ records, next }) => ({
      payloads: records.flatMap((record) => parseProgressRecord(record) ?? []),
      next,
    }));
  }
}

/** Selects the longest segments, as many as fit into one record. */
function selectLongest(added: readonly UnsavedSegment[]): UnsavedSegment[] {
  let leftBytes = MAX_RECORD_BYTES;
  return added
    .filter(({ segment }) => segment.events.length >= MIN_SEGMENT_EVENTS)
    .sort((a, b) => b.segment.events.length - a.segment.events.length)
    .flatMap(({ chain, segment }) => {
      const fitting = truncateSegment(segment, leftBytes);
      if (!fitting) return [];
      leftBytes -= measureSegment(fitting);
      return [{ chain, segment: fitting }];
    });
}

/** Drops the events that don't fit; a later record includes them. */
function truncateSegment(segment: OutputSegment, maxBytes: number): OutputSegment | undefined {
  const { events, lastNumber, versions } = segment;
  let bytes = SEGMENT_OVERHEAD_BYTES;
  const count = events.findIndex((event) => {
    bytes += measureEvent(event);
    return bytes > maxBytes;
  });
  if (count < 0) return segment;
  // It isn't known which of several versions generated which event.
  if (count === 0 || versions.length > 1) return undefined;
  return {
    ...segment,
    events: events.slice(0, count),
    lastNumber: lastNumber - (events.length - count),
  };
}

function measureSegment({ events }: OutputSegment): number {
  return events.reduce((bytes, event) => bytes + measureEvent(event), SEGMENT_OVERHEAD_BYTES);
}

function measureEvent(event: string): number {
  return Buffer.byteLength(JSON.stringify(event)) + 1;
}

/** Appends a segment to its chain; one that is repeated, late or follows a gap has no effect. */
function applySegment(chains: Map<ItemFingerprint, RecoveredChain>, segment: OutputSegment): void {
  const { work, chain: id, from, events, lastNumber, versions, software } = segment;
  const known = chains.get(work);
  const isSame = known?.id === id;
  if (isSame && known.output.events.length >= from + events.length) return;
  if (from === 0) chains.set(work, { id, output: { events, lastNumber, versions, software } });
  else if (isSame && known.output.events.length === from) {
    const joined = [...known.output.events, ...events];
    chains.set(work, { id, output: { events: joined, lastNumber, versions, software } });
  }
}

function createTimeoutFailure(): Failure {
  return createFailure('platform_down', { detail: 'no response in time' });
}
