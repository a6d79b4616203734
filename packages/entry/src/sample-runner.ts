/** Runs samples at targets over the links. */
import {
  type Clock,
  type Failure,
  type Millis,
  type MonoTime,
  type RequestId,
  type ServiceId,
  createFailure,
} from '@hibiscushill/base';
import {
  type PayloadRef,
  type RunOptions,
  type SampleAnswer,
  SampleRunner,
  SegmentCollector,
  type SampleSpec,
  type TokenRun,
} from '@hibiscushill/rollout';
import { type Result, ResultAsync, err, ok } from 'neverthrow';

import type { AgentPool } from './agent-pool';
import type { DispatchRequest } from './dispatch';
import type { RequestDispatcher } from './dispatcher';
import type { OutgoingAttempt } from './outgoing-attempt';
import type { ServedRequest } from './service-routes';

const SAMPLE_DEADLINE_MS: Millis = 600_000;
const FETCH_TIMEOUT_MS: Millis = 5000;
const HTTP_OK = 200;
const CHARS_PER_TOKEN = 4;
const PREFIX_CHARS = 256;

/** What the runner needs. */
export interface LinkSampleRunnerOptions {
  readonly clock: Clock;
  readonly dispatcher: RequestDispatcher;
  readonly pool: AgentPool;
  readonly service: () => ServiceId;
  readonly onServed: (served: ServedRequest) => void;
}

/** Runs the samples of one trainer. */
export class LinkSampleRunner extends SampleRunner {
  readonly #options: LinkSampleRunnerOptions;

  /** @param options - the way to the targets */
  constructor(options: LinkSampleRunnerOptions) {
    super();
    this.#options = options;
  }

  override run(spec: SampleSpec, options: RunOptions): ResultAsync<SampleAnswer, Failure> {
    return new ResultAsync(this.#run(spec, options));
  }

  override fetch(payload: PayloadRef): ResultAsync<TokenRun, Failure> {
    return new ResultAsync(this.#fetch(payload));
  }

  override release(payload: PayloadRef): void {
    const attempt = this.#reopen(payload);
    attempt?.acknowledge(false);
  }

  async #run(spec: SampleSpec, options: RunOptions): Promise<Result<SampleAnswer, Failure>> {
    const answer = await this.#options.dispatcher.dispatch(this.#createDispatch(spec, options));
    if (answer.isErr()) return err(answer.error);
    const { attempt, status } = answer.value;
    const stop = (): void => attempt.fail(createFailure('cancelled', { run: 'may-have-run' }));
    options.signal.addEventListener('abort', stop, { once: true });
    const read = await readAnswer(attempt, status, options.progress);
    options.signal.removeEventListener('abort', stop);
    if (read.isErr()) {
      attempt.cancel();
      return err(read.error);
    }
    attempt.leave();
    this.#noteServed(spec, read.value);
    const { target, incarnation, id } = attempt;
    const whole = spec.resume === undefined || spec.resume.tokens.length === 0;
    return ok({ ...read.value, payload: { target, incarnation, attempt: id, whole } });
  }

  async #fetch(payload: PayloadRef): Promise<Result<TokenRun, Failure>> {
    const attempt = this.#reopen(payload);
    if (attempt === undefined) return err(createFailure('target_down'));
    const timer = setTimeout(
      () => attempt.fail(createFailure('target_down', { detail: 'no answer in time' })),
      FETCH_TIMEOUT_MS,
    );
    const read = await readAnswer(attempt, HTTP_OK, new SegmentCollector());
    clearTimeout(timer);
    attempt.leave();
    return read;
  }

  #reopen(payload: PayloadRef): OutgoingAttempt | undefined {
    const { attempt, incarnation, target } = payload;
    const peer = this.#options.pool.find(this.#options.service(), target);
    return peer?.reopen({ attempt, incarnation, request: '' });
  }

  #noteServed(spec: SampleSpec, run: TokenRun): void {
    this.#options.onServed({
      request: spec.sample as string as RequestId,
      team: spec.team,
      service: spec.service,
      tokens: run.tokens.length,
    });
  }

  #createDispatch(spec: SampleSpec, options: RunOptions): DispatchRequest {
    const { prompt, maxTokens, trainer, seed, resume, priority } = spec;
    const from = resume?.tokens.length ?? 0;
    const body = {
      prompt,
      maxTokens,
      trainer,
      priority,
      ...(seed !== undefined && { seed }),
      ...(resume !== undefined && from > 0 && { resume: { tokens: resume.tokens, from } }),
    };
    return {
      request: spec.sample as string as RequestId,
      service: spec.service,
      team: spec.team,
      key: '',
      // The trainer's key was checked when it made the step; no caller's key stands behind a sample.
      isPublic: true,
      method: 'POST',
      path: '/generate',
      headers: [
        { name: 'content-type', value: 'application/json' },
        { name: 'x-request-id', value: spec.sample },
      ],
      body: Buffer.from(JSON.stringify(body)),
      isIdempotent: true,
      isModel: true,
      isBillable: false,
      mayHedge: false,
      retain: true,
      idempotencyKey: '',
      affinityKey: prompt.slice(0, PREFIX_CHARS),
      deadline: (this.#options.clock.mono() + SAMPLE_DEADLINE_MS) as MonoTime,
      costTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN) + maxTokens - from,
      priority,
      trainer,
      exclude: options.exclude,
      signal: options.signal,
      onTarget: options.onTarget,
    };
  }
}

/** Reads an answer to its end. A broken link ends it: the sample is resumed elsewhere. */
async function readAnswer(
  attempt: OutgoingAttempt,
  status: number,
  progress: SegmentCollector,
): Promise<Result<TokenRun, Failure>> {
  if (status !== HTTP_OK) {
    return err(createFailure('answer_broken', { detail: `status ${status}`, run: 'may-have-run' }));
  }
  for (;;) {
    const event = await attempt.next();
    if (event.kind === 'end') return progress.finish();
    if (event.kind === 'failed') return err(event.failure);
    if (event.kind === 'down') {
      return err(createFailure('answer_broken', { detail: 'link broken', run: 'may-have-run' }));
    }
    if (event.kind === 'chunk') {
      const taken = progress.push(event.data);
      if (taken.isErr()) return err(taken.error);
      attempt.credit(event.data.length);
    }
  }
}
