/** The generation of one sample by the trainer's owner. */
import type { Clock, Failure, Metrics, Millis, MonoTime, TargetId } from '@hibiscushill/base';
import { type Option, isSome, none, some } from 'fp-ts/Option';

import type { GeneratedSample, SampleRunner, SampleSpec } from './sample-runner';
import { SampleAttempt } from './sample-attempt';
import {
  digestTokens,
  coversEveryToken,
  estimateBytes,
  type Segment,
  type SegmentCollector,
  type LabelledTokens,
} from './segments';

/** The runner, the step's rules for samples, and a listener for changes. */
export interface SampleJobDeps {
  readonly runner: SampleRunner;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Returns the targets that must not get samples now. */
  readonly excludedTargets: () => ReadonlySet<TargetId>;
  /** Tells whether segments are over the trainer's staleness bound now. */
  readonly isStale: (segments: readonly Segment[]) => boolean;
  /** Called after each change of a sample's phase or output. */
  readonly onChange: () => void;
}

/**
 * The phase of a sample: it waits for an attempt, attempts are running, it was generated, its
 * number is being written to the log, or the log has its number.
 */
export type SamplePhase = 'waiting' | 'running' | 'generated' | 'numbering' | 'numbered';

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5000;

/**
 * Holds a sample of an open step: its running attempts, the output once it is generated, and its
 * phase. Incomplete responses are kept, so that the next attempt continues the longest of them.
 */
export class SampleJob {
  readonly spec: SampleSpec;

  readonly #deps: SampleJobDeps;

  readonly #attempts = new Set<SampleAttempt>();

  #phase: SamplePhase;

  #longestPartial: LabelledTokens | undefined;

  #output: Option<GeneratedSample> = none;

  #bufferedBytes = 0;

  #failureCount = 0;

  #nextAttemptAt = 0;

  #generationCost = { ms: 0, tokens: 0 };

  /**
   * @param spec - the sample
   * @param deps - the runner and the step's rules
   * @param isNumbered - whether the log already has a number for the sample
   */
  constructor(spec: SampleSpec, deps: SampleJobDeps, isNumbered: boolean) {
    this.spec = spec;
    this.#deps = deps;
    this.#phase = isNumbered ? 'numbered' : 'waiting';
  }

  /** The sample's current phase. */
  get phase(): SamplePhase {
    return this.#phase;
  }

  /** The output, while this process holds it. */
  get output(): Option<GeneratedSample> {
    return this.#output;
  }

  /** The duration in milliseconds and the tokens of the successful attempt; zero before it. */
  get generationCost(): { readonly ms: Millis; readonly tokens: number } {
    return this.#generationCost;
  }

  /** The memory that the output takes in this process, in bytes. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /** How many attempts are running. */
  get attemptCount(): number {
    return this.#attempts.size;
  }

  /** How long the oldest running attempt has been running, in milliseconds; zero without one. */
  get runningMs(): number {
    const [first] = this.#attempts;
    return first === undefined ? 0 : this.#deps.clock.mono() - first.startedAt;
  }

  /** How many tokens the oldest running attempt has added so far. */
  get receivedTokenCount(): number {
    const [first] = this.#attempts;
    return first === undefined
      ? 0
      : first.collector.received.tokens.length - first.resumedTokenCount;
  }

  /** Whether the sample waits for an attempt and its backoff is over. */
  canStart(now: MonoTime): boolean {
    return this.#phase === 'waiting' && now >= this.#nextAttemptAt;
  }

  /** Starts an attempt, on another target than the attempts that are already running. */
  startAttempt(): void {
    this.#phase = 'running';
    const resume = this.#findResumableTokens();
    const attempt = new SampleAttempt(this.#deps.clock.mono(), resume);
    const excludedTargets = new Set(this.#deps.excludedTargets());
    this.#attempts.forEach((other) => other.target && excludedTargets.add(other.target));
    this.#attempts.add(attempt);
    void this.#runAttempt(attempt, excludedTargets, resume);
  }

  /** Discards a stale output that has no number yet, and cancels attempts with stale tokens. */
  discardStale(): void {
    if (this.#phase === 'generated' && isSome(this.#output) && this.#isStale(this.#output.value)) {
      this.regenerate('stale');
      return;
    }
    if (this.#phase !== 'running') return;
    const stale = [...this.#attempts].filter((attempt) =>
      this.#isStale(attempt.collector.received),
    );
    stale.forEach((attempt) => this.#cancelAttempt(attempt, 'stale'));
    if (this.#attempts.size === 0) this.#phase = 'waiting';
  }

  /** Marks that a record with the sample's number is being written: the output must not change. */
  markNumbering(): void {
    this.#phase = 'numbering';
  }

  /** Marks that the log has a number for the sample. */
  markNumbered(): void {
    this.#phase = 'numbered';
  }

  /**
   * Discards the output, so that the sample is generated again.
   *
   * @param reason - the reason, for the counter
   */
  regenerate(reason: 'stale' | 'void'): void {
    this.releaseOutput();
    this.#deps.metrics.count(`rollout.again.${reason}`);
    this.#phase = 'waiting';
    this.#deps.onChange();
  }

  /** Keeps an output in this process. */
  setOutput(output: GeneratedSample): void {
    this.#output = some(output);
    this.#bufferedBytes = estimateBytes(output);
  }

  /** Drops the output here and tells the agent to delete its payload. */
  releaseOutput(): void {
    if (isSome(this.#output)) this.#deps.runner.release(this.#output.value.payload);
    this.#output = none;
    this.#bufferedBytes = 0;
  }

  /** Cancels all attempts. */
  cancelAttempts(): void {
    [...this.#attempts].forEach((attempt) => this.#cancelAttempt(attempt, 'cancelled'));
    if (this.#phase === 'running') this.#phase = 'waiting';
  }

  async #runAttempt(
    attempt: SampleAttempt,
    excludedTargets: ReadonlySet<TargetId>,
    resume: LabelledTokens | undefined,
  ): Promise<void> {
    const result = await this.#deps.runner.run(resume ? { ...this.spec, resume } : this.spec, {
      excludedTargets,
      signal: attempt.signal,
      collector: attempt.collector,
      onTargetChosen: (target) => attempt.setTarget(target),
    });
    const isWanted = this.#attempts.delete(attempt);
    if (result.isOk()) this.#onGenerated(attempt, result.value, isWanted);
    else if (isWanted) this.#onFailure(attempt, result.error);
    this.#deps.onChange();
  }

  #onGenerated(attempt: SampleAttempt, output: GeneratedSample, isWanted: boolean): void {
    if (!isWanted || this.#phase !== 'running') {
      this.#countWastedTokens(output.tokens.length - attempt.resumedTokenCount, 'loser');
      this.#deps.runner.release(output.payload);
      return;
    }
    if (!matchesEngineOutput(output, attempt.collector) || this.#isStale(output)) {
      this.#countWastedTokens(output.tokens.length, 'unusable');
      this.#deps.runner.release(output.payload);
      if (this.#attempts.size === 0) this.#phase = 'waiting';
      return;
    }
    const ms = this.#deps.clock.mono() - attempt.startedAt;
    this.#generationCost = { ms, tokens: output.tokens.length - attempt.resumedTokenCount };
    this.setOutput(output);
    this.#phase = 'generated';
    this.#failureCount = 0;
    this.#longestPartial = undefined;
    [...this.#attempts].forEach((other) => this.#cancelAttempt(other, 'loser'));
  }

  #onFailure(attempt: SampleAttempt, failure: Failure): void {
    this.#deps.metrics.countRetry(failure.code);
    const { received } = attempt.collector;
    if (received.tokens.length > (this.#longestPartial?.tokens.length ?? 0))
      this.#longestPartial = received;
    if (this.#phase !== 'running' || this.#attempts.size > 0) return;
    this.#phase = 'waiting';
    const backoff = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** this.#failureCount);
    this.#failureCount += 1;
    this.#nextAttemptAt = this.#deps.clock.mono() + Math.max(backoff, failure.retryAfterMs ?? 0);
  }

  #cancelAttempt(attempt: SampleAttempt, reason: string): void {
    this.#attempts.delete(attempt);
    this.#countWastedTokens(
      attempt.collector.received.tokens.length - attempt.resumedTokenCount,
      reason,
    );
    attempt.cancel();
  }

  #findResumableTokens(): LabelledTokens | undefined {
    const longest = this.#findLongestTokens();
    if (!longest || longest.tokens.length === 0 || this.#isStale(longest)) return undefined;
    return { tokens: [...longest.tokens], segments: [...longest.segments] };
  }

  #findLongestTokens(): LabelledTokens | undefined {
    const partials = [...this.#attempts].map((attempt) => attempt.collector.received);
    if (this.#longestPartial) partials.push(this.#longestPartial);
    return partials.sort((a, b) => b.tokens.length - a.tokens.length)[0];
  }

  #isStale(labelled: LabelledTokens): boolean {
    return this.#deps.isStale(labelled.segments);
  }

  #countWastedTokens(tokens: number, reason: string): void {
    this.#deps.metrics.count(`rollout.wasted.${reason}`, tokens);
  }
}

/** Checks that a runner's output is exactly what the engine sent, with a version for each token. */
function matchesEngineOutput(output: GeneratedSample, collector: SegmentCollector): boolean {
  return collector
    .finish()
    .map((sent) => coversEveryToken(output) && digestTokens(sent) === digestTokens(output))
    .unwrapOr(false);
}
