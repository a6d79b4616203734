/** Runs a trainer's samples at targets, over the links to their agents. */
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
  type GeneratedSample,
  SampleRunner,
  SegmentCollector,
  type SampleSpec,
  type LabelledTokens,
} from '@hibiscushill/rollout';
import { type Result, ResultAsync, err, ok } from 'neverthrow';

import type { AgentPool } from './agent-pool';
import type { DispatchRequest } from './dispatch';
import type { RequestDispatcher } from './dispatcher';
import type { OutgoingAttempt } from './outgoing-attempt';
import type { ServedRequest } from './service-routes';

const SAMPLE_DEADLINE_MS: Millis = 600_000;
const PAYLOAD_FETCH_TIMEOUT_MS: Millis = 5000;
const HTTP_OK = 200;
const CHARS_PER_TOKEN = 4;
const PREFIX_CHARS = 256;

/** The dispatcher and the agents of a sample runner. */
export interface LinkSampleRunnerOptions {
  readonly clock: Clock;
  readonly dispatcher: RequestDispatcher;
  readonly pool: AgentPool;
  /** The service that the trainer's samples run at. */
  readonly service: () => ServiceId;
  readonly onServed: (served: ServedRequest) => void;
}

/** Runs the samples of one trainer, and reads payloads that agents keep. */
export class LinkSampleRunner extends SampleRunner {
  readonly #options: LinkSampleRunnerOptions;

  /** @param options - the dispatcher and the agents */
  constructor(options: LinkSampleRunnerOptions) {
    super();
    this.#options = options;
  }

  override run(spec: SampleSpec, options: RunOptions): ResultAsync<GeneratedSample, Failure> {
    return new ResultAsync(this.#run(spec, options));
  }

  override fetch(payload: PayloadRef): ResultAsync<LabelledTokens, Failure> {
    return new ResultAsync(this.#fetch(payload));
  }

  override release(payload: PayloadRef): void {
    const attempt = this.#reattach(payload);
    attempt?.acknowledge(false);
  }

  async #run(spec: SampleSpec, options: RunOptions): Promise<Result<GeneratedSample, Failure>> {
    const response = await this.#options.dispatcher.dispatch(this.#createDispatch(spec, options));
    if (response.isErr()) return err(response.error);
    const { attempt, status } = response.value;
    const stop = (): void => attempt.fail(createFailure('cancelled', { run: 'may-have-run' }));
    options.signal.addEventListener('abort', stop, { once: true });
    const read = await readResponse(attempt, status, options.collector);
    options.signal.removeEventListener('abort', stop);
    if (read.isErr()) {
      attempt.cancel();
      return err(read.error);
    }
    attempt.release();
    this.#reportServed(spec, read.value);
    const { target, incarnation, id } = attempt;
    const whole = spec.resume === undefined || spec.resume.tokens.length === 0;
    return ok({ ...read.value, payload: { target, incarnation, attempt: id, whole } });
  }

  async #fetch(payload: PayloadRef): Promise<Result<LabelledTokens, Failure>> {
    const attempt = this.#reattach(payload);
    if (attempt === undefined) return err(createFailure('target_down'));
    const timer = setTimeout(
      () =>
        attempt.fail(createFailure('target_down', { detail: 'no response within the timeout' })),
      PAYLOAD_FETCH_TIMEOUT_MS,
    );
    const read = await readResponse(attempt, HTTP_OK, new SegmentCollector());
    clearTimeout(timer);
    attempt.release();
    return read;
  }

  #reattach(payload: PayloadRef): OutgoingAttempt | undefined {
    const { attempt, incarnation, target } = payload;
    const agent = this.#options.pool.findClient(this.#options.service(), target);
    return agent?.reattach({ attempt, incarnation, request: '' });
  }

  #reportServed(spec: SampleSpec, run: LabelledTokens): void {
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
      // The trainer's key was checked when it created the step, so a sample has no key to check.
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
      isHedgeable: false,
      retain: true,
      idempotencyKey: '',
      affinityKey: prompt.slice(0, PREFIX_CHARS),
      deadline: (this.#options.clock.mono() + SAMPLE_DEADLINE_MS) as MonoTime,
      costTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN) + maxTokens - from,
      priority,
      trainer,
      excludedTargets: options.excludedTargets,
      signal: options.signal,
      onAttemptSent: options.onTargetChosen,
    };
  }
}

/** Reads a response to its end. It fails when the link is lost: the sample is resumed elsewhere. */
async function readResponse(
  attempt: OutgoingAttempt,
  status: number,
  progress: SegmentCollector,
): Promise<Result<LabelledTokens, Failure>> {
  if (status !== HTTP_OK) {
    return err(createFailure('answer_broken', { detail: `status ${status}`, run: 'may-have-run' }));
  }
  for (;;) {
    const event = await attempt.nextEvent();
    if (event.kind === 'end') return progress.finish();
    if (event.kind === 'failed') return err(event.failure);
    if (event.kind === 'link-down') {
      return err(
        createFailure('answer_broken', {
          detail: 'the link to the agent is down',
          run: 'may-have-run',
        }),
      );
    }
    if (event.kind === 'chunk') {
      const pushed = progress.push(event.data);
      if (pushed.isErr()) return err(pushed.error);
      attempt.reportConsumed(event.data.length);
    }
  }
}
