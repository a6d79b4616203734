/** The other processes of the system, as they announce themselves on the log. */
import { type IncarnationId, type InstanceId, type RecordId, createId } from '@hibiscushill/base';
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import { z } from 'zod';

/** The kind of the record. */
export const STARTED_KIND = 'node.started';

const Started = z.object({
  instance: z.string() as unknown as z.ZodType<InstanceId>,
  incarnation: z.string() as unknown as z.ZodType<IncarnationId>,
  /** Where it passes calls on to the log, `IP:port`. */
  relay: z.string(),
});

/** What a process says when it starts. */
export type NodeStart = z.infer<typeof Started>;

/** Keeps the newest start of each instance. */
export class Peers {
  readonly #own: InstanceId;

  readonly #starts = new Map<InstanceId, NodeStart>();

  readonly #ended = new Set<IncarnationId>();

  /** @param own - this process's instance */
  constructor(own: InstanceId) {
    this.#own = own;
  }

  /** Takes the next record of the stream; other kinds are ignored. */
  apply(record: LogRecord): boolean {
    if (record.kind !== STARTED_KIND) return false;
    const parsed = Started.safeParse(record.payload);
    if (!parsed.success) return false;
    const { instance, incarnation } = parsed.data;
    const known = this.#starts.get(instance);
    if (known && known.incarnation !== incarnation) this.#ended.add(known.incarnation);
    // The newest start goes to the end, since the longest known may be gone.
    this.#starts.delete(instance);
    this.#starts.set(instance, parsed.data);
    return true;
  }

  /** Whether a later process of the same instance has started, so that this one has ended. */
  isEnded(incarnation: IncarnationId): boolean {
    return this.#ended.has(incarnation);
  }

  /** The relays of the other instances, the newest first. */
  get relays(): string[] {
    return [...this.#starts.values()]
      .filter((start) => start.instance !== this.#own)
      .map((start) => start.relay)
      .reverse();
  }
}

/** Makes the record with which a process announces itself. */
export function createStarted(start: NodeStart): NewRecord {
  return { id: createId<RecordId>(), kind: STARTED_KIND, payload: start };
}
