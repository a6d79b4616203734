/** Streams a target's response to the caller, and resumes a model's response that breaks off. */
import {
  type Clock,
  type CodeName,
  type Failure,
  type Metrics,
  type MonoTime,
  type RequestId,
  createFailure,
} from '@hibiscushill/base';
import type { FastifyReply, FastifyRequest } from 'fastify';

import type { DispatchRequest, OpenResponse } from './dispatch';
import type { RequestDispatcher } from './dispatcher';
import { ModelResponseBuffer } from './model-response-buffer';
import type { OutgoingAttempt } from './outgoing-attempt';

/** The dispatcher and the state of the entry that a forwarder uses. */
export interface ResponseForwarderOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly dispatcher: RequestDispatcher;
  readonly isStopping: () => boolean;
}

/** A response to forward, and the request and reply that it belongs to. */
export interface ForwardJob {
  readonly req: FastifyRequest;
  readonly res: FastifyReply;
  readonly dispatch: DispatchRequest;
  readonly response: OpenResponse;
}

/** A response that was forwarded to its end. */
export interface CompleteResponse {
  readonly kind: 'complete';
  readonly request: RequestId;
  readonly tokens: number;
  /** Lets the agent drop the response; `billed` tells whether its usage counts. */
  readonly acknowledge: (billed: boolean) => void;
}

/** A response that broke off after its start: the caller's connection was closed. */
export interface BrokenResponse {
  readonly kind: 'broken';
}

/** A response that failed before anything was sent, so that the caller can get a refusal. */
export interface UnsentResponse {
  readonly kind: 'unsent';
  readonly failure: Failure;
}

/** How the forwarding of a response ended. */
export type ForwardOutcome = CompleteResponse | BrokenResponse | UnsentResponse;

// Failures after which another target may generate the rest of the response.
const RESUMABLE_CODES: ReadonlySet<CodeName> = new Set<CodeName>([
  'answer_broken',
  'outcome_unknown',
]);

const HTTP_OK = 200;

/** Forwards responses to callers. */
export class ResponseForwarder {
  readonly #options: ResponseForwarderOptions;

  /** @param options - the dispatcher, which sends the attempts that resume a response */
  constructor(options: ResponseForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards a response to its end. When it can't be completed after its start, the caller's
   * connection is destroyed, so that a partial response never looks complete.
   *
   * @param job - the response, and the reply to write it to
   * @returns how the forwarding ended
   */
  async forward(job: ForwardJob): Promise<ForwardOutcome> {
    const { res, dispatch, response } = job;
    const lines =
      dispatch.isModel && dispatch.isIdempotent && response.status === HTTP_OK
        ? new ModelResponseBuffer()
        : undefined;
    let { attempt } = response;
    for (;;) {
      const failure = await this.#pipe(job, attempt, lines);
      if (failure === undefined) return createOutcome(attempt, lines);
      attempt.cancel();
      const resumed = await this.#resume(dispatch, attempt, failure, lines);
      if (resumed === undefined) {
        this.#options.metrics.count(`broken.${failure.code}`);
        if (!res.raw.headersSent) return { kind: 'unsent', failure };
        res.raw.destroy();
        return { kind: 'broken' };
      }
      attempt = resumed;
    }
  }

  /** Pipes one attempt's response. Returns why it broke off, or undefined at its end. */
  async #pipe(
    job: ForwardJob,
    attempt: OutgoingAttempt,
    lines: ModelResponseBuffer | undefined,
  ): Promise<Failure | undefined> {
    const { res } = job;
    const stopWatching = this.#failOnAbortOrDeadline(job.dispatch, attempt);
    try {
      for (;;) {
        const event = await attempt.nextEvent();
        if (event.kind === 'chunk') {
          const data = lines === undefined ? event.data : lines.push(event.data);
          if (data.length > 0) this.#sendHead(job);
          await write(res.raw, data);
          attempt.reportConsumed(event.data.length);
        } else if (event.kind === 'end') {
          this.#sendHead(job);
          res.raw.end(lines?.takeRemainder());
          return undefined;
        } else if (event.kind === 'failed') {
          return event.failure;
        }
      }
    } finally {
      stopWatching();
    }
  }

  // The head is sent with the first bytes: until then a failure can still become a refusal.
  #sendHead({ req, res, response }: ForwardJob): void {
    if (res.raw.headersSent) return;
    res.hijack();
    writeHead(res.raw, req, response, this.#options.isStopping());
  }

  // Fails the attempt at the deadline, or when the caller has disconnected or its API key was
  // withdrawn. Returns a function that stops watching.
  #failOnAbortOrDeadline(
    { deadline, signal }: DispatchRequest,
    attempt: OutgoingAttempt,
  ): () => void {
    const fail = (code: CodeName): void =>
      attempt.fail(createFailure(code, { run: 'may-have-run' }));
    const timer = setTimeout(() => fail('deadline_exceeded'), this.#remainingMs(deadline));
    const onAbort = (): void => fail('cancelled');
    signal.addEventListener('abort', onAbort);
    if (signal.aborted) onAbort();
    return () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
    };
  }

  async #resume(
    dispatch: DispatchRequest,
    broken: OutgoingAttempt,
    failure: Failure,
    lines: ModelResponseBuffer | undefined,
  ): Promise<OutgoingAttempt | undefined> {
    if (dispatch.signal.aborted || !RESUMABLE_CODES.has(failure.code)) return undefined;
    const tokens = lines?.startResume()?.tokens;
    if (
      tokens === undefined ||
      !this.#options.dispatcher.tryRetry(dispatch.service, failure.code)
    ) {
      return undefined;
    }
    const response = await this.#options.dispatcher.dispatch({
      ...dispatch,
      body: addResumeTokens(dispatch.body, tokens),
      excludedTargets: new Set([broken.target]),
    });
    if (response.isErr()) return undefined;
    if (response.value.status === HTTP_OK) return response.value.attempt;
    response.value.attempt.cancel();
    return undefined;
  }

  #remainingMs(deadline: MonoTime): number {
    return Math.max(0, deadline - this.#options.clock.mono());
  }
}

function createOutcome(
  attempt: OutgoingAttempt,
  lines: ModelResponseBuffer | undefined,
): CompleteResponse {
  const { request } = attempt;
  const tokens = Math.max(attempt.tokens, lines?.tokenCount ?? 0);
  return {
    kind: 'complete',
    request,
    tokens,
    acknowledge: (billed) => attempt.acknowledge(billed),
  };
}

function addResumeTokens(body: Buffer, tokens: readonly string[]): Buffer {
  const request = JSON.parse(body.toString('utf8')) as object;
  return Buffer.from(JSON.stringify({ ...request, resume: { tokens, from: tokens.length } }));
}

function writeHead(
  raw: FastifyReply['raw'],
  req: FastifyRequest,
  response: OpenResponse,
  isStopping: boolean,
): void {
  response.headers.forEach((header) => raw.appendHeader(header.name, header.value));
  raw.setHeader('x-request-id', req.id);
  if (isStopping) raw.setHeader('connection', 'close');
  raw.writeHead(response.status);
}

// Waits until the caller has read enough for more to be written, or has disconnected.
async function write(raw: FastifyReply['raw'], data: Buffer): Promise<void> {
  if (data.length === 0 || raw.write(data) || raw.destroyed) return;
  await new Promise<void>((resolve) => {
    const done = (): void => {
      raw.off('drain', done);
      raw.off('close', done);
      resolve();
    };
    raw.once('drain', done);
    raw.once('close', done);
  });
}
