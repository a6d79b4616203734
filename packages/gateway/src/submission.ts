/** Submissions as every reader of the log works them out alike. */
import type { Brand, Millis, RequestId, TeamId, WallTime, WeightVersion } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import type { ModelId } from './serving-config';
import type { TextRef } from './payload-store';
import {
  type AcceptedNote,
  type EndedNote,
  type HandoverNote,
  type ListedResult,
  type ResultsNote,
  parseWorkRecord,
} from './submission-records';

/** A submission. */
export type SubmissionId = Brand<string, 'SubmissionId'>;

/** An item of a submission, under which it also runs at a target. */
export type ItemId = Brand<string, 'ItemId'>;

/** The terms of a submission. */
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
  /** How long after that its results are due, in milliseconds. */
  readonly dueMs: Millis;
  /** How long after that an item may be given up, in milliseconds. */
  readonly retentionMs: Millis;
  readonly itemCount: number;
}

/** A submission and what has become of its items. */
export class Submission {
  readonly terms: SubmissionTerms;

  /** Where its items stand. */
  readonly itemRefs: readonly TextRef[];

  readonly #results: ListedResult[] = [];

  readonly #listed = new Set<ItemId>();

  readonly #heldUntil = new Map<ItemId, WallTime>();

  #isEnded = false;

  /**
   * @param terms - its terms
   * @param itemRefs - where its items stand
   */
  constructor(terms: SubmissionTerms, itemRefs: readonly TextRef[]) {
    this.terms = terms;
    this.itemRefs = itemRefs;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Whether items are left that have no result. */
  get isOpen(): boolean {
    return !this.#isEnded && this.#listed.size < this.terms.itemCount;
  }

  /** The results in the order of their positions. */
  get results(): readonly ListedResult[] {
    return this.#results;
  }

  /** Tells whether an item has a result. */
  isListed(id: ItemId): boolean {
    return this.#listed.has(id);
  }

  /**
   * Lists a result; the first of an item stands.
   *
   * @returns whether it was the first
   */
  list(result: ListedResult): boolean {
    if (this.#listed.has(result.item)) return false;
    this.#listed.add(result.item);
    this.#results.push(result);
    return true;
  }

  /** Notes until when a leaving process still runs an item. */
  hold(item: ItemId, until: WallTime): void {
    this.#heldUntil.set(item, until);
  }

  /** Until when another process still runs an item; 0 when none does. */
  heldUntil(item: ItemId): WallTime {
    return this.#heldUntil.get(item) ?? (0 as WallTime);
  }

  /** Ends it. */
  end(): void {
    this.#isEnded = true;
  }
}

/** What a record changed. */
export type BookChange =
  | { readonly type: 'accepted'; readonly submission: Submission }
  | { readonly type: 'ended'; readonly submission: Submission }
  | { readonly type: 'listed'; readonly submission: Submission; readonly item: ItemId };

/** All submissions, made from the records of their stream in order. */
export class SubmissionBook {
  readonly #submissions = new Map<SubmissionId, Submission>();

  readonly #changed = new Set<(change: BookChange) => void>();

  /** Calls a function with each change. */
  onChanged(handle: (change: BookChange) => void): void {
    this.#changed.add(handle);
  }

  /** Finds an accepted submission. */
  find(id: SubmissionId): Submission | undefined {
    return this.#submissions.get(id);
  }

  /** Lists the submissions with items left to run. */
  listOpen(): Submission[] {
    return [...this.#submissions.values()].filter((one) => one.isOpen);
  }

  /** Takes the next record of the stream; records of other kinds are ignored. */
  apply(record: LogRecord): void {
    const parsed = parseWorkRecord(record);
    if (parsed?.type === 'accepted') this.#accept(parsed.body);
    if (parsed?.type === 'results') this.#takeResults(parsed.body);
    if (parsed?.type === 'ended') this.#takeEnd(parsed.body);
    if (parsed?.type === 'handover') this.#takeHandover(parsed.body);
  }

  /**
   * Forgets submissions whose results need not be kept any more.
   *
   * @param before - those submitted before this time are forgotten unless they are open
   */
  forget(before: WallTime): void {
    [...this.#submissions.values()]
      .filter((one) => !one.isOpen && one.terms.submittedAt < before)
      .forEach((one) => this.#submissions.delete(one.terms.id));
  }

  #accept({ terms, items }: AcceptedNote): void {
    if (this.#submissions.has(terms.id)) return;
    const submission = new Submission(terms, items);
    this.#submissions.set(terms.id, submission);
    this.#announce({ type: 'accepted', submission });
  }

  #takeResults({ results }: ResultsNote): void {
    results.forEach(({ submission: id, result }) => {
      const submission = this.find(id);
      if (!submission?.list(result)) return;
      this.#announce({ type: 'listed', submission, item: result.item });
    });
  }

  #takeEnd({ submission: id }: EndedNote): void {
    const submission = this.find(id);
    if (!submission || submission.isEnded) return;
    submission.end();
    this.#announce({ type: 'ended', submission });
  }

  #takeHandover({ until, items }: HandoverNote): void {
    items.forEach(({ submission, item }) => this.find(submission)?.hold(item, until));
  }

  #announce(change: BookChange): void {
    this.#changed.forEach((handle) => handle(change));
  }
}

/** The id under which an item's reward call or run appears in logs. */
export function describeItem(submission: SubmissionId, item: ItemId): RequestId {
  return `${submission}/${item}` as RequestId;
}
