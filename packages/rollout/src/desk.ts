/** A trainer's desk on an entry: answers its calls while the entry holds the trainer's duty. */
import { createHash } from 'node:crypto';

import {
  createFailure,
  type Failure,
  type FencingNumber,
  type Millis,
  type StepId,
  type TrainerId,
  type WeightVersion,
} from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { isSome, none, some, type Option } from 'fp-ts/Option';
import { err, ok, type Result } from 'neverthrow';

import type {
  OwnerLease,
  SampleQuery,
  StepCreated,
  TrainerDeskDeps,
  WeightsPublished,
} from './desk-types';
import { TrainerHistory } from './history';
import { Journal } from './journal';
import { Notifier } from './notifier';
import { DEFAULT_OWNER_BOUNDS, OwnerTerm, type OwnerBounds } from './owner-term';
import { RECORD_KINDS, type SampleGroup } from './records';
import { isStale, measureStaleness, type PublishedVersion } from './staleness';
import type { SamplePage } from './sample-page';
import { NoHedging } from './stragglers';

const RELEASE_MARGIN_MS: Millis = 50;
const MAX_WAIT_STEP_MS: Millis = 1000;
const OWNER_RETRY_MS: Millis = 500;

/** The calls of one trainer. */
export class TrainerDesk {
  readonly trainer: TrainerId;

  readonly #deps: TrainerDeskDeps;

  readonly #history: TrainerHistory;

  readonly #changes = new Notifier();

  readonly #bounds: OwnerBounds;

  #lease: Option<OwnerLease> = none;

  #term: Option<OwnerTerm> = none;

  #publishing: Promise<unknown> = Promise.resolve();

  /** @param deps - the trainer's stream, duty and runner */
  constructor(deps: TrainerDeskDeps) {
    this.trainer = deps.trainer().name;
    this.#deps = deps;
    this.#history = new TrainerHistory(this.trainer, deps.claims);
    this.#bounds = { ...DEFAULT_OWNER_BOUNDS, ...deps.bounds };
  }

  /** The fold of the trainer's stream. */
  get history(): TrainerHistory {
    return this.#history;
  }

  /** The newest published version, as far as the stream has been read. */
  get newest(): Option<PublishedVersion> {
    return this.#history.newest;
  }

  /** Whether this process serves the trainer now. */
  get isOwner(): boolean {
    return this.#owner().isOk();
  }

  /**
   * Tells whether a sample that a version begins now would be too old already.
   *
   * @param version - the version that a target serves
   * @returns true for a target that must get no samples before its swap
   */
  isTooOld(version: WeightVersion): boolean {
    const { clock, trainer } = this.#deps;
    const segments = [{ version, fromToken: 0, toToken: 1 }];
    const age = measureStaleness(segments, this.#history.versions, clock.wall());
    return isStale(age, trainer().staleness);
  }

  /** Takes the next record of the trainer's stream. Every record goes through here, in order. */
  apply(record: LogRecord): void {
    this.#history.apply(record);
    this.#followClaim();
    this.#changes.notify();
  }

  /** Notes that records before `apply`'s next were trimmed and not read. */
  trimmed(): void {
    this.#history.reset();
  }

  /**
   * Notes that this process holds the duty. Work starts once the claim has been read back.
   *
   * @param lease - the lease
   */
  gained(lease: OwnerLease): void {
    this.#lease = some(lease);
    this.#followClaim();
  }

  /** Notes that this process holds the duty no longer. */
  lost(): void {
    this.#lease = none;
    if (isSome(this.#term)) this.#term.value.stop();
    this.#term = none;
    this.#changes.notify();
  }

  /**
   * Publishes a weight version. Publishing the newest one again gives the same answer.
   *
   * @param version - the version, higher than any before
   * @param source - where the weights come from
   * @returns the version once it is on record
   */
  publish(version: WeightVersion, source: string): Promise<Result<WeightsPublished, Failure>> {
    const turn = this.#publishing.then(() => this.#publish(version, source));
    this.#publishing = turn;
    return turn;
  }

  /**
   * Creates a step. Creating it again with the same groups gives the same answer.
   *
   * @param step - its id
   * @param groups - its groups
   * @returns the step once it is on record
   */
  async createStep(
    step: StepId,
    groups: readonly SampleGroup[],
  ): Promise<Result<StepCreated, Failure>> {
    const owner = this.#owner();
    if (owner.isErr()) return err(owner.error);
    const digest = digestGroups(groups);
    const samples = groups.reduce((sum, group) => sum + group.count, 0);
    const answer = { step, samples, digest };
    if (isSome(this.#history.findStep(step))) return this.#compare(answer);
    const created = await owner.value.create(step, groups, digest);
    if (created.isErr() && !isSome(this.#history.findStep(step))) return err(created.error);
    return this.#compare(answer);
  }

  /**
   * Gives the samples after a cursor, waiting for the first. Asking again gives the same samples
   * under the same numbers, as long as they are fresh; a number never stands for two payloads.
   *
   * @param query - the step, the cursor and how long to wait
   * @returns the page, released at the moment the promise resolves
   */
  async samples(query: SampleQuery): Promise<Result<SamplePage, Failure>> {
    const { clock } = this.#deps;
    const deadline = clock.mono() + query.waitMs;
    for (;;) {
      const owner = this.#owner();
      if (owner.isErr()) return err(owner.error);
      await owner.value.load(query.step, query.after);
      const page = this.#release(owner.value, query);
      if (page.isErr() || hasNews(page.value)) return page;
      const left = deadline - clock.mono();
      if (left <= 0 || query.signal?.aborted) return page;
      await this.#changes.wait(clock, Math.min(left, MAX_WAIT_STEP_MS), query.signal);
    }
  }

  #release(term: OwnerTerm, query: SampleQuery): Result<SamplePage, Failure> {
    const owner = this.#owner();
    if (owner.isErr() || owner.value !== term) return err(createNotOwner());
    const found = this.#history.findStep(query.step);
    if (!isSome(found)) return err(createFailure('step_unknown', { detail: query.step }));
    const step = found.value;
    if (query.after > step.last) return err(createFailure('cursor_invalid'));
    if (step.end !== 'open') return endedPage(step, query);
    if (query.after < step.passed) return err(createFailure('step_expired'));
    const page = term.page(query.step, query.after);
    return page ? ok(page) : err(createNotOwner());
  }

  async #publish(
    version: WeightVersion,
    source: string,
  ): Promise<Result<WeightsPublished, Failure>> {
    const owner = this.#owner();
    if (owner.isErr()) return err(owner.error);
    const { newest } = this.#history;
    if (isSome(newest) && newest.value.version === version && newest.value.source === source) {
      return ok({ version });
    }
    if (isSome(newest) && newest.value.version >= version) {
      return err(createFailure('weights_conflict', { detail: `newest ${newest.value.version}` }));
    }
    const body = { version, source };
    const journal = this.#journal(owner.value.claim);
    const written = await journal.write(RECORD_KINDS.publish, body, owner.value.signal);
    return written.map(() => ({ version }));
  }

  #compare(answer: StepCreated): Result<StepCreated, Failure> {
    const found = this.#history.findStep(answer.step);
    if (isSome(found) && found.value.digest === answer.digest) return ok(answer);
    return err(createFailure('step_conflict', { detail: answer.step }));
  }

  #owner(): Result<OwnerTerm, Failure> {
    if (!isSome(this.#lease) || !isSome(this.#term)) return err(createNotOwner());
    if (!this.#lease.value.covers(RELEASE_MARGIN_MS)) return err(createNotOwner());
    return ok(this.#term.value);
  }

  #followClaim(): void {
    const { claim } = this.#history;
    if (isSome(this.#term)) {
      if (isSome(claim) && claim.value === this.#term.value.claim) return;
      this.#term.value.stop();
      this.#term = none;
    }
    if (!isSome(this.#lease) || !isSome(claim)) return;
    if (claim.value === this.#lease.value.fencing) this.#begin(claim.value);
  }

  #begin(claim: FencingNumber): void {
    const { clock, excluded, metrics, runner, stragglers, trainer } = this.#deps;
    this.#history.assumeComplete();
    const term = new OwnerTerm({
      claim,
      history: this.#history,
      journal: this.#journal(claim),
      changes: this.#changes,
      clock,
      metrics,
      runner,
      stragglers: stragglers ?? new NoHedging(),
      trainer,
      excluded: excluded ?? (() => new Set()),
      bounds: this.#bounds,
      onRefused: () => this.#restart(claim),
    });
    this.#term = some(term);
    term.start();
  }

  /** Begins a term anew from the history, if its claim still stands. */
  #restart(claim: FencingNumber): void {
    if (!isSome(this.#term) || this.#term.value.claim !== claim) return;
    this.#deps.metrics.count('rollout.term.restarted');
    this.#term.value.stop();
    this.#term = none;
    this.#followClaim();
  }

  #journal(claim: FencingNumber): Journal {
    const { append, clock, metrics } = this.#deps;
    const history = this.#history;
    return new Journal({ append, history, changes: this.#changes, clock, metrics }, claim);
  }
}

function createNotOwner(): Failure {
  return createFailure('not_owner', { retryAfterMs: OWNER_RETRY_MS });
}

function hasNews(page: SamplePage): boolean {
  return page.done || page.samples.length > 0 || page.voids.length > 0;
}

function endedPage(
  step: { step: StepId; end: string; last: number; total: number },
  query: SampleQuery,
): Result<SamplePage, Failure> {
  if (step.end !== 'complete' || query.after < step.last) {
    return err(createFailure('step_expired', { detail: query.step }));
  }
  const { last, total } = step;
  return ok({ step: step.step, samples: [], voids: [], next: last, done: true, total });
}

function digestGroups(groups: readonly SampleGroup[]): string {
  const text = JSON.stringify(
    groups.map(({ id, prompt, count, maxTokens, seed }) => [id, prompt, count, maxTokens, seed]),
  );
  return createHash('sha256').update(text).digest('hex').slice(0, 32);
}
