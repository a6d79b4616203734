/** The other gateway processes, known from the start records that each writes to the log. */
import {
  type IncarnationId,
  type InstanceId,
  type RecordId,
  type RegionId,
  createId,
} from '@hibiscushill/base';
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import { z } from 'zod';

/** The kind of a start record. */
export const START_RECORD_KIND = 'node.started';

const StartSchema = z.object({
  instance: z.string() as unknown as z.ZodType<InstanceId>,
  incarnation: z.string() as unknown as z.ZodType<IncarnationId>,
  /** Where it relays calls of other processes to the log, `IP:port`. */
  relay: z.string(),
  /** The region of its machine; missing if the platform names none. */
  region: (z.string() as unknown as z.ZodType<RegionId>).optional(),
});

/** What a process writes to the log when it starts. */
export type ProcessStart = z.infer<typeof StartSchema>;

// Only the process that holds a lease or held it last is asked about, and without an answer its lease
// expires anyway. The lists are long enough for every instance to restart at once.
const MAX_ENDED = 1_000;
const MAX_INSTANCES = 1_000;

/** Tracks the newest process of each instance, and which processes have ended. */
export class Peers {
  readonly #own: InstanceId;

  readonly #region: RegionId | undefined;

  readonly #starts = new Map<InstanceId, ProcessStart>();

  readonly #ended = new Set<IncarnationId>();

  /**
   * @param own - this process's instance
   * @param region - the region of its machine; undefined if the platform names none
   */
  constructor(own: InstanceId, region?: RegionId) {
    this.#own = own;
    this.#region = region;
  }

  /**
   * Applies the next record of the stream.
   *
   * @returns whether it was a start record
   */
  apply(record: LogRecord): boolean {
    if (record.kind !== START_RECORD_KIND) return false;
    const parsed = StartSchema.safeParse(record.payload);
    if (!parsed.success) return false;
    const { instance, incarnation } = parsed.data;
    const known = this.#starts.get(instance);
    if (known && known.incarnation !== incarnation) this.#ended.add(known.incarnation);
    removeOldest(this.#ended, MAX_ENDED);
    // Keeps the newest start last: the processes that started first are likeliest to have ended.
    this.#starts.delete(instance);
    this.#starts.set(instance, parsed.data);
    removeOldest(this.#starts, MAX_INSTANCES);
    return true;
  }

  /** How many processes are kept, those that have ended included. */
  get size(): number {
    return this.#starts.size + this.#ended.size;
  }

  /** Whether a process has ended: a later one of the same instance has started. */
  isEnded(incarnation: IncarnationId): boolean {
    return this.#ended.has(incarnation);
  }

  /** The other instances of which a process has started. */
  get instances(): InstanceId[] {
    return [...this.#starts.keys()].filter((instance) => instance !== this.#own);
  }

  /**
   * The relay addresses of the other instances, the newest process first. Calls to the log contain
   * items, so that a process that knows its region uses only processes that state the same.
   */
  get relayAddresses(): string[] {
    return [...this.#starts.values()]
      .filter((start) => start.instance !== this.#own)
      .filter((start) => this.#region === undefined || start.region === this.#region)
      .map((start) => start.relay)
      .reverse();
  }
}

/** Creates the record that a process writes when it starts. */
export function createStartRecord(start: ProcessStart): NewRecord {
  return { id: createId<RecordId>(), kind: START_RECORD_KIND, payload: start };
}

/** Removes the entry that was added first from a set or map that exceeds its maximum size. */
function removeOldest<K>(entries: Set<K> | Map<K, unknown>, maxSize: number): void {
  const [oldest] = entries.keys();
  if (entries.size > maxSize && oldest !== undefined) entries.delete(oldest);
}
