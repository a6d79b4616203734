/** The owner's work on one open step. */
import { createFailure, type Millis, type MonoTime, type SampleId } from '@hibiscushill/base';
import type { Trainer } from '@hibiscushill/config';
import { isNone, isSome } from 'fp-ts/Option';
import { err } from 'neverthrow';

import type { NumberedSample, NumbersRecord } from './records';
import { SampleJob, type SampleJobDeps } from './sample-job';
import type { DeliveredSample, PageBounds, SamplePage } from './sample-page';
import { listSpecs } from './sample-specs';
import { digestRun, measureRun } from './segments';
import type { StepHistory } from './step-history';
import type { StragglerPolicy } from './stragglers';
import { UnreadablePayloads } from './unreadable-payloads';

/** One step in the hands of its owner. */
export class StepRun {
  readonly history: StepHistory;

  readonly #deps: SampleJobDeps;

  readonly #jobs: ReadonlyMap<SampleId, SampleJob>;

  /** Numbers that must be declared void, because their payload is lost or too old. */
  readonly #voids = new Set<number>();

  #cursor: number;

  /** The highest number that a trainer may have: only its cursor tells whether it has. */
  #releasedUpTo: number;

  readonly #unreadable: UnreadablePayloads;

  #forgotten: number;

  #hedges = 0;

  #isDelivered = false;

  #touchedAt: MonoTime;

  /**
   * @param history - what the log says about the step
   * @param trainer - the trainer as it is declared
   * @param deps - the runner and what surrounds it
   */
  constructor(history: StepHistory, trainer: Trainer, deps: SampleJobDeps) {
    this.history = history;
    this.#deps = deps;
    this.#cursor = history.passed;
    this.#releasedUpTo = history.last;
    this.#forgotten = history.passed;
    this.#touchedAt = deps.clock.mono();
    this.#unreadable = new UnreadablePayloads(deps.clock, deps.metrics);
    this.#jobs = new Map(
      listSpecs(history, trainer).map((spec) => [
        spec.sample,
        new SampleJob(spec, deps, history.numberOf(spec.sample) !== undefined),
      ]),
    );
  }

  /** When the trainer last asked for the step. */
  get touchedAt(): MonoTime {
    return this.#touchedAt;
  }

  /** How many samples are running. */
  get running(): number {
    return this.#count('running');
  }

  /** The memory that unread answers take, in bytes. */
  get heldBytes(): number {
    return [...this.#jobs.values()].reduce((sum, job) => sum + job.heldBytes, 0);
  }

  /** Whether the last page was released, so that the trainer may have no reason to ask again. */
  get isDelivered(): boolean {
    return this.#isDelivered;
  }

  /** Whether every sample has its number and the trainer has confirmed them all. */
  get isFinished(): boolean {
    const { history } = this;
    return history.isWhole && this.#voids.size === 0 && this.#cursor >= history.last;
  }

  /**
   * Starts the next sample that waits.
   *
   * @returns whether there was one
   */
  startNext(): boolean {
    const now = this.#deps.clock.mono();
    const job = [...this.#jobs.values()].find((entry) => entry.isDue(now));
    job?.start();
    return job !== undefined;
  }

  /** Gives the samples that the policy chooses one more try. */
  hedge(policy: StragglerPolicy): void {
    const jobs = [...this.#jobs.values()];
    const chosen = policy.choose({
      running: jobs
        .filter((job) => job.phase === 'running' && job.tries > 0)
        .map((job) => ({
          sample: job.spec.sample,
          runningMs: job.runningMs,
          tokens: job.received,
          tries: job.tries,
        })),
      waiting: this.#count('waiting'),
      total: jobs.length,
      pace: meanPace(jobs),
      hedges: this.#hedges,
    });
    chosen.forEach((sample) => this.#jobs.get(sample)?.start());
    this.#hedges += chosen.length;
    if (chosen.length > 0) this.#deps.metrics.count('rollout.hedged', chosen.length);
  }

  /** Gives up what has become too old and was never released. */
  dropStale(): void {
    this.#jobs.forEach((job) => job.dropStale());
    for (let number = this.#releasedUpTo + 1; number <= this.history.last; number += 1) {
      const sample = this.history.at(number);
      if (isSome(sample) && this.#deps.isStale(sample.value.segments)) this.#voids.add(number);
    }
  }

  /**
   * Collects what has to be written down: new numbers, void numbers and the trainer's cursor.
   *
   * @param most - the greatest number of samples in one record
   * @returns the record without its claim, or undefined when there is nothing to write
   */
  collect(most: number): Omit<NumbersRecord, 'claim'> | undefined {
    this.dropStale();
    const made = [...this.#jobs.values()].filter((job) => job.phase === 'made').slice(0, most);
    const samples = made.flatMap(toNumbered);
    const voids = [...this.#voids].filter((number) => number > this.#cursor);
    const passed = Math.min(this.#cursor, this.history.last);
    const hasPassed = passed > this.history.passed;
    if (samples.length === 0 && voids.length === 0 && !hasPassed) return undefined;
    made.forEach((job) => job.numbering());
    return { step: this.history.step, from: this.history.last + 1, samples, voids, passed };
  }

  /**
   * Notes that a record counts: its numbers may be released, and passed payloads let go.
   *
   * @param record - what `collect` gave
   * @param lost - the samples that had the void numbers
   */
  recorded(record: Omit<NumbersRecord, 'claim'>, lost: readonly SampleId[]): void {
    record.voids.forEach((number) => this.#voids.delete(number));
    lost.forEach((sample) => this.#jobs.get(sample)?.again('void'));
    record.samples.forEach((sample) => this.#jobs.get(sample.id)?.numbered());
    for (let number = this.#forgotten + 1; number <= record.passed; number += 1) {
      this.#letGo(number);
    }
    this.#forgotten = Math.max(this.#forgotten, record.passed);
    this.#deps.onChange();
  }

  /**
   * Notes how far the trainer has read.
   *
   * @param after - the trainer's cursor
   */
  touch(after: number): void {
    this.#touchedAt = this.#deps.clock.mono();
    this.#cursor = Math.max(this.#cursor, Math.min(after, this.history.last));
  }

  /**
   * Reads payloads again that this process doesn't hold. A payload that is gone makes its number
   * void; one whose agent is out of reach is asked for again for a while.
   *
   * @param after - the trainer's cursor
   * @param bounds - the page's bounds
   */
  async load(after: number, bounds: PageBounds): Promise<void> {
    const last = Math.min(this.history.last, after + bounds.samples);
    const loads: Promise<void>[] = [];
    for (let number = after + 1; number <= last; number += 1) {
      const sample = this.history.at(number);
      if (isSome(sample) && !this.#voids.has(number)) loads.push(this.#load(number, sample.value));
    }
    await Promise.all(loads);
  }

  /**
   * Makes the page for a cursor from what is held at this moment. A sample that is too old now
   * ends the page and is made again under another number.
   *
   * @param after - the trainer's cursor
   * @param bounds - the page's bounds
   * @returns the page, empty when there is nothing to release yet
   */
  page(after: number, bounds: PageBounds): SamplePage {
    const samples: DeliveredSample[] = [];
    const voids: number[] = [];
    let next = after;
    let bytes = 0;
    while (next < this.history.last && samples.length < bounds.samples && bytes < bounds.bytes) {
      const number = next + 1;
      const sample = this.history.at(number);
      if (isSome(sample)) {
        const delivered = this.#deliver(number, sample.value);
        if (!delivered) break;
        samples.push(delivered);
        bytes += measureRun(delivered);
      } else {
        voids.push(number);
      }
      next = number;
    }
    this.#releasedUpTo = Math.max(this.#releasedUpTo, next);
    const { history } = this;
    const done = history.isWhole && this.#voids.size === 0 && next >= history.last;
    this.#isDelivered ||= done;
    return { step: history.step, samples, voids, next, done, total: history.total };
  }

  /** Cancels what runs and lets go of every payload. */
  end(): void {
    this.#jobs.forEach((job) => {
      job.cancel();
      job.forget();
    });
  }

  /** Cancels what runs; payloads that may have a number stay where they are, for the next owner. */
  stop(): void {
    this.#jobs.forEach((job) => {
      job.cancel();
      if (job.phase === 'made') job.forget();
    });
  }

  #count(phase: SampleJob['phase']): number {
    return [...this.#jobs.values()].filter((job) => job.phase === phase).length;
  }

  #deliver(number: number, sample: NumberedSample): DeliveredSample | undefined {
    const job = this.#jobs.get(sample.id);
    if (!job || this.#voids.has(number) || isNone(job.answer)) return undefined;
    if (this.#deps.isStale(sample.segments)) {
      this.#isDelivered = false;
      this.#voids.add(number);
      this.#deps.onChange();
      return undefined;
    }
    const { tokens, segments } = job.answer.value;
    const { group, index } = job.spec;
    return { number, id: sample.id, group, index, tokens, segments, digest: sample.digest };
  }

  async #load(number: number, sample: NumberedSample): Promise<void> {
    const job = this.#jobs.get(sample.id);
    if (!job || isSome(job.answer)) return;
    const run = sample.payload.whole
      ? await this.#deps.runner.fetch(sample.payload)
      : err(createFailure('incarnation_stale'));
    if (isSome(job.answer) || job.phase !== 'numbered') return;
    const isSame = run.isOk() && digestRun(run.value) === sample.digest;
    if (isSame) {
      this.#unreadable.read(number);
      job.hold({ ...run.value, payload: sample.payload });
      return;
    }
    const failure = run.isErr() ? run.error : createFailure('answer_broken');
    if (!this.#unreadable.isLost(number, failure)) return;
    this.#voids.add(number);
    this.#deps.onChange();
  }

  #letGo(number: number): void {
    const sample = this.history.at(number);
    if (!isSome(sample)) return;
    const job = this.#jobs.get(sample.value.id);
    if (job && isSome(job.answer)) job.forget();
    else this.#deps.runner.release(sample.value.payload);
  }
}

function toNumbered(job: SampleJob): NumberedSample[] {
  if (isNone(job.answer)) return [];
  const { payload, segments, tokens } = job.answer.value;
  const digest = digestRun(job.answer.value);
  return [{ id: job.spec.sample, digest, segments: [...segments], tokens: tokens.length, payload }];
}

function meanPace(jobs: readonly SampleJob[]): Millis {
  const made = jobs.map((job) => job.effort).filter(({ tokens }) => tokens > 0);
  const tokens = made.reduce((sum, effort) => sum + effort.tokens, 0);
  return made.reduce((sum, effort) => sum + effort.ms, 0) / Math.max(1, tokens);
}
