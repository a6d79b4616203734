/** Sums usage in windows of time. All readers of the stream get the same windows and figures. */
import type { FencingNumber, Millis, Offset, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { ClaimTracker } from '../duty/claim-tracker';
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
import { UsageDeduplicator } from './deduplicator';

const DEFAULT_WINDOW_MS = 60_000;
const DEDUPLICATION_PERIOD_MS = 600_000;

/** The length of the windows and of deduplication. They must be the same in every process. */
export interface UsageWindowsOptions {
  /** The length of a window, in milliseconds. */
  readonly windowMs?: Millis;
  /** How long a duplicate of a request is recognised at least, in milliseconds. */
  readonly deduplicationPeriodMs?: Millis;
}

/** The figures of a window, and the offset before which they contain all records. */
export type WindowFigures = Pick<UsageClose, 'window' | 'through' | 'figures' | 'late'>;

/**
 * Assigns usage items to windows. An item belongs to the window in which its request finished by
 * its process's wall clock, or in which its record was appended by the log's clock, whichever is
 * earlier. The first close of a window by the holder of the usage duty is final. Items that come
 * after the close are counted in the next open window and marked as late.
 */
export class UsageWindows {
  readonly windowMs: Millis;

  readonly #claims = new ClaimTracker(USAGE_DUTY);

  readonly #deduplicator: UsageDeduplicator;

  readonly #openWindows = new Map<WindowStart, Contribution[]>();

  readonly #unreported = new Map<WindowStart, ClosedWindow>();

  #lastClosed: WindowStart | undefined;

  #lastSnapshotAt: WallTime | undefined;

  #isComplete = false;

  // Whether a close is valid while the current claim isn't known, see `assumeComplete`.
  #acceptsUnknownClaims = false;

  // The records since the start, until a snapshot tells the state before them.
  #bufferedRecords: LogRecord[] = [];

  #firstOffset: Offset | undefined;

  /** @param options - the length of the windows and of deduplication */
  constructor(options: UsageWindowsOptions = {}) {
    this.windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
    this.#deduplicator = new UsageDeduplicator(
      options.deduplicationPeriodMs ?? DEDUPLICATION_PERIOD_MS,
    );
  }

  /** Whether the figures contain all usage: read from the stream's start or from a snapshot. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** The offset to read next, or undefined before the first record. */
  get next(): Offset | undefined {
    return this.#claims.next;
  }

  /** The closed windows whose report the platform hasn't accepted yet, oldest first. */
  get unreported(): ClosedWindow[] {
    return [...this.#unreported.values()].sort((a, b) => a.window - b.window);
  }

  /** The windows that have items and aren't closed, oldest first. */
  get openWindows(): WindowStart[] {
    return [...this.#openWindows.keys()].sort((a, b) => a - b);
  }

  /** When the last snapshot was appended, by the log's clock. */
  get lastSnapshotAt(): WallTime | undefined {
    return this.#lastSnapshotAt;
  }

  /** Tells whether a window or a later one has been closed, so that it can't be closed any more. */
  isClosed(window: WindowStart): boolean {
    return this.#lastClosed !== undefined && window <= this.#lastClosed;
  }

  /**
   * Computes the figures with which a window would be closed now.
   *
   * @param window - an open window
   * @returns its figures, and the offset before which they contain all records
   */
  computeFigures(window: WindowStart): WindowFigures {
    const contributions = this.#openWindows.get(window) ?? [];
    const late = contributions.filter((contribution) => contribution.isLate);
    const through = this.#claims.next ?? (0 as Offset);
    return { window, through, figures: sumFigures(contributions), late: sumFigures(late) };
  }

  /** Creates a snapshot of the state after all records that were read. */
  createSnapshot(): UsageSnapshot {
    const state: UsageState = {
      open: [...this.#openWindows].map(([window, contributions]) => ({
        window,
        contributions: mergeContributions(contributions),
      })),
      unreported: this.unreported,
      ...this.#deduplicator.save(),
      ...(this.#lastClosed !== undefined && { lastClosed: this.#lastClosed }),
    };
    const claim = this.#claims.current?.claim ?? (-1 as FencingNumber);
    return { through: this.#claims.next ?? (0 as Offset), claim, state };
  }

  /**
   * Applies the next record of the stream. After a gap nothing is counted until a snapshot is read.
   *
   * @param record - any record of the stream
   */
  apply(record: LogRecord): void {
    const next = this.#claims.next ?? (0 as Offset);
    if (record.offset < next) return;
    if (record.offset > next || this.#firstOffset === undefined) this.startAt(record.offset);
    if (this.#isComplete) this.#processRecord(record);
    else this.#bufferUntilSnapshot(record);
  }

  /**
   * Discards the state and starts at an offset. Unless it is zero, nothing is counted until a
   * snapshot is read.
   *
   * @param first - the first offset that will be read
   */
  startAt(first: Offset): void {
    this.#isComplete = first === 0;
    this.#firstOffset = first;
    this.#bufferedRecords = [];
    this.#claims.startAt(first);
  }

  /**
   * Counts the records read so far as if there had been none before them. For a holder that finds
   * no snapshot in the records that the log still has.
   */
  assumeComplete(): void {
    if (this.#isComplete) return;
    this.#acceptsUnknownClaims = true;
    this.#processBuffered(this.#firstOffset ?? (0 as Offset));
    this.#acceptsUnknownClaims = false;
  }

  #bufferUntilSnapshot(record: LogRecord): void {
    this.#bufferedRecords.push(record);
    this.#claims.apply(record);
    const parsed = parseUsageRecord(record);
    if (parsed?.type !== 'snapshot' || parsed.body.through < (this.#firstOffset ?? 0)) return;
    this.#loadSnapshot(parsed.body);
    this.#processBuffered(parsed.body.through);
  }

  #loadSnapshot(snapshot: UsageSnapshot): void {
    const { state } = snapshot;
    this.#openWindows.clear();
    this.#unreported.clear();
    state.open.forEach((entry) => this.#openWindows.set(entry.window, [...entry.contributions]));
    state.unreported.forEach((closed) => this.#unreported.set(closed.window, closed));
    this.#lastClosed = state.lastClosed;
    this.#deduplicator.load(state);
    this.#claims.startFromClaim(snapshot.claim, snapshot.through);
  }

  #processBuffered(from: Offset): void {
    const records = this.#bufferedRecords.filter((record) => record.offset >= from);
    this.#bufferedRecords = [];
    this.#isComplete = true;
    if (this.#acceptsUnknownClaims) this.#claims.startAt(from);
    records.forEach((record) => this.#processRecord(record));
  }

  #processRecord(record: LogRecord): void {
    this.#claims.apply(record);
    const parsed = parseUsageRecord(record);
    if (parsed) this.#processUsage(parsed, record);
  }

  #processUsage(parsed: UsageRecord, record: LogRecord): void {
    if (parsed.type === 'delta') this.#addDelta(parsed.body, record);
    if (parsed.type === 'close') this.#applyClose(parsed.body, record.offset);
    if (parsed.type === 'reported' && this.#claims.isCurrent(parsed.body.claim)) {
      this.#unreported.delete(parsed.body.window);
    }
    if (parsed.type === 'snapshot') this.#lastSnapshotAt = record.appendedAt;
  }

  #addDelta(delta: UsageDelta, record: LogRecord): void {
    if (!this.#deduplicator.addBatch(delta, record.appendedAt)) return;
    delta.items
      .filter((item) => this.#deduplicator.addRequest(item.request, record.appendedAt))
      .forEach((item) => this.#addItem(item, record));
  }

  #addItem(item: UsageItem, record: LogRecord): void {
    const { team, service, requests, tokens } = item;
    const finishedAt = Math.min(item.finishedAt, record.appendedAt);
    const ownWindow = Math.max(0, Math.floor(finishedAt / this.windowMs) * this.windowMs);
    const isLate = this.isClosed(ownWindow);
    const window = isLate ? this.#findNextOpen(ownWindow) : ownWindow;
    const contribution = { team, service, requests, tokens, offset: record.offset, isLate };
    this.#getContributions(window).push(contribution);
  }

  /** Closes a window, and moves what its figures don't contain to the next open window. */
  #applyClose(close: UsageClose, offset: Offset): void {
    if (!this.#isValidClose(close, offset)) return;
    const { window, figures, late } = close;
    const uncounted = [...this.#openWindows]
      .filter(([other]) => other <= window)
      .flatMap(([other, contributions]) =>
        other < window
          ? contributions
          : contributions.filter((contribution) => contribution.offset >= close.through),
      );
    this.openWindows
      .filter((other) => other <= window)
      .forEach((other) => this.#openWindows.delete(other));
    this.#lastClosed = window;
    this.#unreported.set(window, { window, reportId: `${window}.${offset}`, figures, late });
    if (uncounted.length === 0) return;
    this.#getContributions(this.#findNextOpen(window)).push(
      ...uncounted.map((contribution) => ({ ...contribution, isLate: true })),
    );
  }

  #isValidClose(close: UsageClose, offset: Offset): boolean {
    if (close.window % this.windowMs !== 0 || this.isClosed(close.window)) return false;
    if (close.through > offset || close.through <= close.claim) return false;
    if (this.#claims.current === undefined) return this.#acceptsUnknownClaims;
    return this.#claims.isCurrent(close.claim);
  }

  /** The first window after a given one, and after all closed ones. */
  #findNextOpen(window: WindowStart): WindowStart {
    return Math.max(window, this.#lastClosed ?? 0) + this.windowMs;
  }

  #getContributions(window: WindowStart): Contribution[] {
    const contributions = this.#openWindows.get(window) ?? [];
    this.#openWindows.set(window, contributions);
    return contributions;
  }
}

// In a snapshot the contributions to a window are summed as if one record had made them: the last.
function mergeContributions(contributions: readonly Contribution[]): Contribution[] {
  const offset = Math.max(0, ...contributions.map((contribution) => contribution.offset)) as Offset;
  return [true, false].flatMap((isLate) =>
    sumFigures(contributions.filter((contribution) => contribution.isLate === isLate)).map(
      (figure) => ({
        ...figure,
        offset,
        isLate,
      }),
    ),
  );
}
