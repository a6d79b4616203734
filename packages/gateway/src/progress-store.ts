/** Unfinished texts on the log, so that a holder's successor goes on where it stopped. */
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

import type { ItemTask, ItemText } from './item-task';
import {
  type ChainId,
  type ProgressNote,
  type ProgressPart,
  createProgress,
  parseProgress,
} from './progress-records';
import type { WorkFingerprint } from './partial-output-cache';

// What a lost holder costs its items at most, beside the lease; an engine makes 10 to 20 events in
// this time.
const SAVE_MS = 500;
const SAVE_TIMEOUT_MS = 1_500;
// Shorter additions are sooner made again than saved.
const LEAST_EVENTS = 6;
// Keeps the stream below 60 MB over the 300 s for which the log holds it, and a record below
// 256 KiB.
const MOST_NOTE_BYTES = 100_000;
// What a part has around its events.
const PART_BYTES = 250;
// A new holder starts without the texts rather than later.
const RECOVERY_MS = 600;
const PAGE_BYTES = 1_000_000;

/** What the store runs on. */
export interface ProgressStoreOptions {
  readonly log: Log;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** What is saved of an item's text. */
class SavedChain {
  readonly id = createId<ChainId>();

  readonly generation: number;

  #events = 0;

  #firstOffset: Offset | undefined;

  constructor(generation: number) {
    this.generation = generation;
  }

  /** How many events are saved. */
  get events(): number {
    return this.#events;
  }

  /** Where its first part stands. */
  get firstOffset(): Offset | undefined {
    return this.#firstOffset;
  }

  noteSaved(events: number, offset: Offset): void {
    this.#events = events;
    this.#firstOffset ??= offset;
  }
}

/** What a text has gained since it was last saved. */
interface AddedText {
  readonly chain: SavedChain;
  readonly part: ProgressPart;
}

interface NotePage {
  readonly notes: readonly ProgressNote[];
  readonly next: Offset;
}

interface Chain {
  readonly id: ChainId;
  readonly text: ItemText;
}

/** Saves what running items have of their texts, and reads what a predecessor saved. */
export class ProgressStore {
  readonly #options: ProgressStoreOptions;

  readonly #chains = new WeakMap<ItemTask, SavedChain>();

  #savedAt = -Infinity as MonoTime;

  #isSaving = false;

  /** @param options - the log */
  constructor(options: ProgressStoreOptions) {
    this.#options = options;
  }

  /**
   * Saves what was added to texts, unless that was done a moment ago or still goes on.
   *
   * @param tasks - the items that wait or run
   */
  save(tasks: readonly ItemTask[]): void {
    const now = this.#options.clock.mono();
    if (this.#isSaving || now - this.#savedAt < SAVE_MS) return;
    this.#savedAt = now;
    const begun = tasks.filter((task) => task.isBegun);
    const added = pickLongest(begun.map((task) => this.#describe(task)));
    if (added.length > 0) void this.#write(added, this.#findFirst(tasks));
  }

  /**
   * Reads the texts that a predecessor's items had.
   *
   * @returns the texts as far as they could be read
   */
  async recover(): Promise<ReadonlyMap<WorkFingerprint, ItemText>> {
    const { clock, logger } = this.#options;
    const startedAt = clock.mono();
    const chains = new Map<WorkFingerprint, Chain>();
    const done = await this.#read((startedAt + RECOVERY_MS) as MonoTime, chains);
    const tookMs = Math.round(clock.mono() - startedAt);
    if (done.isOk()) logger.info('Unfinished texts were read.', { texts: chains.size, tookMs });
    else {
      const { code, detail } = done.error;
      logger.warn('Unfinished texts were not read to the end; the others start over.', {
        texts: chains.size,
        tookMs,
        code,
        detail,
      });
    }
    return new Map([...chains].map(([work, { text }]) => [work, text]));
  }

  #describe(task: ItemTask): AddedText {
    const { events, lastNumber, versions } = task.text;
    const chain = this.#findChain(task);
    return {
      chain,
      part: {
        work: task.fingerprint,
        chain: chain.id,
        from: chain.events,
        events: events.slice(chain.events),
        lastNumber: lastNumber ?? 0,
        versions: [...versions],
      },
    };
  }

  #findChain(task: ItemTask): SavedChain {
    const known = this.#chains.get(task);
    if (known?.generation === task.generation) return known;
    const chain = new SavedChain(task.generation);
    this.#chains.set(task, chain);
    return chain;
  }

  #findFirst(tasks: readonly ItemTask[]): Offset | undefined {
    const offsets = tasks.flatMap((task) => this.#chains.get(task)?.firstOffset ?? []);
    return offsets.length > 0 ? (Math.min(...offsets) as Offset) : undefined;
  }

  async #write(added: readonly AddedText[], since: Offset | undefined): Promise<void> {
    const { log, logger, metrics } = this.#options;
    this.#isSaving = true;
    const parts = added.map(({ part }) => part);
    const record = createProgress({ ...(since !== undefined && { since }), parts });
    const done = await log.append('progress', [record], { timeoutMs: SAVE_TIMEOUT_MS });
    this.#isSaving = false;
    if (done.isErr()) {
      const { code, detail } = done.error;
      logger.warn('Unfinished texts were not saved; they go with the next ones.', { code, detail });
      return;
    }
    metrics.count('progress.saved', parts.length);
    added.forEach(({ chain, part }) => {
      chain.noteSaved(part.from + part.events.length, done.value);
    });
  }

  async #read(
    endsAt: MonoTime,
    chains: Map<WorkFingerprint, Chain>,
  ): Promise<Result<void, Failure>> {
    const { clock, log } = this.#options;
    const bounds = await Promise.race([
      log.bounds('progress'),
      clock.sleep(endsAt - clock.mono()).then(() => err(createTimeout())),
    ]);
    if (bounds.isErr()) return err(bounds.error);
    const { first, next: end } = bounds.value;
    if (end <= first) return ok(undefined);
    const last = await this.#readPage((end - 1) as Offset, endsAt);
    if (last.isErr()) return err(last.error);
    const since = last.value.notes.at(-1)?.since ?? end - 1;
    let next = Math.max(first, since) as Offset;
    while (next < end) {
      const page = await this.#readPage(next, endsAt);
      if (page.isErr()) return err(page.error);
      page.value.notes.flatMap(({ parts }) => parts).forEach((part) => addPart(chains, part));
      if (page.value.next <= next) break;
      next = page.value.next;
    }
    return ok(undefined);
  }

  async #readPage(from: Offset, endsAt: MonoTime): Promise<Result<NotePage, Failure>> {
    const { log, clock } = this.#options;
    const timeoutMs = Math.max(0, endsAt - clock.mono());
    const options = { maxBytes: PAGE_BYTES, waitMs: 0, timeoutMs };
    const page = await log.read('progress', from, options);
    return page.map(({ records, next }) => ({
      notes: records.flatMap((record) => parseProgress(record) ?? []),
      next,
    }));
  }
}

/** Picks the longest additions, as many as one note holds. */
function pickLongest(added: readonly AddedText[]): AddedText[] {
  let leftBytes = MOST_NOTE_BYTES;
  return added
    .filter(({ part }) => part.events.length >= LEAST_EVENTS)
    .sort((a, b) => b.part.events.length - a.part.events.length)
    .flatMap(({ chain, part }) => {
      const fitting = fitPart(part, leftBytes);
      if (!fitting) return [];
      leftBytes -= measurePart(fitting);
      return [{ chain, part: fitting }];
    });
}

/** Leaves out the events that don't fit; they go with a later note. */
function fitPart(part: ProgressPart, mostBytes: number): ProgressPart | undefined {
  const { events, lastNumber, versions } = part;
  let bytes = PART_BYTES;
  const count = events.findIndex((event) => {
    bytes += measureEvent(event);
    return bytes > mostBytes;
  });
  if (count < 0) return part;
  // Which of several versions made which event isn't known here.
  if (count === 0 || versions.length > 1) return undefined;
  return {
    ...part,
    events: events.slice(0, count),
    lastNumber: lastNumber - (events.length - count),
  };
}

function measurePart({ events }: ProgressPart): number {
  return events.reduce((bytes, event) => bytes + measureEvent(event), PART_BYTES);
}

function measureEvent(event: string): number {
  return Buffer.byteLength(JSON.stringify(event)) + 1;
}

/** Adds a part to its chain; parts that come twice, late or after a gap add nothing. */
function addPart(chains: Map<WorkFingerprint, Chain>, part: ProgressPart): void {
  const { work, chain: id, from, events, lastNumber, versions } = part;
  const known = chains.get(work);
  const isSame = known?.id === id;
  if (isSame && known.text.events.length >= from + events.length) return;
  if (from === 0) chains.set(work, { id, text: { events, lastNumber, versions } });
  else if (isSame && known.text.events.length === from) {
    const whole = [...known.text.events, ...events];
    chains.set(work, { id, text: { events: whole, lastNumber, versions } });
  }
}

function createTimeout(): Failure {
  return createFailure('platform_down', { detail: 'no answer in time' });
}
