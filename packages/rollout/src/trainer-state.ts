/** The state of a trainer. Every reader that replays the trainer's stream gets the same state. */
import type { FencingNumber, RecordId, StepId, TrainerId } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { type Option, fromNullable, isSome } from 'fp-ts/Option';

import {
  CreateRecord,
  DoneRecord,
  NumbersRecord,
  PublishRecord,
  RECORD_KINDS,
  SnapshotRecord,
} from './records';
import type { PublishedVersion } from './staleness';
import { StepState } from './step-state';

/** Determines from the same stream which claim of the trainer's duty is valid. */
export interface ClaimReader {
  /** Applies the stream's next record, of any kind. */
  apply(record: LogRecord): void;
  /** Returns the last valid claim so far, or none while it isn't known. */
  current(): Option<FencingNumber>;
}

const MAX_VERSIONS = 256;
const MAX_ENDED_STEPS = 64;
const MAX_REMEMBERED_RECORDS = 4096;

/**
 * Holds a trainer's published versions and steps, built by applying the records of its stream in
 * order. A record is ignored if its claim has been superseded or if it contradicts the state.
 */
export class TrainerState {
  readonly trainer: TrainerId;

  readonly #claims: ClaimReader;

  readonly #steps = new Map<StepId, StepState>();

  readonly #outcomes = new Map<RecordId, boolean>();

  #versions: PublishedVersion[] = [];

  #isComplete: boolean;

  /**
   * @param trainer - the trainer
   * @param claims - determines the valid claim of the trainer's duty
   * @param options - `fromStart`: whether `apply` will get the stream's very first record
   *   (default true); if false, the state is incomplete until a snapshot is applied
   */
  constructor(
    trainer: TrainerId,
    claims: ClaimReader,
    options: { readonly fromStart?: boolean } = {},
  ) {
    this.trainer = trainer;
    this.#claims = claims;
    this.#isComplete = options.fromStart ?? true;
  }

  /** The last valid claim, or none while it isn't known. */
  get currentClaim(): Option<FencingNumber> {
    return this.#claims.current();
  }

  /** Whether nothing is missing: replay began at the stream's start or has reached a snapshot. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** The newest published versions, at most 256, oldest first. */
  get versions(): readonly PublishedVersion[] {
    return this.#versions;
  }

  /** The newest published version. */
  get newestVersion(): Option<PublishedVersion> {
    return fromNullable(this.#versions.at(-1));
  }

  /** Finds a step that is open or among the 64 that ended last. */
  findStep(step: StepId): Option<StepState> {
    return fromNullable(this.#steps.get(step));
  }

  /** Lists the steps that have not ended, oldest first. */
  listOpenSteps(): StepState[] {
    return [...this.#steps.values()].filter((step) => step.end === 'open');
  }

  /**
   * Applies the stream's next record.
   *
   * @param record - a record of the stream
   * @returns true if it was applied, false if it was ignored
   */
  apply(record: LogRecord): boolean {
    this.#claims.apply(record);
    const isApplied = this.#isFromOwner(record) && this.#applyKind(record);
    this.#rememberOutcome(record.id, isApplied);
    return isApplied;
  }

  /**
   * Tells whether a record was applied.
   *
   * @param id - the record's id
   * @returns true if it was applied, false if it was ignored, undefined if it isn't among the
   *   last 4096 records read
   */
  wasApplied(id: RecordId): boolean | undefined {
    return this.#outcomes.get(id);
  }

  /** Creates the body of a snapshot record, for readers that will find earlier records trimmed. */
  toSnapshot(): Omit<SnapshotRecord, 'claim'> {
    return {
      versions: [...this.#versions],
      steps: [...this.#steps.values()].map((step) => step.toSnapshot()),
    };
  }

  /** Declares the state complete, for a new owner that has read all that the stream still keeps. */
  markComplete(): void {
    this.#isComplete = true;
  }

  /** Clears the state because unread records were trimmed; the next snapshot restores it. */
  reset(): void {
    this.#steps.clear();
    this.#versions = [];
    this.#isComplete = false;
  }

  #isFromOwner(record: LogRecord): boolean {
    const { payload } = record;
    if (typeof payload !== 'object' || payload === null || !('claim' in payload)) return false;
    const claim = this.#claims.current();
    return isSome(claim) && claim.value === payload.claim;
  }

  #applyKind(record: LogRecord): boolean {
    switch (record.kind) {
      case RECORD_KINDS.publish:
        return this.#applyPublish(record);
      case RECORD_KINDS.create:
        return this.#applyCreate(record);
      case RECORD_KINDS.numbers:
        return this.#applyNumbers(record);
      case RECORD_KINDS.done:
        return this.#applyDone(record);
      case RECORD_KINDS.snapshot:
        return this.#applySnapshot(record);
      default:
        return false;
    }
  }

  #applyPublish(record: LogRecord): boolean {
    const parsed = PublishRecord.safeParse(record.payload);
    if (!parsed.success) return false;
    const { version, source } = parsed.data;
    const newest = this.#versions.at(-1);
    if (newest && version <= newest.version) return false;
    this.#versions.push({ version, source, publishedAt: record.appendedAt });
    this.#versions = this.#versions.slice(-MAX_VERSIONS);
    return true;
  }

  #applyCreate(record: LogRecord): boolean {
    const parsed = CreateRecord.safeParse(record.payload);
    if (!parsed.success || this.#steps.has(parsed.data.step)) return false;
    const { step, digest, groups } = parsed.data;
    this.#steps.set(step, new StepState(this.trainer, step, digest, groups));
    return true;
  }

  #applyNumbers(record: LogRecord): boolean {
    const parsed = NumbersRecord.safeParse(record.payload);
    if (!parsed.success) return false;
    return this.#steps.get(parsed.data.step)?.applyNumbers(parsed.data) ?? false;
  }

  #applyDone(record: LogRecord): boolean {
    const parsed = DoneRecord.safeParse(record.payload);
    if (!parsed.success) return false;
    const ended = this.#steps.get(parsed.data.step)?.applyEnd(parsed.data.reason) ?? false;
    if (ended) this.#dropOldestEndedSteps();
    return ended;
  }

  #applySnapshot(record: LogRecord): boolean {
    if (this.#isComplete) return true;
    const parsed = SnapshotRecord.safeParse(record.payload);
    if (!parsed.success) return false;
    this.#steps.clear();
    parsed.data.steps.forEach((step) => {
      this.#steps.set(step.step, StepState.fromSnapshot(this.trainer, step));
    });
    this.#versions = [...parsed.data.versions];
    this.#isComplete = true;
    return true;
  }

  #dropOldestEndedSteps(): void {
    const ended = [...this.#steps.values()].filter((step) => step.end !== 'open');
    ended.slice(0, -MAX_ENDED_STEPS).forEach((step) => this.#steps.delete(step.stepId));
  }

  #rememberOutcome(id: RecordId, isApplied: boolean): void {
    this.#outcomes.set(id, isApplied);
    if (this.#outcomes.size <= MAX_REMEMBERED_RECORDS) return;
    const [oldest] = this.#outcomes.keys();
    if (oldest !== undefined) this.#outcomes.delete(oldest);
  }
}
