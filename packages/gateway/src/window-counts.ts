/** The requests of each team that began in each window, as every reader of the log adds them up. */
import {
  type IncarnationId,
  type Millis,
  type RecordId,
  type TeamId,
  type WallTime,
  createId,
} from '@hibiscushill/base';
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import { z } from 'zod';

import type { TeamCounts } from './control-port';

/** The kinds of the records. */
export const COUNT_KINDS = { counted: 'counts.counted', closed: 'counts.closed' } as const;

const teamCounts = z.record(z.string(), z.number().int().min(0));

/** What one process has counted in a window so far. Later records replace earlier ones. */
const Counted = z.object({
  incarnation: z.string(),
  window: z.number().int(),
  counts: teamCounts,
});

/** The figures of a window; the first record of a window stands. */
const Closed = z.object({ window: z.number().int(), counts: teamCounts });

/** Adds up what all processes have counted. */
export class WindowCounts {
  readonly windowMs: Millis;

  readonly #open = new Map<number, Map<string, TeamCounts>>();

  readonly #closed = new Map<number, TeamCounts>();

  #first: number | undefined;

  /** @param windowMs - the length of a window; windows begin at its multiples since 1970 */
  constructor(windowMs: Millis) {
    this.windowMs = windowMs;
  }

  /** The window that contains a time. */
  windowAt(at: WallTime): number {
    return Math.floor(at / this.windowMs);
  }

  /** The first window that anything is known of. */
  get first(): number | undefined {
    return this.#first;
  }

  /** The figures of a closed window. */
  closedOf(window: number): TeamCounts | undefined {
    return this.#closed.get(window);
  }

  /** Adds up what was counted in a window. */
  sum(window: number): TeamCounts {
    const total: Record<string, number> = {};
    (this.#open.get(window) ?? new Map<string, TeamCounts>()).forEach((one) => {
      Object.entries(one).forEach(([team, count]) => {
        total[team] = (total[team] ?? 0) + count;
      });
    });
    return total;
  }

  /** Takes the next record of the stream; other kinds are ignored. */
  apply(record: LogRecord): void {
    if (record.kind === COUNT_KINDS.counted) {
      const parsed = Counted.safeParse(record.payload);
      if (parsed.success) this.#take(parsed.data);
    }
    if (record.kind === COUNT_KINDS.closed) {
      const parsed = Closed.safeParse(record.payload);
      if (parsed.success) this.#close(parsed.data.window, parsed.data.counts);
    }
  }

  #take(body: z.infer<typeof Counted>): void {
    this.#note(body.window);
    const window = this.#open.get(body.window) ?? new Map<string, TeamCounts>();
    this.#open.set(body.window, window);
    const known = window.get(body.incarnation) ?? {};
    window.set(body.incarnation, maxCounts(known, body.counts));
  }

  #close(window: number, figures: TeamCounts): void {
    this.#note(window);
    if (!this.#closed.has(window)) this.#closed.set(window, figures);
    this.#open.delete(window);
  }

  #note(window: number): void {
    this.#first = Math.min(this.#first ?? window, window);
  }
}

/** What this process has counted and the log doesn't have yet. */
export class OwnCounts {
  readonly #incarnation: IncarnationId;

  readonly #counts = new Map<number, Record<string, number>>();

  readonly #dirty = new Set<number>();

  /** @param incarnation - this process's incarnation */
  constructor(incarnation: IncarnationId) {
    this.#incarnation = incarnation;
  }

  /** Counts a request that began in a window. */
  count(window: number, team: TeamId): void {
    const counts = this.#counts.get(window) ?? {};
    this.#counts.set(window, counts);
    counts[team] = (counts[team] ?? 0) + 1;
    this.#dirty.add(window);
  }

  /** Takes the records that the log needs; {@link restore} brings them back if that fails. */
  take(): { readonly windows: readonly number[]; readonly records: readonly NewRecord[] } {
    const windows = [...this.#dirty];
    this.#dirty.clear();
    const records = windows.map((window) => ({
      id: createId<RecordId>(),
      kind: COUNT_KINDS.counted,
      payload: { incarnation: this.#incarnation, window, counts: this.#counts.get(window) },
    }));
    return { windows, records };
  }

  /** Marks windows whose records were not written. */
  restore(windows: readonly number[]): void {
    windows.forEach((window) => this.#dirty.add(window));
  }
}

/** Makes the record that closes a window. */
export function createClosed(window: number, figures: TeamCounts): NewRecord {
  return {
    id: createId<RecordId>(),
    kind: COUNT_KINDS.closed,
    payload: { window, counts: figures },
  };
}

// Records of one process may be written late and out of order; its counts only rise.
function maxCounts(a: TeamCounts, b: TeamCounts): TeamCounts {
  const total: Record<string, number> = { ...a };
  Object.entries(b).forEach(([team, count]) => {
    total[team] = Math.max(total[team] ?? 0, count);
  });
  return total;
}
