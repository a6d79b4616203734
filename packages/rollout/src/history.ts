/** The state of a trainer, folded from its stream by every reader alike. */
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
import { StepHistory } from './step-history';

/** Tells whose claim of the trainer's duty is valid, from the same stream. */
export interface ClaimReader {
  /** Takes the stream's next record, of whatever kind. */
  apply(record: LogRecord): void;
  /** The last valid claim so far. */
  current(): Option<FencingNumber>;
}

const MAX_VERSIONS = 256;
const MAX_ENDED_STEPS = 64;
const MAX_VERDICTS = 4096;

/** Folds a trainer's stream. A record of a superseded claim, or one that doesn't fit, is ignored. */
export class TrainerHistory {
  readonly trainer: TrainerId;

  readonly #claims: ClaimReader;

  readonly #steps = new Map<StepId, StepHistory>();

  readonly #verdicts = new Map<RecordId, boolean>();

  #versions: PublishedVersion[] = [];

  #isComplete: boolean;

  /**
   * @param trainer - the trainer
   * @param claims - who holds the trainer's duty
   * @param options - whether the fold starts at the stream's first record ever (default yes)
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

  /** The last valid claim. */
  get claim(): Option<FencingNumber> {
    return this.#claims.current();
  }

  /** Whether all that counts has been read: the fold began at the start or met a snapshot. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** The published versions that are kept, oldest first. */
  get versions(): readonly PublishedVersion[] {
    return this.#versions;
  }

  /** The newest published version. */
  get newest(): Option<PublishedVersion> {
    return fromNullable(this.#versions.at(-1));
  }

  /** Looks a step up. */
  findStep(step: StepId): Option<StepHistory> {
    return fromNullable(this.#steps.get(step));
  }

  /** Lists the steps that are not over, oldest first. */
  openSteps(): StepHistory[] {
    return [...this.#steps.values()].filter((step) => step.end === 'open');
  }

  /**
   * Takes the stream's next record.
   *
   * @param record - a record of the stream
   * @returns whether it counted
   */
  apply(record: LogRecord): boolean {
    this.#claims.apply(record);
    const counts = this.#isOfHolder(record) && this.#applyKind(record);
    this.#remember(record.id, counts);
    return counts;
  }

  /**
   * Tells what became of a record.
   *
   * @param id - the record's id
   * @returns whether it counted, or undefined when it has not been read lately
   */
  verdict(id: RecordId): boolean | undefined {
    return this.#verdicts.get(id);
  }

  /** Writes the state down, for readers that will find the earlier records trimmed. */
  toSnapshot(): Omit<SnapshotRecord, 'claim'> {
    return {
      versions: [...this.#versions],
      steps: [...this.#steps.values()].map((step) => step.toSnapshot()),
    };
  }

  /** Takes the state as whole; for a new holder that has read all that the stream still keeps. */
  assumeComplete(): void {
    this.#isComplete = true;
  }

  /** Forgets the state before a trimmed stream is read on; the next snapshot fills it. */
  reset(): void {
    this.#steps.clear();
    this.#versions = [];
    this.#isComplete = false;
  }

  #isOfHolder(record: LogRecord): boolean {
    const { payload } = record;
    if (typeof payload !== 'object' || payload === null || !('claim' in payload)) return false;
    const claim = this.#claims.current();
    return isSome(claim) && claim.value === payload.claim;
  }

  #applyKind(record: LogRecord): boolean {
    switch (record.kind) {
      case RECORD_KINDS.publish:
        return this.#publish(record);
      case RECORD_KINDS.create:
        return this.#create(record);
      case RECORD_KINDS.numbers:
        return this.#number(record);
      case RECORD_KINDS.done:
        return this.#end(record);
      case RECORD_KINDS.snapshot:
        return this.#adopt(record);
      default:
        return false;
    }
  }

  #publish(record: LogRecord): boolean {
    const parsed = PublishRecord.safeParse(record.payload);
    if (!parsed.success) return false;
    const { version, source } = parsed.data;
    const newest = this.#versions.at(-1);
    if (newest && version <= newest.version) return false;
    this.#versions.push({ version, source, publishedAt: record.appendedAt });
    this.#versions = this.#versions.slice(-MAX_VERSIONS);
    return true;
  }

  #create(record: LogRecord): boolean {
    const parsed = CreateRecord.safeParse(record.payload);
    if (!parsed.success || this.#steps.has(parsed.data.step)) return false;
    const { step, digest, groups } = parsed.data;
    this.#steps.set(step, new StepHistory(this.trainer, step, digest, groups));
    return true;
  }

  #number(record: LogRecord): boolean {
    const parsed = NumbersRecord.safeParse(record.payload);
    if (!parsed.success) return false;
    return this.#steps.get(parsed.data.step)?.applyNumbers(parsed.data) ?? false;
  }

  #end(record: LogRecord): boolean {
    const parsed = DoneRecord.safeParse(record.payload);
    if (!parsed.success) return false;
    const ended = this.#steps.get(parsed.data.step)?.applyEnd(parsed.data.reason) ?? false;
    if (ended) this.#forgetOldest();
    return ended;
  }

  #adopt(record: LogRecord): boolean {
    if (this.#isComplete) return true;
    const parsed = SnapshotRecord.safeParse(record.payload);
    if (!parsed.success) return false;
    this.#steps.clear();
    parsed.data.steps.forEach((step) => {
      this.#steps.set(step.step, StepHistory.fromSnapshot(this.trainer, step));
    });
    this.#versions = [...parsed.data.versions];
    this.#isComplete = true;
    return true;
  }

  #forgetOldest(): void {
    const ended = [...this.#steps.values()].filter((step) => step.end !== 'open');
    ended.slice(0, -MAX_ENDED_STEPS).forEach((step) => this.#steps.delete(step.step));
  }

  #remember(id: RecordId, counts: boolean): void {
    this.#verdicts.set(id, counts);
    if (this.#verdicts.size <= MAX_VERDICTS) return;
    const [oldest] = this.#verdicts.keys();
    if (oldest !== undefined) this.#verdicts.delete(oldest);
  }
}
