/** The term of a trainer's owner: the time during which one claim of the duty is valid. */
import {
  createFailure,
  type Clock,
  type Failure,
  type FencingNumber,
  type Metrics,
  type Millis,
  type StepId,
  type TargetId,
} from '@hibiscushill/base';
import type { Trainer } from '@hibiscushill/config';
import { isSome } from 'fp-ts/Option';
import { err, ok, type Result } from 'neverthrow';

import type { TrainerState } from './trainer-state';
import type { RecordWriter } from './record-writer';
import type { Notifier } from './notifier';
import { RECORD_KINDS, type SampleGroup } from './records';
import type { SampleRunner } from './sample-runner';
import type { Segment } from './segments';
import { isStale, measureStaleness } from './staleness';
import type { PageLimits, SamplePage } from './sample-page';
import { StepExecution } from './step-execution';
import type { StragglerPolicy } from './stragglers';

/** The limits and intervals of an owner's work for one trainer. */
export interface OwnerLimits {
  /** How many samples may run at the same time. */
  readonly maxRunningSamples: number;
  /** No more samples are started while unconfirmed ones take this much memory, in bytes. */
  readonly maxBufferedBytes: number;
  /** How many steps may be open without having been delivered completely. */
  readonly maxOpenSteps: number;
  /** How long a step stays open without a request from its trainer, in milliseconds. */
  readonly idleTimeoutMs: Millis;
  /**
   * How long a step stays open after its last page was delivered, so that the trainer can request
   * the page again, in milliseconds.
   */
  readonly redeliveryMs: Millis;
  /** How often numbers, cursors and ends of steps are written to the log, in milliseconds. */
  readonly recordIntervalMs: Millis;
  /** How many samples one numbers record may contain. */
  readonly maxSamplesPerRecord: number;
  /** How often samples are checked for staleness and stragglers, in milliseconds. */
  readonly checkIntervalMs: Millis;
  /** How often a snapshot of the trainer's state is written to the log, in milliseconds. */
  readonly snapshotIntervalMs: Millis;
  readonly page: PageLimits;
}

/** The limits that apply unless others are given. */
export const DEFAULT_OWNER_LIMITS: OwnerLimits = {
  maxRunningSamples: 256,
  maxBufferedBytes: 64 * 1024 * 1024,
  maxOpenSteps: 4,
  idleTimeoutMs: 600_000,
  redeliveryMs: 60_000,
  recordIntervalMs: 250,
  maxSamplesPerRecord: 256,
  checkIntervalMs: 250,
  snapshotIntervalMs: 600_000,
  page: { maxSamples: 128, maxBytes: 4 * 1024 * 1024 },
};

/** The claim, the trainer's state and its stream, and the runner of its samples. */
export interface OwnerTermDeps {
  readonly claim: FencingNumber;
  readonly state: TrainerState;
  readonly writer: RecordWriter;
  /** Notified when a page may have changed. */
  readonly changes: Notifier;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly runner: SampleRunner;
  readonly stragglerPolicy: StragglerPolicy;
  /** Returns the trainer's current declaration. */
  readonly getTrainer: () => Trainer;
  /** Returns the targets that must not get samples of the trainer now. */
  readonly excludedTargets: () => ReadonlySet<TargetId>;
  readonly limits: OwnerLimits;
  /** Called when readers ignored a record of this term, which must then be restarted or ended. */
  readonly onRecordRejected: () => void;
}

/** The wait after the log has rejected a record that must be written. */
const REFUSED_RETRY_DELAY_MS: Millis = 1000;

/** Executes the open steps of a trainer under one claim and writes their records. */
export class OwnerTerm {
  readonly claim: FencingNumber;

  readonly #deps: OwnerTermDeps;

  readonly #executions = new Map<StepId, StepExecution>();

  readonly #controller = new AbortController();

  /** @param deps - among them the trainer's state with all records before the claim applied */
  constructor(deps: OwnerTermDeps) {
    this.claim = deps.claim;
    this.#deps = deps;
  }

  /** Aborts when the term ends. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Starts the execution of all open steps, those of earlier owners included. */
  start(): void {
    this.#deps.state.listOpenSteps().forEach((step) => this.#startExecution(step.stepId));
    void this.#runChecks();
    void this.#runRecording();
    void this.#runSnapshots();
  }

  /** Ends the term: cancels all attempts and writes no more records. */
  stop(): void {
    if (this.#controller.signal.aborted) return;
    this.#controller.abort();
    this.#executions.forEach((execution) => execution.stop());
    this.#deps.changes.notify();
  }

  /**
   * Creates a step and starts its execution.
   *
   * @param step - the step's id
   * @param groups - its groups
   * @param digest - the digest of its groups
   * @returns nothing once the log has the step; `steps_exceeded` when too many steps are open, or
   *   the failure of `RecordWriter.write`
   */
  async createStep(
    step: StepId,
    groups: readonly SampleGroup[],
    digest: string,
  ): Promise<Result<void, Failure>> {
    const undelivered = [...this.#executions.values()].filter(
      (execution) => !execution.isLastPageDelivered,
    );
    if (undelivered.length >= this.#deps.limits.maxOpenSteps) {
      this.#deps.metrics.countRefusal('steps_exceeded');
      return err(createFailure('steps_exceeded', { retryAfterMs: 1000 }));
    }
    const body = { step, groups, digest };
    const written = await this.#deps.writer.write(RECORD_KINDS.create, body, this.signal);
    if (written.isErr()) return err(written.error);
    this.#startExecution(step);
    this.#startSamples();
    return ok(undefined);
  }

  /**
   * Records the trainer's cursor and loads the payloads for its next page.
   *
   * @param step - an open step
   * @param after - the trainer's cursor
   */
  async loadPage(step: StepId, after: number): Promise<void> {
    const execution = this.#executions.get(step);
    execution?.onRequest(after);
    await execution?.loadPayloads(after, this.#deps.limits.page);
  }

  /**
   * Creates the page for a cursor from the payloads that are loaded now.
   *
   * @param step - an open step
   * @param after - the trainer's cursor
   * @returns the page, or undefined when this term doesn't execute the step
   */
  createPage(step: StepId, after: number): SamplePage | undefined {
    return this.#executions.get(step)?.createPage(after, this.#deps.limits.page);
  }

  #startExecution(step: StepId): void {
    const state = this.#deps.state.findStep(step);
    if (!isSome(state) || this.#executions.has(step)) return;
    const { changes, clock, excludedTargets, metrics, runner } = this.#deps;
    const execution = new StepExecution(state.value, this.#deps.getTrainer(), {
      runner,
      clock,
      metrics,
      excludedTargets,
      isStale: (segments) => this.#isStale(segments),
      onChange: () => {
        this.#startSamples();
        changes.notify();
      },
    });
    this.#executions.set(step, execution);
  }

  #isStale(segments: readonly Segment[]): boolean {
    const { clock, state, getTrainer } = this.#deps;
    const staleness = measureStaleness(segments, state.versions, clock.wall());
    return isStale(staleness, getTrainer().staleness);
  }

  #startSamples(): void {
    if (this.signal.aborted) return;
    const { limits } = this.#deps;
    for (const execution of this.#executions.values()) {
      while (
        this.#sum('runningCount') < limits.maxRunningSamples &&
        this.#sum('bufferedBytes') < limits.maxBufferedBytes
      ) {
        if (!execution.startNextSample()) break;
      }
    }
  }

  #sum(property: 'runningCount' | 'bufferedBytes'): number {
    return [...this.#executions.values()].reduce((sum, execution) => sum + execution[property], 0);
  }

  async #runChecks(): Promise<void> {
    const { limits, clock, stragglerPolicy } = this.#deps;
    while (!this.signal.aborted) {
      this.#executions.forEach((execution) => execution.discardStale());
      this.#executions.forEach((execution) => execution.hedgeStragglers(stragglerPolicy));
      this.#startSamples();
      await clock.sleep(limits.checkIntervalMs, this.signal);
    }
  }

  async #runRecording(): Promise<void> {
    const { limits, clock } = this.#deps;
    while (!this.signal.aborted) {
      for (const execution of [...this.#executions.values()]) {
        await this.#writeNumbers(execution);
        await this.#endStepIfDue(execution);
      }
      await clock.sleep(limits.recordIntervalMs, this.signal);
    }
  }

  async #writeNumbers(execution: StepExecution): Promise<void> {
    const body = execution.createNumbersRecord(this.#deps.limits.maxSamplesPerRecord);
    if (!body) return;
    const voidedSamples = body.voids.flatMap((number) => {
      const sample = execution.state.sampleAt(number);
      return isSome(sample) ? [sample.value.id] : [];
    });
    const written = await this.#writeOrEndTerm(RECORD_KINDS.numbers, body);
    if (written.isOk()) execution.onRecorded(body, voidedSamples);
  }

  /** Writes a record, however often the log rejects it; if readers ignore it, the term must end. */
  async #writeOrEndTerm(kind: string, body: object): Promise<Result<void, Failure>> {
    const { clock, writer, metrics } = this.#deps;
    for (;;) {
      const written = await writer.write(kind, body, this.signal);
      if (written.isErr() && written.error.code === 'platform_refused') {
        metrics.countRetry(written.error.code);
        await clock.sleep(REFUSED_RETRY_DELAY_MS, this.signal);
        continue;
      }
      if (written.isErr() && !this.signal.aborted) this.#deps.onRecordRejected();
      return written;
    }
  }

  async #endStepIfDue(execution: StepExecution): Promise<void> {
    const { limits, clock, metrics } = this.#deps;
    const idleMs = clock.mono() - execution.lastRequestAt;
    const isComplete =
      execution.isConfirmed || (execution.isLastPageDelivered && idleMs > limits.redeliveryMs);
    if (this.signal.aborted || !(isComplete || idleMs > limits.idleTimeoutMs)) return;
    const { stepId } = execution.state;
    const reason = isComplete ? 'complete' : 'expired';
    const written = await this.#writeOrEndTerm(RECORD_KINDS.done, { step: stepId, reason });
    if (written.isErr()) return;
    metrics.count(`rollout.step.${reason}`);
    this.#executions.delete(stepId);
    execution.end();
    this.#deps.changes.notify();
  }

  async #runSnapshots(): Promise<void> {
    const { limits, clock, state, writer } = this.#deps;
    while (!this.signal.aborted) {
      await writer.write(RECORD_KINDS.snapshot, state.toSnapshot(), this.signal);
      await clock.sleep(limits.snapshotIntervalMs, this.signal);
    }
  }
}
