/** What the log says about one step. */
import type { SampleId, StepId, TrainerId } from '@hibiscushill/base';
import { type Option, fromNullable } from 'fp-ts/Option';

import type { NumberedSample, NumbersRecord, SampleGroup, StepEnd, StepSnapshot } from './records';
import { nameSample } from './samples';

/** A step: its samples, which of them has which number, and how far the trainer has read. */
export class StepHistory {
  readonly step: StepId;

  readonly digest: string;

  readonly groups: readonly SampleGroup[];

  readonly #samples: ReadonlySet<SampleId>;

  readonly #numbers: (NumberedSample | null)[] = [];

  readonly #numberOf = new Map<SampleId, number>();

  #passed = 0;

  #endedLast = 0;

  #end: StepEnd = 'open';

  /**
   * @param trainer - the trainer
   * @param step - the step
   * @param digest - the digest of its groups
   * @param groups - its groups
   */
  constructor(trainer: TrainerId, step: StepId, digest: string, groups: readonly SampleGroup[]) {
    this.step = step;
    this.digest = digest;
    this.groups = groups;
    this.#samples = new Set(listSamples(trainer, step, groups));
  }

  /** The highest number that was given out, or zero. */
  get last(): number {
    return this.#end === 'open' ? this.#numbers.length : this.#endedLast;
  }

  /** The highest cursor that is on record. */
  get passed(): number {
    return this.#passed;
  }

  /** Why the step is over, or `open`. */
  get end(): StepEnd {
    return this.#end;
  }

  /** How many samples the step has. */
  get total(): number {
    return this.#samples.size;
  }

  /** How many samples have a number that is not void. */
  get numbered(): number {
    return this.#numberOf.size;
  }

  /** Whether every sample has a number that is not void. */
  get isWhole(): boolean {
    return this.#numberOf.size === this.#samples.size;
  }

  /** Lists the step's samples in the order of its groups. */
  samples(): Iterable<SampleId> {
    return this.#samples;
  }

  /**
   * Looks up what has a number.
   *
   * @param number - a number from 1 to `last`
   * @returns the sample, or none for a void number
   */
  at(number: number): Option<NumberedSample> {
    return fromNullable(this.#numbers[number - 1] ?? undefined);
  }

  /** Whether a number was given out and declared void. */
  isVoid(number: number): boolean {
    return this.#numbers[number - 1] === null;
  }

  /**
   * Looks up a sample's number.
   *
   * @param sample - the sample
   * @returns its number, or undefined while it has none that is not void
   */
  numberOf(sample: SampleId): number | undefined {
    return this.#numberOf.get(sample);
  }

  /**
   * Takes a numbering record, whole or not at all.
   *
   * @param record - the record
   * @returns whether it was valid
   */
  applyNumbers(record: NumbersRecord): boolean {
    if (this.#end !== 'open' || !this.#fits(record)) return false;
    record.voids.forEach((number) => this.#void(number));
    record.samples.forEach((sample) => this.#add(sample));
    this.#passed = Math.max(this.#passed, record.passed);
    return true;
  }

  /**
   * Ends the step. Its numbering is forgotten but for the last number.
   *
   * @param reason - why it is over
   * @returns whether it was open
   */
  applyEnd(reason: 'complete' | 'expired'): boolean {
    if (this.#end !== 'open') return false;
    this.#endedLast = this.#numbers.length;
    this.#end = reason;
    this.#numbers.length = 0;
    this.#numberOf.clear();
    return true;
  }

  /** Writes the step down for a snapshot. */
  toSnapshot(): StepSnapshot {
    return {
      step: this.step,
      digest: this.digest,
      groups: this.#end === 'open' ? [...this.groups] : [],
      numbers: [...this.#numbers],
      last: this.last,
      passed: this.#passed,
      end: this.#end,
    };
  }

  /**
   * Reads a step from a snapshot.
   *
   * @param trainer - the trainer
   * @param snapshot - the step as it was written
   * @returns the step
   */
  static fromSnapshot(trainer: TrainerId, snapshot: StepSnapshot): StepHistory {
    const step = new StepHistory(trainer, snapshot.step, snapshot.digest, snapshot.groups);
    snapshot.numbers.forEach((sample) => {
      if (sample === null) step.#numbers.push(null);
      else step.#add(sample);
    });
    step.#passed = snapshot.passed;
    step.#endedLast = snapshot.last;
    step.#end = snapshot.end;
    return step;
  }

  #fits(record: NumbersRecord): boolean {
    if (record.from !== this.last + 1) return false;
    if (record.passed > this.last) return false;
    const voids = new Set(record.voids);
    if (voids.size !== record.voids.length) return false;
    if (!record.voids.every((number) => this.#mayVoid(number))) return false;
    const ids = record.samples.map((sample) => sample.id);
    return new Set(ids).size === ids.length && ids.every((id) => this.#mayNumber(id, voids));
  }

  #mayVoid(number: number): boolean {
    return number > this.#passed && number <= this.last && !this.isVoid(number);
  }

  #mayNumber(sample: SampleId, voids: ReadonlySet<number>): boolean {
    if (!this.#samples.has(sample)) return false;
    const number = this.#numberOf.get(sample);
    return number === undefined || voids.has(number);
  }

  #void(number: number): void {
    const sample = this.#numbers[number - 1];
    if (sample) this.#numberOf.delete(sample.id);
    this.#numbers[number - 1] = null;
  }

  #add(sample: NumberedSample): void {
    this.#numbers.push(sample);
    this.#numberOf.set(sample.id, this.#numbers.length);
  }
}

/**
 * Lists the samples of groups.
 *
 * @param trainer - the trainer
 * @param step - the step
 * @param groups - the step's groups
 * @returns their ids in order
 */
export function listSamples(
  trainer: TrainerId,
  step: StepId,
  groups: readonly SampleGroup[],
): SampleId[] {
  return groups.flatMap((group) =>
    Array.from({ length: group.count }, (_, index) => nameSample(trainer, step, group.id, index)),
  );
}
