/** The state of submissions, built from the log's records; equal at every process that reads it. */
import type { Brand, Millis, RequestId, TeamId, WallTime, WeightVersion } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import type { ModelId, ServingVersion } from './serving-config';
import type { PayloadRef } from './payload-store';
import {
  type AcceptedPayload,
  type EndedPayload,
  type HandoverPayload,
  type ListedResult,
  type ResultsPayload,
  parseSubmissionRecord,
} from './submission-records';

/** Identifies a submission; chosen by its caller. */
export type SubmissionId = Brand<string, 'SubmissionId'>;

/** Identifies an item within its submission, and its requests at targets. */
export type ItemId = Brand<string, 'ItemId'>;

/** What a submission's caller asked for, without its items. */
export interface SubmissionTerms {
  readonly id: SubmissionId;
  readonly team: TeamId | undefined;
  readonly host: string;
  readonly path: string;
  readonly step: number | undefined;
  readonly model: ModelId | undefined;
  readonly leastVersion: WeightVersion;
  readonly wantedGroups: number | undefined;
  readonly submittedAt: WallTime;
  /**
   * The configuration by which it was accepted; undefined in records of builds that don't state it.
   */
  readonly configVersion?: ServingVersion | undefined;
  /** How long after its submission all results are due, in milliseconds. */
  readonly dueMs: Millis;
  /** How long after its submission an item may be abandoned, in milliseconds. */
  readonly retentionMs: Millis;
  readonly itemCount: number;
}

/** A submission with the results of its items so far. */
export class Submission {
  readonly terms: SubmissionTerms;

  /** Where the parts of its item list are stored. */
  readonly itemPartRefs: readonly PayloadRef[];

  readonly #results: ListedResult[] = [];

  readonly #finishedItems = new Set<ItemId>();

  readonly #handoverDeadlines = new Map<ItemId, WallTime>();

  #isEnded = false;

  /**
   * @param terms - what its caller asked for
   * @param itemPartRefs - where the parts of its item list are stored
   */
  constructor(terms: SubmissionTerms, itemPartRefs: readonly PayloadRef[]) {
    this.terms = terms;
    this.itemPartRefs = itemPartRefs;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** What its items take in the log, in bytes. */
  get itemBytes(): number {
    return this.itemPartRefs.reduce((sum, { bytes }) => sum + bytes, 0);
  }

  /** Whether it has items without a result and was not ended. */
  get isOpen(): boolean {
    return !this.#isEnded && this.#finishedItems.size < this.terms.itemCount;
  }

  /** The results in the order in which the log lists them, which is that of their positions. */
  get results(): readonly ListedResult[] {
    return this.#results;
  }

  hasResult(id: ItemId): boolean {
    return this.#finishedItems.has(id);
  }

  /**
   * Adds a result at the next position, unless the item has one already.
   *
   * @returns whether it was added
   */
  addResult(result: ListedResult): boolean {
    if (this.#finishedItems.has(result.item)) return false;
    this.#finishedItems.add(result.item);
    this.#results.push(result);
    return true;
  }

  /** Sets until when a process that is shutting down goes on running an item. */
  setHandoverDeadline(item: ItemId, until: WallTime): void {
    this.#handoverDeadlines.set(item, until);
  }

  /** Until when a process that is shutting down runs an item; 0 if none was handed over. */
  handoverDeadline(item: ItemId): WallTime {
    return this.#handoverDeadlines.get(item) ?? (0 as WallTime);
  }

  /** Marks it as ended by its caller. */
  end(): void {
    this.#isEnded = true;
  }
}

/** What a record of the log changed, or that a submission is no longer kept. */
export type SubmissionChange =
  | { readonly type: 'accepted'; readonly submission: Submission }
  | { readonly type: 'removed'; readonly submission: Submission }
  | { readonly type: 'ended'; readonly submission: Submission }
  | { readonly type: 'result-added'; readonly submission: Submission; readonly item: ItemId };

/** All submissions, built by applying the records of their stream in order. */
export class SubmissionRegistry {
  readonly #submissions = new Map<SubmissionId, Submission>();

  readonly #listeners = new Set<(change: SubmissionChange) => void>();

  /** Registers a function that is called with each change. */
  onChanged(handle: (change: SubmissionChange) => void): void {
    this.#listeners.add(handle);
  }

  find(id: SubmissionId): Submission | undefined {
    return this.#submissions.get(id);
  }

  /** Lists the submissions that have items left to run. */
  listOpen(): Submission[] {
    return [...this.#submissions.values()].filter((one) => one.isOpen);
  }

  /** What the items of all open submissions take, in bytes. */
  get openBytes(): number {
    return this.listOpen().reduce((sum, { itemBytes }) => sum + itemBytes, 0);
  }

  /** Applies the next record of the stream; records of other kinds are ignored. */
  apply(record: LogRecord): void {
    const parsed = parseSubmissionRecord(record);
    if (parsed?.type === 'accepted') this.#applyAccepted(parsed.body);
    if (parsed?.type === 'results') this.#applyResults(parsed.body);
    if (parsed?.type === 'ended') this.#applyEnded(parsed.body);
    if (parsed?.type === 'handover') this.#applyHandover(parsed.body);
  }

  /**
   * Removes submissions whose results no longer have to be kept.
   *
   * @param before - those submitted before this time are removed unless they are open
   */
  removeFinished(before: WallTime): void {
    [...this.#submissions.values()]
      .filter((one) => !one.isOpen && one.terms.submittedAt < before)
      .forEach((submission) => {
        this.#submissions.delete(submission.terms.id);
        this.#notify({ type: 'removed', submission });
      });
  }

  #applyAccepted({ terms, items }: AcceptedPayload): void {
    if (this.#submissions.has(terms.id)) return;
    const submission = new Submission(terms, items);
    this.#submissions.set(terms.id, submission);
    this.#notify({ type: 'accepted', submission });
  }

  #applyResults({ results }: ResultsPayload): void {
    results.forEach(({ submission: id, result }) => {
      const submission = this.find(id);
      if (!submission?.addResult(result)) return;
      this.#notify({ type: 'result-added', submission, item: result.item });
    });
  }

  #applyEnded({ submission: id }: EndedPayload): void {
    const submission = this.find(id);
    if (!submission || submission.isEnded) return;
    submission.end();
    this.#notify({ type: 'ended', submission });
  }

  #applyHandover({ until, items }: HandoverPayload): void {
    items.forEach(({ submission, item }) =>
      this.find(submission)?.setHandoverDeadline(item, until),
    );
  }

  #notify(change: SubmissionChange): void {
    this.#listeners.forEach((handle) => handle(change));
  }
}

/** Formats the id under which an item appears in log lines. */
export function formatItemId(submission: SubmissionId, item: ItemId): RequestId {
  return `${submission}/${item}` as RequestId;
}
