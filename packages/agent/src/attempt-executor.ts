/** Runs attempts at the target, and stores their responses. */
import {
  type CodeName,
  type Clock,
  type Failure,
  HOP_BY_HOP_HEADERS,
  type Millis,
  RESULT_CODES,
} from '@hibiscushill/base';
import type { Header, Segment } from '@hibiscushill/protocol';
import { SegmentCollector, readResumeFrom } from '@hibiscushill/rollout';
import type { Dispatcher } from 'undici';
import xxhash, { type XXHashAPI } from 'xxhash-wasm';

import type { Attempt } from './attempt';
import type { TargetClient } from './target-client';

/** The clock and the target's client. */
export interface AttemptExecutorOptions {
  readonly clock: Clock;
  readonly target: TargetClient;
}

/** How an attempt ended; the code 0 means a complete response. */
interface AttemptOutcome {
  readonly digest: string;
  readonly tokens: number;
  readonly segments: Segment[];
  readonly code: number;
  readonly detail: string;
}

const HEX_RADIX = 16;
const RETRY_AFTER_MS: Millis = 250;

const HOP_BY_HOP = new Set(HOP_BY_HOP_HEADERS);

/** Runs attempts at the target. */
export class AttemptExecutor {
  readonly #clock: Clock;

  readonly #target: TargetClient;

  readonly #hash: XXHashAPI;

  private constructor(options: AttemptExecutorOptions, hash: XXHashAPI) {
    this.#clock = options.clock;
    this.#target = options.target;
    this.#hash = hash;
  }

  /**
   * Creates an executor.
   *
   * @param options - the target's client
   * @returns the executor, once its hash function is loaded
   */
  static async create(options: AttemptExecutorOptions): Promise<AttemptExecutor> {
    return new AttemptExecutor(options, await xxhash());
  }

  /**
   * Runs an attempt to its end. If nothing could be sent to the target, the attempt is refused.
   *
   * @param attempt - the attempt, in the state `running`
   */
  async run(attempt: Attempt): Promise<void> {
    const timer = setTimeout(
      () => attempt.abort(),
      Math.max(0, attempt.deadline - this.#clock.mono()),
    );
    try {
      const response = await this.#send(attempt);
      if (response.isErr()) this.#endWithFailure(attempt, response.error);
      else attempt.finish(await this.#receive(attempt, response.value));
    } finally {
      clearTimeout(timer);
    }
  }

  #send(attempt: Attempt) {
    const { run } = attempt;
    const { body } = attempt;
    if (run.model) attempt.setResumeFrom(readResumeFrom(body));
    attempt.dropBody();
    return this.#target.send({
      method: run.method,
      path: run.path,
      headers: run.headers,
      body: body.length > 0 ? body : undefined,
      isIdempotent: run.idempotent,
      signal: attempt.signal,
    });
  }

  #endWithFailure(attempt: Attempt, failure: Failure): void {
    if (failure.code === 'target_down') {
      const { code } = RESULT_CODES.target_down;
      attempt.refuse({ code, retryAfterMs: RETRY_AFTER_MS, detail: failure.detail });
      return;
    }
    const name = this.#resolveCode(attempt, failure.code);
    attempt.finish(this.#createOutcome(name, { detail: failure.detail }));
  }

  async #receive(attempt: Attempt, response: Dispatcher.ResponseData): Promise<AttemptOutcome> {
    attempt.addHead(response.statusCode, toHeaders(response.headers));
    const hash = this.#hash.create64();
    const collector = attempt.run.model
      ? new SegmentCollector({ firstTokenIndex: attempt.resumeFrom })
      : undefined;
    try {
      for await (const chunk of response.body as AsyncIterable<Buffer>) {
        await attempt.waitForCredit();
        attempt.addChunk(chunk);
        hash.update(chunk);
        collector?.push(chunk);
      }
    } catch (reason) {
      const name = this.#resolveCode(attempt, 'answer_broken');
      return this.#createOutcome(name, { detail: String(reason), collector });
    }
    if (attempt.signal.aborted) {
      return this.#createOutcome(this.#resolveCode(attempt, 'cancelled'), { collector });
    }
    const digest = hash.digest().toString(HEX_RADIX);
    return { ...this.#createOutcome(undefined, { collector }), digest };
  }

  // Any error after the deadline is reported as `deadline_exceeded`, and any error after a
  // cancellation as `cancelled`.
  #resolveCode(attempt: Attempt, otherwise: CodeName): CodeName {
    if (this.#clock.mono() >= attempt.deadline) return 'deadline_exceeded';
    return attempt.signal.aborted ? 'cancelled' : otherwise;
  }

  #createOutcome(
    name: CodeName | undefined,
    options: { detail?: string; collector?: SegmentCollector | undefined },
  ): AttemptOutcome {
    const received = options.collector?.received;
    return {
      digest: '',
      tokens: received?.tokens.length ?? 0,
      segments: [...(received?.segments ?? [])],
      code: name === undefined ? 0 : RESULT_CODES[name].code,
      detail: options.detail ?? '',
    };
  }
}

function toHeaders(headers: Record<string, string | string[] | undefined>): Header[] {
  return Object.entries(headers)
    .filter(([name]) => !HOP_BY_HOP.has(name))
    .flatMap(([name, value]) => [value ?? []].flat().map((text) => ({ name, value: text })));
}
