/** The work of a trainer's owner on one open step: generating, numbering and delivering samples. */
import { createFailure, type Millis, type MonoTime, type SampleId } from '@hibiscushill/base';
import type { Trainer } from '@hibiscushill/config';
import { isNone, isSome } from 'fp-ts/Option';
import { err } from 'neverthrow';

import type { NumberedSample, NumbersRecord } from './records';
import { SampleJob, type SampleJobDeps } from './sample-job';
import type { DeliveredSample, PageLimits, SamplePage } from './sample-page';
import { listSampleSpecs } from './sample-specs';
import { digestTokens, estimateBytes } from './segments';
import type { StepState } from './step-state';
import type { StragglerPolicy } from './stragglers';
import { UnreadablePayloads } from './unreadable-payloads';

/**
 * Generates the samples of an open step and creates its numbers records and pages. A sample may be
 * delivered only after its number has been recorded in the log, so that the next owner delivers
 * the same sample under the same number.
 */
export class StepExecution {
  readonly state: StepState;

  readonly #deps: SampleJobDeps;

  readonly #jobs: ReadonlyMap<SampleId, SampleJob>;

  /** Numbers that must become void, because their payload is lost or stale. */
  readonly #newVoids = new Set<number>();

  /** The highest number that the trainer has confirmed. */
  #cursor: number;

  /** The highest number that the trainer may have received; only its cursor confirms receipt. */
  #deliveredUpTo: number;

  readonly #unreadablePayloads: UnreadablePayloads;

  /** The highest number whose payload the agent was told to delete. */
  #payloadsReleasedUpTo: number;

  #hedgeCount = 0;

  #isLastPageDelivered = false;

  #lastRequestAt: MonoTime;

  /**
   * @param state - the step's state according to the log
   * @param trainer - the declaration of the step's trainer
   * @param deps - the runner and the step's rules
   */
  constructor(state: StepState, trainer: Trainer, deps: SampleJobDeps) {
    this.state = state;
    this.#deps = deps;
    this.#cursor = state.confirmedNumber;
    this.#deliveredUpTo = state.lastNumber;
    this.#payloadsReleasedUpTo = state.confirmedNumber;
    this.#lastRequestAt = deps.clock.mono();
    this.#unreadablePayloads = new UnreadablePayloads(deps.clock, deps.metrics);
    this.#jobs = new Map(
      listSampleSpecs(state, trainer).map((spec) => [
        spec.sample,
        new SampleJob(spec, deps, state.numberOf(spec.sample) !== undefined),
      ]),
    );
  }

  /** When the trainer last requested samples of the step, or when the execution started. */
  get lastRequestAt(): MonoTime {
    return this.#lastRequestAt;
  }

  /** How many samples are running. */
  get runningCount(): number {
    return this.#countInPhase('running');
  }

  /** The memory that unconfirmed outputs take in this process, in bytes. */
  get bufferedBytes(): number {
    return [...this.#jobs.values()].reduce((sum, job) => sum + job.bufferedBytes, 0);
  }

  /** Whether the last page was delivered, so that the trainer may not make another request. */
  get isLastPageDelivered(): boolean {
    return this.#isLastPageDelivered;
  }

  /** Whether every sample has a number and the trainer has confirmed them all. */
  get isConfirmed(): boolean {
    const { state } = this;
    return state.isFullyNumbered && this.#newVoids.size === 0 && this.#cursor >= state.lastNumber;
  }

  /**
   * Starts an attempt for the next waiting sample.
   *
   * @returns whether there was such a sample
   */
  startNextSample(): boolean {
    const now = this.#deps.clock.mono();
    const job = [...this.#jobs.values()].find((entry) => entry.canStart(now));
    job?.startAttempt();
    return job !== undefined;
  }

  /** Starts one more attempt for each sample that the policy chooses. */
  hedgeStragglers(policy: StragglerPolicy): void {
    const jobs = [...this.#jobs.values()];
    const chosen = policy.choose({
      running: jobs
        .filter((job) => job.phase === 'running' && job.attemptCount > 0)
        .map((job) => ({
          sample: job.spec.sample,
          runningMs: job.runningMs,
          tokenCount: job.receivedTokenCount,
          attemptCount: job.attemptCount,
        })),
      waitingCount: this.#countInPhase('waiting'),
      sampleCount: jobs.length,
      meanMsPerToken: computeMeanMsPerToken(jobs),
      hedgeCount: this.#hedgeCount,
    });
    chosen.forEach((sample) => this.#jobs.get(sample)?.startAttempt());
    this.#hedgeCount += chosen.length;
    if (chosen.length > 0) this.#deps.metrics.count('rollout.hedged', chosen.length);
  }

  /** Discards stale samples that were never delivered; those with a number get it voided. */
  discardStale(): void {
    this.#jobs.forEach((job) => job.discardStale());
    for (let number = this.#deliveredUpTo + 1; number <= this.state.lastNumber; number += 1) {
      const sample = this.state.sampleAt(number);
      if (isSome(sample) && this.#deps.isStale(sample.value.segments)) this.#newVoids.add(number);
    }
  }

  /**
   * Creates a record of new numbers, void numbers and the trainer's cursor.
   *
   * @param maxSamples - the greatest number of samples in the record
   * @returns the record without its claim, or undefined when nothing has changed
   */
  createNumbersRecord(maxSamples: number): Omit<NumbersRecord, 'claim'> | undefined {
    this.discardStale();
    const generated = [...this.#jobs.values()]
      .filter((job) => job.phase === 'generated')
      .slice(0, maxSamples);
    const samples = generated.flatMap(toNumberedSamples);
    const voids = [...this.#newVoids].filter((number) => number > this.#cursor);
    const passed = Math.min(this.#cursor, this.state.lastNumber);
    const isCursorAhead = passed > this.state.confirmedNumber;
    if (samples.length === 0 && voids.length === 0 && !isCursorAhead) return undefined;
    generated.forEach((job) => job.markNumbering());
    return { step: this.state.stepId, from: this.state.lastNumber + 1, samples, voids, passed };
  }

  /**
   * Handles a numbers record that was applied: its samples may be delivered, samples with void
   * numbers are generated again, and the payloads that the trainer has confirmed are released.
   *
   * @param record - what `createNumbersRecord` returned
   * @param voidedSamples - the samples that had the void numbers
   */
  onRecorded(record: Omit<NumbersRecord, 'claim'>, voidedSamples: readonly SampleId[]): void {
    record.voids.forEach((number) => this.#newVoids.delete(number));
    voidedSamples.forEach((sample) => this.#jobs.get(sample)?.regenerate('void'));
    record.samples.forEach((sample) => this.#jobs.get(sample.id)?.markNumbered());
    for (let number = this.#payloadsReleasedUpTo + 1; number <= record.passed; number += 1) {
      this.#releasePayload(number);
    }
    this.#payloadsReleasedUpTo = Math.max(this.#payloadsReleasedUpTo, record.passed);
    this.#deps.onChange();
  }

  /**
   * Records the trainer's cursor and the time of its request.
   *
   * @param after - the trainer's cursor
   */
  onRequest(after: number): void {
    this.#lastRequestAt = this.#deps.clock.mono();
    this.#cursor = Math.max(this.#cursor, Math.min(after, this.state.lastNumber));
  }

  /**
   * Reads the payloads of the next page that this process doesn't hold from their agents. The
   * number of a lost payload becomes void; a payload whose agent is unreachable is requested again
   * for some time.
   *
   * @param after - the trainer's cursor
   * @param limits - the size limits of the page
   */
  async loadPayloads(after: number, limits: PageLimits): Promise<void> {
    const last = Math.min(this.state.lastNumber, after + limits.maxSamples);
    const loads: Promise<void>[] = [];
    for (let number = after + 1; number <= last; number += 1) {
      const sample = this.state.sampleAt(number);
      if (isSome(sample) && !this.#newVoids.has(number))
        loads.push(this.#loadPayload(number, sample.value));
    }
    await Promise.all(loads);
  }

  /**
   * Creates the page for a cursor from the outputs that this process holds now. A sample that is
   * stale by now ends the page, and is generated again under another number.
   *
   * @param after - the trainer's cursor
   * @param limits - the size limits of the page
   * @returns the page, which is empty while there is nothing to deliver
   */
  createPage(after: number, limits: PageLimits): SamplePage {
    const samples: DeliveredSample[] = [];
    const voids: number[] = [];
    let next = after;
    let bytes = 0;
    while (
      next < this.state.lastNumber &&
      samples.length < limits.maxSamples &&
      bytes < limits.maxBytes
    ) {
      const number = next + 1;
      const sample = this.state.sampleAt(number);
      if (isSome(sample)) {
        const delivered = this.#createDelivered(number, sample.value);
        if (!delivered) break;
        samples.push(delivered);
        bytes += estimateBytes(delivered);
      } else {
        voids.push(number);
      }
      next = number;
    }
    this.#deliveredUpTo = Math.max(this.#deliveredUpTo, next);
    const { state } = this;
    const done = state.isFullyNumbered && this.#newVoids.size === 0 && next >= state.lastNumber;
    this.#isLastPageDelivered ||= done;
    return { step: state.stepId, samples, voids, next, done, total: state.sampleCount };
  }

  /** Cancels all attempts and releases all payloads; for a step that has ended. */
  end(): void {
    this.#jobs.forEach((job) => {
      job.cancelAttempts();
      job.releaseOutput();
    });
  }

  /** Cancels all attempts; payloads that may have a number are kept for the next owner. */
  stop(): void {
    this.#jobs.forEach((job) => {
      job.cancelAttempts();
      if (job.phase === 'generated') job.releaseOutput();
    });
  }

  #countInPhase(phase: SampleJob['phase']): number {
    return [...this.#jobs.values()].filter((job) => job.phase === phase).length;
  }

  #createDelivered(number: number, sample: NumberedSample): DeliveredSample | undefined {
    const job = this.#jobs.get(sample.id);
    if (!job || this.#newVoids.has(number) || isNone(job.output)) return undefined;
    if (this.#deps.isStale(sample.segments)) {
      this.#isLastPageDelivered = false;
      this.#newVoids.add(number);
      this.#deps.onChange();
      return undefined;
    }
    const { tokens, segments } = job.output.value;
    const { group, index } = job.spec;
    return { number, id: sample.id, group, index, tokens, segments, digest: sample.digest };
  }

  async #loadPayload(number: number, sample: NumberedSample): Promise<void> {
    const job = this.#jobs.get(sample.id);
    if (!job || isSome(job.output)) return;
    const fetched = sample.payload.whole
      ? await this.#deps.runner.fetch(sample.payload)
      : err(createFailure('incarnation_stale'));
    if (isSome(job.output) || job.phase !== 'numbered') return;
    const isSame = fetched.isOk() && digestTokens(fetched.value) === sample.digest;
    if (isSame) {
      this.#unreadablePayloads.onRead(number);
      job.setOutput({ ...fetched.value, payload: sample.payload });
      return;
    }
    const failure = fetched.isErr() ? fetched.error : createFailure('answer_broken');
    if (!this.#unreadablePayloads.onReadFailed(number, failure)) return;
    this.#newVoids.add(number);
    this.#deps.onChange();
  }

  #releasePayload(number: number): void {
    const sample = this.state.sampleAt(number);
    if (!isSome(sample)) return;
    const job = this.#jobs.get(sample.value.id);
    if (job && isSome(job.output)) job.releaseOutput();
    else this.#deps.runner.release(sample.value.payload);
  }
}

function toNumberedSamples(job: SampleJob): NumberedSample[] {
  if (isNone(job.output)) return [];
  const { payload, segments, tokens } = job.output.value;
  const digest = digestTokens(job.output.value);
  return [{ id: job.spec.sample, digest, segments: [...segments], tokens: tokens.length, payload }];
}

function computeMeanMsPerToken(jobs: readonly SampleJob[]): Millis {
  const costs = jobs.map((job) => job.generationCost).filter(({ tokens }) => tokens > 0);
  const tokens = costs.reduce((sum, cost) => sum + cost.tokens, 0);
  return costs.reduce((sum, cost) => sum + cost.ms, 0) / Math.max(1, tokens);
}
