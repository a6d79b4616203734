/** The requests per team and usage window, summed up from the log; equal at every process. */
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

/** The kinds of the records of usage counts. */
export const COUNT_KINDS = { counted: 'counts.counted', closed: 'counts.closed' } as const;

const TeamCountsSchema = z.record(z.string(), z.number().int().min(0));

/** All that one process has counted in a window so far; replaces its earlier records. */
const CountedSchema = z.object({
  incarnation: z.string(),
  window: z.number().int(),
  counts: TeamCountsSchema,
});

/** Fixes the counts of a window; the first such record of a window holds. */
const ClosedSchema = z.object({ window: z.number().int(), counts: TeamCountsSchema });

// A closed window is kept while it may be reported again or its records may be late. An older one is
// fixed for good: it is neither reported nor closed again, so that its counts aren't needed.
const KEPT_WINDOWS = 64;

/** Sums up the counts of all processes. */
export class WindowCounts {
  readonly windowMs: Millis;

  readonly #open = new Map<number, Map<string, TeamCounts>>();

  readonly #closed = new Map<number, TeamCounts>();

  #firstWindow: number | undefined;

  #firstKeptWindow = -Infinity;

  /** @param windowMs - the length of a window; windows begin at multiples of it since 1970 */
  constructor(windowMs: Millis) {
    this.windowMs = windowMs;
  }

  /** The number of the window that contains a time. */
  windowAt(at: WallTime): number {
    return Math.floor(at / this.windowMs);
  }

  /** The first window that a record names and that isn't forgotten; undefined before any. */
  get firstWindow(): number | undefined {
    return this.#firstWindow;
  }

  /** How many windows are kept. */
  get size(): number {
    return this.#open.size + this.#closed.size;
  }

  /** Whether further records no longer change a window: it is closed, or older than those kept. */
  isFixed(window: number): boolean {
    return window < this.#firstKeptWindow || this.#closed.has(window);
  }

  /** The counts of a closed window; undefined if it is open. */
  findClosed(window: number): TeamCounts | undefined {
    return this.#closed.get(window);
  }

  /** Sums up the counts of an open window. */
  sum(window: number): TeamCounts {
    const total: Record<string, number> = {};
    (this.#open.get(window) ?? new Map<string, TeamCounts>()).forEach((one) => {
      Object.entries(one).forEach(([team, count]) => {
        total[team] = (total[team] ?? 0) + count;
      });
    });
    return total;
  }

  /** Applies the next record of the stream; records of other kinds are ignored. */
  apply(record: LogRecord): void {
    if (record.kind === COUNT_KINDS.counted) {
      const parsed = CountedSchema.safeParse(record.payload);
      if (parsed.success) this.#applyCounted(parsed.data);
    }
    if (record.kind === COUNT_KINDS.closed) {
      const parsed = ClosedSchema.safeParse(record.payload);
      if (parsed.success) this.#applyClosed(parsed.data.window, parsed.data.counts);
    }
  }

  #applyCounted(body: z.infer<typeof CountedSchema>): void {
    if (this.isFixed(body.window)) return;
    this.#extendFirst(body.window);
    const window = this.#open.get(body.window) ?? new Map<string, TeamCounts>();
    this.#open.set(body.window, window);
    const known = window.get(body.incarnation) ?? {};
    window.set(body.incarnation, mergeCounts(known, body.counts));
  }

  #applyClosed(window: number, counts: TeamCounts): void {
    if (this.isFixed(window)) return;
    this.#extendFirst(window);
    this.#closed.set(window, counts);
    this.#open.delete(window);
    this.#forgetBefore(window - KEPT_WINDOWS);
  }

  #forgetBefore(first: number): void {
    if (first <= this.#firstKeptWindow) return;
    this.#firstKeptWindow = first;
    this.#firstWindow = Math.max(this.#firstWindow ?? first, first);
    [this.#open, this.#closed].forEach((windows) => {
      [...windows.keys()].filter((one) => one < first).forEach((one) => windows.delete(one));
    });
  }

  #extendFirst(window: number): void {
    this.#firstWindow = Math.min(this.#firstWindow ?? window, window);
  }
}

/** The counts of this process, and which of them the log doesn't have yet. */
export class LocalCounts {
  readonly #incarnation: IncarnationId;

  readonly #counts = new Map<number, Record<string, number>>();

  readonly #unwritten = new Set<number>();

  /** @param incarnation - this process's incarnation */
  constructor(incarnation: IncarnationId) {
    this.#incarnation = incarnation;
  }

  /** How many windows are kept. */
  get size(): number {
    return this.#counts.size;
  }

  /** Removes the counts of windows that further records don't change. */
  forget(isFixed: (window: number) => boolean): void {
    [...this.#counts.keys()].filter(isFixed).forEach((window) => {
      this.#counts.delete(window);
      this.#unwritten.delete(window);
    });
  }

  count(window: number, team: TeamId): void {
    const counts = this.#counts.get(window) ?? {};
    this.#counts.set(window, counts);
    counts[team] = (counts[team] ?? 0) + 1;
    this.#unwritten.add(window);
  }

  /**
   * Creates the records of windows whose counts have changed, and regards them as written.
   *
   * @returns the records with their windows, for {@link markUnwritten} if the append fails
   */
  takeRecords(): { readonly windows: readonly number[]; readonly records: readonly NewRecord[] } {
    const windows = [...this.#unwritten];
    this.#unwritten.clear();
    const records = windows.map((window) => ({
      id: createId<RecordId>(),
      kind: COUNT_KINDS.counted,
      payload: { incarnation: this.#incarnation, window, counts: this.#counts.get(window) },
    }));
    return { windows, records };
  }

  /** Marks windows whose records have to be written again. */
  markUnwritten(windows: readonly number[]): void {
    windows
      .filter((window) => this.#counts.has(window))
      .forEach((window) => this.#unwritten.add(window));
  }
}

/** Creates the record that closes a window. */
export function createClosedRecord(window: number, counts: TeamCounts): NewRecord {
  return {
    id: createId<RecordId>(),
    kind: COUNT_KINDS.closed,
    payload: { window, counts },
  };
}

// A process's counts only rise, but its records may be written late and out of order.
function mergeCounts(a: TeamCounts, b: TeamCounts): TeamCounts {
  const total: Record<string, number> = { ...a };
  Object.entries(b).forEach(([team, count]) => {
    total[team] = Math.max(total[team] ?? 0, count);
  });
  return total;
}
