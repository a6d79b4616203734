/** Sends an answer on to the caller as it comes, and resumes a model's answer that breaks off. */
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

import type { DispatchRequest, OpenAnswer } from './dispatch';
import type { RequestDispatcher } from './dispatcher';
import { ModelLines } from './model-lines';
import type { OutgoingAttempt } from './outgoing-attempt';

/** What a forwarder needs. */
export interface AnswerForwarderOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly dispatcher: RequestDispatcher;
  readonly isStopping: () => boolean;
}

/** One answer to forward. */
export interface ForwardJob {
  readonly req: FastifyRequest;
  readonly res: FastifyReply;
  readonly dispatch: DispatchRequest;
  readonly answer: OpenAnswer;
}

/** An answer that reached the caller whole. */
export interface ForwardedAnswer {
  readonly kind: 'whole';
  readonly request: RequestId;
  readonly tokens: number;
  /** Lets the agent forget the answer; `billed` says whether its usage counts. */
  readonly settle: (billed: boolean) => void;
}

/** An answer that broke off: the caller's connection was cut. */
export interface BrokenAnswer {
  readonly kind: 'broken';
}

/** An answer that failed before the caller got any of it, who can still be told why. */
export interface UnsentAnswer {
  readonly kind: 'unsent';
  readonly failure: Failure;
}

/** What became of an answer. */
export type ForwardOutcome = ForwardedAnswer | BrokenAnswer | UnsentAnswer;

// Ends of an answer that say nothing against the rest of it being made elsewhere.
const RESUMABLE: ReadonlySet<CodeName> = new Set<CodeName>(['answer_broken', 'outcome_unknown']);

const HTTP_OK = 200;

/** Forwards answers. */
export class AnswerForwarder {
  readonly #options: AnswerForwarderOptions;

  /** @param options - the way to resume */
  constructor(options: AnswerForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards an answer to its end. A caller never gets a clean end of a partial answer.
   *
   * @param job - the answer and where it goes
   * @returns what became of it
   */
  async forward(job: ForwardJob): Promise<ForwardOutcome> {
    const { res, dispatch, answer } = job;
    const lines =
      dispatch.isModel && dispatch.isIdempotent && answer.status === HTTP_OK
        ? new ModelLines()
        : undefined;
    let { attempt } = answer;
    for (;;) {
      const failure = await this.#pipe(job, attempt, lines);
      if (failure === undefined) return describe(attempt, lines);
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

  /** Pipes one attempt's answer. Returns why it broke off, or undefined at its end. */
  async #pipe(
    job: ForwardJob,
    attempt: OutgoingAttempt,
    lines: ModelLines | undefined,
  ): Promise<Failure | undefined> {
    const { res } = job;
    const stop = this.#watch(job.dispatch, attempt);
    try {
      for (;;) {
        const event = await attempt.next();
        if (event.kind === 'chunk') {
          const data = lines === undefined ? event.data : lines.push(event.data);
          if (data.length > 0) this.#sendHead(job);
          await write(res.raw, data);
          attempt.credit(event.data.length);
        } else if (event.kind === 'end') {
          this.#sendHead(job);
          res.raw.end(lines?.end());
          return undefined;
        } else if (event.kind === 'failed') {
          return event.failure;
        }
      }
    } finally {
      stop();
    }
  }

  // The head waits for the first bytes: until then a failure can still be answered with its code.
  #sendHead({ req, res, answer }: ForwardJob): void {
    if (res.raw.headersSent) return;
    res.hijack();
    writeHead(res.raw, req, answer, this.#options.isStopping());
  }

  // Ends the attempt at the deadline, or when the caller or its key is gone.
  #watch({ deadline, signal }: DispatchRequest, attempt: OutgoingAttempt): () => void {
    const end = (code: CodeName): void =>
      attempt.fail(createFailure(code, { run: 'may-have-run' }));
    const timer = setTimeout(() => end('deadline_exceeded'), this.#remaining(deadline));
    const onAbort = (): void => end('cancelled');
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
    lines: ModelLines | undefined,
  ): Promise<OutgoingAttempt | undefined> {
    if (dispatch.signal.aborted || !RESUMABLE.has(failure.code)) return undefined;
    const tokens = lines?.break()?.tokens;
    if (
      tokens === undefined ||
      !this.#options.dispatcher.tryRetry(dispatch.service, failure.code)
    ) {
      return undefined;
    }
    const answer = await this.#options.dispatcher.dispatch({
      ...dispatch,
      body: addResume(dispatch.body, tokens),
      exclude: new Set([broken.target]),
    });
    if (answer.isErr()) return undefined;
    if (answer.value.status === HTTP_OK) return answer.value.attempt;
    answer.value.attempt.cancel();
    return undefined;
  }

  #remaining(deadline: MonoTime): number {
    return Math.max(0, deadline - this.#options.clock.mono());
  }
}

function describe(attempt: OutgoingAttempt, lines: ModelLines | undefined): ForwardedAnswer {
  const { request } = attempt;
  const tokens = Math.max(attempt.tokens, lines?.tokenCount ?? 0);
  return { kind: 'whole', request, tokens, settle: (billed) => attempt.acknowledge(billed) };
}

function addResume(body: Buffer, tokens: readonly string[]): Buffer {
  const request = JSON.parse(body.toString('utf8')) as object;
  return Buffer.from(JSON.stringify({ ...request, resume: { tokens, from: tokens.length } }));
}

function writeHead(
  raw: FastifyReply['raw'],
  req: FastifyRequest,
  answer: OpenAnswer,
  isStopping: boolean,
): void {
  answer.headers.forEach((header) => raw.appendHeader(header.name, header.value));
  raw.setHeader('x-request-id', req.id);
  if (isStopping) raw.setHeader('connection', 'close');
  raw.writeHead(answer.status);
}

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
