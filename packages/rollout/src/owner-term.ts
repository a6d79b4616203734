/** One holder's work for a trainer, from gaining the duty until losing it. */
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

import type { TrainerHistory } from './history';
import type { Journal } from './journal';
import type { Notifier } from './notifier';
import { RECORD_KINDS, type SampleGroup } from './records';
import type { SampleRunner } from './samples';
import type { Segment } from './segments';
import { isStale, measureStaleness } from './staleness';
import type { PageBounds, SamplePage } from './sample-page';
import { StepRun } from './step-run';
import type { StragglerPolicy } from './stragglers';

/** Bounds of a step owner's work. */
export interface OwnerBounds {
  /** The most samples of a trainer that run at once. */
  readonly running: number;
  /** The memory that unread samples of a trainer may take before no more are started, in bytes. */
  readonly heldBytes: number;
  /** The most steps of a trainer that are open and not wholly delivered. */
  readonly openSteps: number;
  /** How long a step lives on when its trainer doesn't ask for it, in milliseconds. */
  readonly idleMs: Millis;
  /** How long a step lives on after its last page, for a trainer that asks again, in milliseconds. */
  readonly lingerMs: Millis;
  /** How long numbers are gathered for one record, in milliseconds. */
  readonly batchMs: Millis;
  /** The most samples in one record. */
  readonly batchSamples: number;
  /** How often hedging, staleness and expiry are looked at, in milliseconds. */
  readonly tickMs: Millis;
  /** How often the state is written down whole, in milliseconds. */
  readonly snapshotMs: Millis;
  readonly page: PageBounds;
}

/** The bounds that hold unless others are given. */
export const DEFAULT_OWNER_BOUNDS: OwnerBounds = {
  running: 256,
  heldBytes: 64 * 1024 * 1024,
  openSteps: 4,
  idleMs: 600_000,
  lingerMs: 60_000,
  batchMs: 250,
  batchSamples: 256,
  tickMs: 250,
  snapshotMs: 600_000,
  page: { samples: 128, bytes: 4 * 1024 * 1024 },
};

/** What a term needs. */
export interface OwnerTermDeps {
  readonly claim: FencingNumber;
  readonly history: TrainerHistory;
  readonly journal: Journal;
  readonly changes: Notifier;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly runner: SampleRunner;
  readonly stragglers: StragglerPolicy;
  /** The trainer as it is declared now. */
  readonly trainer: () => Trainer;
  readonly excluded: () => ReadonlySet<TargetId>;
  readonly bounds: OwnerBounds;
  /** Called when a record of this term didn't count: the term must be begun anew or ended. */
  readonly onRefused: () => void;
}

const REFUSED_MS: Millis = 1000;

/** Runs a trainer's steps under one claim. */
export class OwnerTerm {
  readonly claim: FencingNumber;

  readonly #deps: OwnerTermDeps;

  readonly #runs = new Map<StepId, StepRun>();

  readonly #over = new AbortController();

  /** @param deps - the history that holds every record before the claim, and what does the work */
  constructor(deps: OwnerTermDeps) {
    this.claim = deps.claim;
    this.#deps = deps;
  }

  /** Aborts when the term is over. */
  get signal(): AbortSignal {
    return this.#over.signal;
  }

  /** Takes the open steps over and starts the work. */
  start(): void {
    this.#deps.history.openSteps().forEach((step) => this.#open(step.step));
    void this.#tick();
    void this.#record();
    void this.#snapshot();
  }

  /** Ends the term: what runs is cancelled, nothing more is released. */
  stop(): void {
    if (this.#over.signal.aborted) return;
    this.#over.abort();
    this.#runs.forEach((run) => run.stop());
    this.#deps.changes.notify();
  }

  /**
   * Creates a step.
   *
   * @param step - its id
   * @param groups - its groups
   * @param digest - the digest of its groups
   * @returns nothing once it is on record
   */
  async create(
    step: StepId,
    groups: readonly SampleGroup[],
    digest: string,
  ): Promise<Result<void, Failure>> {
    const open = [...this.#runs.values()].filter((run) => !run.isDelivered);
    if (open.length >= this.#deps.bounds.openSteps) {
      this.#deps.metrics.countRefusal('steps_exceeded');
      return err(createFailure('steps_exceeded', { retryAfterMs: 1000 }));
    }
    const body = { step, groups, digest };
    const written = await this.#deps.journal.write(RECORD_KINDS.create, body, this.signal);
    if (written.isErr()) return err(written.error);
    this.#open(step);
    this.#pump();
    return ok(undefined);
  }

  /**
   * Notes where the trainer's cursor stands and reads what its page needs.
   *
   * @param step - an open step
   * @param after - the cursor
   */
  async load(step: StepId, after: number): Promise<void> {
    const run = this.#runs.get(step);
    run?.touch(after);
    await run?.load(after, this.#deps.bounds.page);
  }

  /**
   * Releases the page for a cursor, as of this moment.
   *
   * @param step - an open step
   * @param after - the cursor
   * @returns the page, or undefined when the step isn't open
   */
  page(step: StepId, after: number): SamplePage | undefined {
    return this.#runs.get(step)?.page(after, this.#deps.bounds.page);
  }

  #open(step: StepId): void {
    const history = this.#deps.history.findStep(step);
    if (!isSome(history) || this.#runs.has(step)) return;
    const { changes, clock, excluded, metrics, runner } = this.#deps;
    const run = new StepRun(history.value, this.#deps.trainer(), {
      runner,
      clock,
      metrics,
      excluded,
      isStale: (segments) => this.#isStale(segments),
      onChange: () => {
        this.#pump();
        changes.notify();
      },
    });
    this.#runs.set(step, run);
  }

  #isStale(segments: readonly Segment[]): boolean {
    const { clock, history, trainer } = this.#deps;
    const age = measureStaleness(segments, history.versions, clock.wall());
    return isStale(age, trainer().staleness);
  }

  #pump(): void {
    if (this.signal.aborted) return;
    const { bounds } = this.#deps;
    for (const run of this.#runs.values()) {
      while (this.#sum('running') < bounds.running && this.#sum('heldBytes') < bounds.heldBytes) {
        if (!run.startNext()) break;
      }
    }
  }

  #sum(figure: 'running' | 'heldBytes'): number {
    return [...this.#runs.values()].reduce((sum, run) => sum + run[figure], 0);
  }

  async #tick(): Promise<void> {
    const { bounds, clock, stragglers } = this.#deps;
    while (!this.signal.aborted) {
      this.#runs.forEach((run) => run.dropStale());
      this.#runs.forEach((run) => run.hedge(stragglers));
      this.#pump();
      await clock.sleep(bounds.tickMs, this.signal);
    }
  }

  async #record(): Promise<void> {
    const { bounds, clock } = this.#deps;
    while (!this.signal.aborted) {
      for (const run of [...this.#runs.values()]) {
        await this.#number(run);
        await this.#finish(run);
      }
      await clock.sleep(bounds.batchMs, this.signal);
    }
  }

  async #number(run: StepRun): Promise<void> {
    const body = run.collect(this.#deps.bounds.batchSamples);
    if (!body) return;
    const lost = body.voids.flatMap((number) => {
      const sample = run.history.at(number);
      return isSome(sample) ? [sample.value.id] : [];
    });
    const written = await this.#write(RECORD_KINDS.numbers, body);
    if (written.isOk()) run.recorded(body, lost);
  }

  /** Writes a record that must not be given up; when it doesn't count, neither does this term. */
  async #write(kind: string, body: object): Promise<Result<void, Failure>> {
    const { clock, journal, metrics } = this.#deps;
    for (;;) {
      const written = await journal.write(kind, body, this.signal);
      if (written.isErr() && written.error.code === 'platform_refused') {
        metrics.countRetry(written.error.code);
        await clock.sleep(REFUSED_MS, this.signal);
        continue;
      }
      if (written.isErr() && !this.signal.aborted) this.#deps.onRefused();
      return written;
    }
  }

  async #finish(run: StepRun): Promise<void> {
    const { bounds, clock, metrics } = this.#deps;
    const idleMs = clock.mono() - run.touchedAt;
    const isComplete = run.isFinished || (run.isDelivered && idleMs > bounds.lingerMs);
    if (this.signal.aborted || !(isComplete || idleMs > bounds.idleMs)) return;
    const { step } = run.history;
    const reason = isComplete ? 'complete' : 'expired';
    const written = await this.#write(RECORD_KINDS.done, { step, reason });
    if (written.isErr()) return;
    metrics.count(`rollout.step.${reason}`);
    this.#runs.delete(step);
    run.end();
    this.#deps.changes.notify();
  }

  async #snapshot(): Promise<void> {
    const { bounds, clock, history, journal } = this.#deps;
    while (!this.signal.aborted) {
      await journal.write(RECORD_KINDS.snapshot, history.toSnapshot(), this.signal);
      await clock.sleep(bounds.snapshotMs, this.signal);
    }
  }
}
