/** The usage windows, as every reader of the stream works them out alike. */
import type { FencingNumber, Millis, Offset, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { ClaimHistory } from '../duty/claim-tracker';
import { sumFigures } from './figures';
import {
  type ClosedWindow,
  type Contribution,
  USAGE_DUTY,
  type UsageClose,
  type UsageDelta,
  type UsageItem,
  type UsageRecord,
  type UsageSnapshot,
  type UsageState,
  type WindowStart,
  parseUsageRecord,
} from './records';
import { UsageRepeats } from './deduplicator';

const WINDOW_MS = 60_000;
const REPEAT_PERIOD_MS = 600_000;

/** The rule of the windows; it has to be the same at every process. */
export interface UsageWindowsOptions {
  /** The length of a window, in milliseconds. */
  readonly windowMs?: Millis;
  /** For how long a request is recognised when it comes again, in milliseconds. */
  readonly repeatPeriodMs?: Millis;
}

/** What the close of a window would say. */
export type Closing = Pick<UsageClose, 'window' | 'through' | 'figures' | 'late'>;

/**
 * Items by window. An item belongs to the window in which it finished by its process's wall clock,
 * or in which its record was appended by the log's clock, whichever is earlier. The first close
 * of a window by the holder of the usage duty stands. What comes after the close belongs to the
 * next open window, marked as late.
 */
export class UsageWindows {
  readonly windowMs: Millis;

  readonly #history = new ClaimHistory(USAGE_DUTY);

  readonly #repeats: UsageRepeats;

  readonly #open = new Map<WindowStart, Contribution[]>();

  readonly #unreported = new Map<WindowStart, ClosedWindow>();

  #lastClosed: WindowStart | undefined;

  #lastSnapshotAt: WallTime | undefined;

  #isSettled = false;

  #isTrusting = false;

  #waiting: LogRecord[] = [];

  #first: Offset | undefined;

  /** @param options - the rule of the windows */
  constructor(options: UsageWindowsOptions = {}) {
    this.windowMs = options.windowMs ?? WINDOW_MS;
    this.#repeats = new UsageRepeats(options.repeatPeriodMs ?? REPEAT_PERIOD_MS);
  }

  /** Whether the figures are whole: read from the first record or from a snapshot on. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** The offset to read next, or undefined before the first record. */
  get next(): Offset | undefined {
    return this.#history.next;
  }

  /** The closed windows of which the platform hasn't yet answered the report, oldest first. */
  get unreported(): ClosedWindow[] {
    return [...this.#unreported.values()].sort((a, b) => a.window - b.window);
  }

  /** The windows with items that aren't closed, oldest first. */
  get open(): WindowStart[] {
    return [...this.#open.keys()].sort((a, b) => a - b);
  }

  /** When the last snapshot was appended, by the log's clock. */
  get lastSnapshotAt(): WallTime | undefined {
    return this.#lastSnapshotAt;
  }

  /** Tells whether a window can't be closed any more. */
  isClosed(window: WindowStart): boolean {
    return this.#lastClosed !== undefined && window <= this.#lastClosed;
  }

  /**
   * Works out what a close would say now.
   *
   * @param window - an open window
   * @returns its figures, and the offset up to which they count records
   */
  close(window: WindowStart): Closing {
    const parts = this.#open.get(window) ?? [];
    const late = parts.filter((part) => part.isLate);
    const through = this.#history.next ?? (0 as Offset);
    return { window, through, figures: sumFigures(parts), late: sumFigures(late) };
  }

  /** Makes a snapshot of all that was read. */
  save(): UsageSnapshot {
    const state: UsageState = {
      open: [...this.#open].map(([window, parts]) => ({ window, contributions: compact(parts) })),
      unreported: this.unreported,
      ...this.#repeats.save(),
      ...(this.#lastClosed !== undefined && { lastClosed: this.#lastClosed }),
    };
    const claim = this.#history.present?.claim ?? (-1 as FencingNumber);
    return { through: this.#history.next ?? (0 as Offset), claim, state };
  }

  /**
   * Takes the next record of the stream. After a gap nothing is counted until a snapshot comes.
   *
   * @param record - any record of the stream
   */
  apply(record: LogRecord): void {
    const next = this.#history.next ?? (0 as Offset);
    if (record.offset < next) return;
    if (record.offset > next || this.#first === undefined) this.startAt(record.offset);
    if (this.#isSettled) this.#take(record);
    else this.#wait(record);
  }

  /**
   * Starts anew at an offset. Unless it is the stream's first, nothing is counted until a snapshot
   * comes.
   *
   * @param first - the first offset that will be read
   */
  startAt(first: Offset): void {
    this.#isSettled = first === 0;
    this.#first = first;
    this.#waiting = [];
    this.#history.startAt(first);
  }

  /**
   * Counts what was read since a trimmed start as if nothing had stood before. For a holder that
   * finds no snapshot in all that the log keeps.
   */
  adopt(): void {
    if (this.#isSettled) return;
    this.#isTrusting = true;
    this.#replay(this.#first ?? (0 as Offset));
    this.#isTrusting = false;
  }

  #wait(record: LogRecord): void {
    this.#waiting.push(record);
    this.#history.apply(record);
    const parsed = parseUsageRecord(record);
    if (parsed?.type !== 'snapshot' || parsed.body.through < (this.#first ?? 0)) return;
    this.#load(parsed.body);
    this.#replay(parsed.body.through);
  }

  #load(snapshot: UsageSnapshot): void {
    const { state } = snapshot;
    this.#open.clear();
    this.#unreported.clear();
    state.open.forEach((entry) => this.#open.set(entry.window, [...entry.contributions]));
    state.unreported.forEach((closed) => this.#unreported.set(closed.window, closed));
    this.#lastClosed = state.lastClosed;
    this.#repeats.load(state);
    this.#history.startFrom(snapshot.claim, snapshot.through);
  }

  #replay(from: Offset): void {
    const records = this.#waiting.filter((record) => record.offset >= from);
    this.#waiting = [];
    this.#isSettled = true;
    if (this.#isTrusting) this.#history.startAt(from);
    records.forEach((record) => this.#take(record));
  }

  #take(record: LogRecord): void {
    this.#history.apply(record);
    const parsed = parseUsageRecord(record);
    if (parsed) this.#count(parsed, record);
  }

  #count(parsed: UsageRecord, record: LogRecord): void {
    if (parsed.type === 'delta') this.#addDelta(parsed.body, record);
    if (parsed.type === 'close') this.#takeClose(parsed.body, record.offset);
    if (parsed.type === 'reported' && this.#history.isPresent(parsed.body.claim)) {
      this.#unreported.delete(parsed.body.window);
    }
    if (parsed.type === 'snapshot') this.#lastSnapshotAt = record.appendedAt;
  }

  #addDelta(delta: UsageDelta, record: LogRecord): void {
    if (!this.#repeats.addBatch(delta, record.appendedAt)) return;
    delta.items
      .filter((item) => this.#repeats.addRequest(item.request, record.appendedAt))
      .forEach((item) => this.#addItem(item, record));
  }

  #addItem(item: UsageItem, record: LogRecord): void {
    const { team, service, requests, tokens } = item;
    const finishedAt = Math.min(item.finishedAt, record.appendedAt);
    const own = Math.max(0, Math.floor(finishedAt / this.windowMs) * this.windowMs);
    const isLate = this.isClosed(own);
    const window = isLate ? this.#firstOpen(own) : own;
    const part = { team, service, requests, tokens, offset: record.offset, isLate };
    this.#partsOf(window).push(part);
  }

  #takeClose(close: UsageClose, offset: Offset): void {
    if (!this.#mayClose(close, offset)) return;
    const { window, figures, late } = close;
    const left = [...this.#open]
      .filter(([other]) => other <= window)
      .flatMap(([other, parts]) =>
        other < window ? parts : parts.filter((part) => part.offset >= close.through),
      );
    this.open.filter((other) => other <= window).forEach((other) => this.#open.delete(other));
    this.#lastClosed = window;
    this.#unreported.set(window, { window, reportId: `${window}.${offset}`, figures, late });
    if (left.length === 0) return;
    this.#partsOf(this.#firstOpen(window)).push(...left.map((part) => ({ ...part, isLate: true })));
  }

  #mayClose(close: UsageClose, offset: Offset): boolean {
    if (close.window % this.windowMs !== 0 || this.isClosed(close.window)) return false;
    if (close.through > offset || close.through <= close.claim) return false;
    if (this.#history.present === undefined) return this.#isTrusting;
    return this.#history.isPresent(close.claim);
  }

  #firstOpen(window: WindowStart): WindowStart {
    return Math.max(window, this.#lastClosed ?? 0) + this.windowMs;
  }

  #partsOf(window: WindowStart): Contribution[] {
    const parts = this.#open.get(window) ?? [];
    this.#open.set(window, parts);
    return parts;
  }
}

// A snapshot counts as one record that stands just before its own `through`.
function compact(parts: readonly Contribution[]): Contribution[] {
  const offset = Math.max(0, ...parts.map((part) => part.offset)) as Offset;
  return [true, false].flatMap((isLate) =>
    sumFigures(parts.filter((part) => part.isLate === isLate)).map((figure) => ({
      ...figure,
      offset,
      isLate,
    })),
  );
}
