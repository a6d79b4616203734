/** The state of one step according to the log. */
import type { SampleId, StepId, TrainerId } from '@hibiscushill/base';
import { type Option, fromNullable } from 'fp-ts/Option';

import type { NumberedSample, NumbersRecord, SampleGroup, StepEnd, StepSnapshot } from './records';
import { formatSampleId } from './sample-runner';

/**
 * Holds a step's groups, the sequence numbers of its samples, and how far the trainer has read.
 *
 * Samples are delivered in the order of their numbers, which start at 1 and have no gaps. A number
 * becomes void when its payload was lost or grew too old before the trainer confirmed it; the
 * sample is then generated again under a new number.
 */
export class StepState {
  readonly stepId: StepId;

  readonly digest: string;

  readonly groups: readonly SampleGroup[];

  readonly #sampleIds: ReadonlySet<SampleId>;

  /** The sample with number `n` at index `n - 1`, or null if the number is void. */
  readonly #numberedSamples: (NumberedSample | null)[] = [];

  readonly #numberBySample = new Map<SampleId, number>();

  #confirmedNumber = 0;

  #lastNumberAtEnd = 0;

  #end: StepEnd = 'open';

  /**
   * @param trainer - the step's trainer
   * @param step - the step's id
   * @param digest - the digest of its groups
   * @param groups - its groups
   */
  constructor(trainer: TrainerId, step: StepId, digest: string, groups: readonly SampleGroup[]) {
    this.stepId = step;
    this.digest = digest;
    this.groups = groups;
    this.#sampleIds = new Set(listSampleIds(trainer, step, groups));
  }

  /** The highest number that was assigned, or zero. */
  get lastNumber(): number {
    return this.#end === 'open' ? this.#numberedSamples.length : this.#lastNumberAtEnd;
  }

  /** The highest number that the trainer has confirmed by its cursor and the log records. */
  get confirmedNumber(): number {
    return this.#confirmedNumber;
  }

  /** Whether the step is open, or why it ended. */
  get end(): StepEnd {
    return this.#end;
  }

  /** How many samples the step has. */
  get sampleCount(): number {
    return this.#sampleIds.size;
  }

  /** How many samples have a number that is not void. */
  get numberedCount(): number {
    return this.#numberBySample.size;
  }

  /** Whether every sample has a number that is not void. */
  get isFullyNumbered(): boolean {
    return this.#numberBySample.size === this.#sampleIds.size;
  }

  /** Lists the step's samples in the order of its groups. */
  sampleIds(): Iterable<SampleId> {
    return this.#sampleIds;
  }

  /**
   * Finds the sample that has a number.
   *
   * @param number - a number from 1 to `lastNumber`
   * @returns the sample, or none for a void number
   */
  sampleAt(number: number): Option<NumberedSample> {
    return fromNullable(this.#numberedSamples[number - 1] ?? undefined);
  }

  /** Whether a number was assigned and has become void. */
  isVoid(number: number): boolean {
    return this.#numberedSamples[number - 1] === null;
  }

  /**
   * Finds a sample's number.
   *
   * @param sample - the sample's id
   * @returns its number, or undefined while it has none that is not void
   */
  numberOf(sample: SampleId): number | undefined {
    return this.#numberBySample.get(sample);
  }

  /**
   * Applies a record of sequence numbers, wholly or not at all.
   *
   * @param record - the record
   * @returns whether it was valid and has been applied
   */
  applyNumbers(record: NumbersRecord): boolean {
    if (this.#end !== 'open' || !this.#isValid(record)) return false;
    record.voids.forEach((number) => this.#voidNumber(number));
    record.samples.forEach((sample) => this.#appendNumbered(sample));
    this.#confirmedNumber = Math.max(this.#confirmedNumber, record.passed);
    return true;
  }

  /**
   * Ends the step and drops its numbers, except for the last one.
   *
   * @param reason - why it ended
   * @returns whether it was open before
   */
  applyEnd(reason: 'complete' | 'expired'): boolean {
    if (this.#end !== 'open') return false;
    this.#lastNumberAtEnd = this.#numberedSamples.length;
    this.#end = reason;
    this.#numberedSamples.length = 0;
    this.#numberBySample.clear();
    return true;
  }

  /** Creates the step's part of a snapshot record. */
  toSnapshot(): StepSnapshot {
    return {
      step: this.stepId,
      digest: this.digest,
      groups: this.#end === 'open' ? [...this.groups] : [],
      numbers: [...this.#numberedSamples],
      last: this.lastNumber,
      passed: this.#confirmedNumber,
      end: this.#end,
    };
  }

  /**
   * Restores a step from a snapshot record.
   *
   * @param trainer - the step's trainer
   * @param snapshot - what `toSnapshot` returned
   * @returns the step
   */
  static fromSnapshot(trainer: TrainerId, snapshot: StepSnapshot): StepState {
    const step = new StepState(trainer, snapshot.step, snapshot.digest, snapshot.groups);
    snapshot.numbers.forEach((sample) => {
      if (sample === null) step.#numberedSamples.push(null);
      else step.#appendNumbered(sample);
    });
    step.#confirmedNumber = snapshot.passed;
    step.#lastNumberAtEnd = snapshot.last;
    step.#end = snapshot.end;
    return step;
  }

  #isValid(record: NumbersRecord): boolean {
    if (record.from !== this.lastNumber + 1) return false;
    if (record.passed > this.lastNumber) return false;
    const voids = new Set(record.voids);
    if (voids.size !== record.voids.length) return false;
    if (!record.voids.every((number) => this.#canVoid(number))) return false;
    const ids = record.samples.map((sample) => sample.id);
    return new Set(ids).size === ids.length && ids.every((id) => this.#canNumber(id, voids));
  }

  #canVoid(number: number): boolean {
    return number > this.#confirmedNumber && number <= this.lastNumber && !this.isVoid(number);
  }

  #canNumber(sample: SampleId, voids: ReadonlySet<number>): boolean {
    if (!this.#sampleIds.has(sample)) return false;
    const number = this.#numberBySample.get(sample);
    return number === undefined || voids.has(number);
  }

  #voidNumber(number: number): void {
    const sample = this.#numberedSamples[number - 1];
    if (sample) this.#numberBySample.delete(sample.id);
    this.#numberedSamples[number - 1] = null;
  }

  #appendNumbered(sample: NumberedSample): void {
    this.#numberedSamples.push(sample);
    this.#numberBySample.set(sample.id, this.#numberedSamples.length);
  }
}

/**
 * Lists the ids of a step's samples.
 *
 * @param trainer - the step's trainer
 * @param step - the step's id
 * @param groups - the step's groups
 * @returns the ids, in the order of the groups and of the samples within them
 */
export function listSampleIds(
  trainer: TrainerId,
  step: StepId,
  groups: readonly SampleGroup[],
): SampleId[] {
  return groups.flatMap((group) =>
    Array.from({ length: group.count }, (_, index) =>
      formatSampleId(trainer, step, group.id, index),
    ),
  );
}
