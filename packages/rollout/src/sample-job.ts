/** The owner's work on one sample: its tries, its answer and its number. */
import type { Clock, Failure, Metrics, Millis, MonoTime, TargetId } from '@hibiscushill/base';
import { type Option, isSome, none, some } from 'fp-ts/Option';

import type { SampleAnswer, SampleRunner, SampleSpec } from './samples';
import { SampleTry } from './sample-try';
import {
  digestRun,
  isLabelled,
  measureRun,
  type Segment,
  type SegmentCollector,
  type TokenRun,
} from './segments';

/** What a job needs from its surroundings. */
export interface SampleJobDeps {
  readonly runner: SampleRunner;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** The targets that no sample may go to now. */
  readonly excluded: () => ReadonlySet<TargetId>;
  /** Whether a label is over the trainer's staleness bound now. */
  readonly isStale: (segments: readonly Segment[]) => boolean;
  /** Called after each change. */
  readonly onChange: () => void;
}

/** Where a sample stands. */
export type SamplePhase = 'waiting' | 'running' | 'made' | 'numbering' | 'numbered';

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5000;

/** One sample of an open step. */
export class SampleJob {
  readonly spec: SampleSpec;

  readonly #deps: SampleJobDeps;

  readonly #tries = new Set<SampleTry>();

  #phase: SamplePhase;

  #partial: TokenRun | undefined;

  #answer: Option<SampleAnswer> = none;

  #heldBytes = 0;

  #failures = 0;

  #notBefore = 0;

  #effort = { ms: 0, tokens: 0 };

  /**
   * @param spec - what to make
   * @param deps - the runner and what surrounds it
   * @param isNumbered - whether the log already has a number for it
   */
  constructor(spec: SampleSpec, deps: SampleJobDeps, isNumbered: boolean) {
    this.spec = spec;
    this.#deps = deps;
    this.#phase = isNumbered ? 'numbered' : 'waiting';
  }

  /** Where the sample stands. */
  get phase(): SamplePhase {
    return this.#phase;
  }

  /** The answer, while this process holds it. */
  get answer(): Option<SampleAnswer> {
    return this.#answer;
  }

  /** What the try took that made it: time in milliseconds, and tokens; zero before. */
  get effort(): { readonly ms: Millis; readonly tokens: number } {
    return this.#effort;
  }

  /** The memory that the answer takes here, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** How many tries are running. */
  get tries(): number {
    return this.#tries.size;
  }

  /** How long the oldest try has been running, in milliseconds. */
  get runningMs(): number {
    const [first] = this.#tries;
    return first === undefined ? 0 : this.#deps.clock.mono() - first.startedAt;
  }

  /** How many tokens the oldest try has given. */
  get received(): number {
    const [first] = this.#tries;
    return first === undefined ? 0 : first.progress.received.tokens.length - first.from;
  }

  /** Whether the sample waits and its backoff is over. */
  isDue(now: MonoTime): boolean {
    return this.#phase === 'waiting' && now >= this.#notBefore;
  }

  /** Starts a try, beside those that are running. */
  start(): void {
    this.#phase = 'running';
    const resume = this.#resumeFrom();
    const entry = new SampleTry(this.#deps.clock.mono(), resume);
    const excluded = new Set(this.#deps.excluded());
    this.#tries.forEach((other) => other.target && excluded.add(other.target));
    this.#tries.add(entry);
    void this.#run(entry, excluded, resume);
  }

  /** Cancels tries whose tokens are already too old, so that they aren't run to their end. */
  dropStale(): void {
    if (this.#phase === 'made' && isSome(this.#answer) && this.#isStale(this.#answer.value)) {
      this.again('stale');
      return;
    }
    if (this.#phase !== 'running') return;
    const stale = [...this.#tries].filter((entry) => this.#isStale(entry.progress.received));
    stale.forEach((entry) => this.#abandon(entry, 'stale'));
    if (this.#tries.size === 0) this.#phase = 'waiting';
  }

  /** Notes that a record with its number is on its way, so that the answer must stay as it is. */
  numbering(): void {
    this.#phase = 'numbering';
  }

  /** Notes that the log has a number for the sample. */
  numbered(): void {
    this.#phase = 'numbered';
  }

  /**
   * Throws the answer away so that the sample is made again.
   *
   * @param reason - why, for the counters
   */
  again(reason: 'stale' | 'void'): void {
    this.forget();
    this.#deps.metrics.count(`rollout.again.${reason}`);
    this.#phase = 'waiting';
    this.#deps.onChange();
  }

  /** Keeps a payload that was read again from its agent. */
  hold(answer: SampleAnswer): void {
    this.#answer = some(answer);
    this.#heldBytes = measureRun(answer);
  }

  /** Lets go of the answer, here and at the agent. */
  forget(): void {
    if (isSome(this.#answer)) this.#deps.runner.release(this.#answer.value.payload);
    this.#answer = none;
    this.#heldBytes = 0;
  }

  /** Cancels every try. */
  cancel(): void {
    [...this.#tries].forEach((entry) => this.#abandon(entry, 'cancelled'));
    if (this.#phase === 'running') this.#phase = 'waiting';
  }

  async #run(
    entry: SampleTry,
    exclude: ReadonlySet<TargetId>,
    resume: TokenRun | undefined,
  ): Promise<void> {
    const result = await this.#deps.runner.run(resume ? { ...this.spec, resume } : this.spec, {
      exclude,
      signal: entry.signal,
      progress: entry.progress,
      onTarget: (target) => entry.choose(target),
    });
    const isWanted = this.#tries.delete(entry);
    if (result.isOk()) this.#finish(entry, result.value, isWanted);
    else if (isWanted) this.#fail(entry, result.error);
    this.#deps.onChange();
  }

  #finish(entry: SampleTry, answer: SampleAnswer, isWanted: boolean): void {
    if (!isWanted || this.#phase !== 'running') {
      this.#waste(answer.tokens.length - entry.from, 'loser');
      this.#deps.runner.release(answer.payload);
      return;
    }
    if (!isTrue(answer, entry.progress) || this.#isStale(answer)) {
      this.#waste(answer.tokens.length, 'unusable');
      this.#deps.runner.release(answer.payload);
      if (this.#tries.size === 0) this.#phase = 'waiting';
      return;
    }
    const ms = this.#deps.clock.mono() - entry.startedAt;
    this.#effort = { ms, tokens: answer.tokens.length - entry.from };
    this.hold(answer);
    this.#phase = 'made';
    this.#failures = 0;
    this.#partial = undefined;
    [...this.#tries].forEach((other) => this.#abandon(other, 'loser'));
  }

  #fail(entry: SampleTry, failure: Failure): void {
    this.#deps.metrics.countRetry(failure.code);
    const { received } = entry.progress;
    if (received.tokens.length > (this.#partial?.tokens.length ?? 0)) this.#partial = received;
    if (this.#phase !== 'running' || this.#tries.size > 0) return;
    this.#phase = 'waiting';
    const backoff = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** this.#failures);
    this.#failures += 1;
    this.#notBefore = this.#deps.clock.mono() + Math.max(backoff, failure.retryAfterMs ?? 0);
  }

  #abandon(entry: SampleTry, reason: string): void {
    this.#tries.delete(entry);
    this.#waste(entry.progress.received.tokens.length - entry.from, reason);
    entry.cancel();
  }

  #resumeFrom(): TokenRun | undefined {
    const longest = this.#longest();
    if (!longest || longest.tokens.length === 0 || this.#isStale(longest)) return undefined;
    return { tokens: [...longest.tokens], segments: [...longest.segments] };
  }

  #longest(): TokenRun | undefined {
    const runs = [...this.#tries].map((entry) => entry.progress.received);
    if (this.#partial) runs.push(this.#partial);
    return runs.sort((a, b) => b.tokens.length - a.tokens.length)[0];
  }

  #isStale(run: TokenRun): boolean {
    return this.#deps.isStale(run.segments);
  }

  #waste(tokens: number, reason: string): void {
    this.#deps.metrics.count(`rollout.wasted.${reason}`, tokens);
  }
}

function isTrue(answer: SampleAnswer, progress: SegmentCollector): boolean {
  return progress
    .finish()
    .map((run) => isLabelled(answer) && digestRun(run) === digestRun(answer))
    .unwrapOr(false);
}
