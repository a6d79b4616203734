/** Runs one attempt against the target and stores its answer. */
import {
  type CodeName,
  type Clock,
  type Failure,
  type Millis,
  RESULT_CODES,
} from '@hibiscushill/base';
import type { Header, Segment } from '@hibiscushill/protocol';
import { SegmentCollector, readResumeFrom } from '@hibiscushill/rollout';
import type { Dispatcher } from 'undici';
import xxhash, { type XXHashAPI } from 'xxhash-wasm';

import type { Attempt } from './attempt';
import type { TargetClient } from './target-client';

/** What an executor needs. */
export interface ExecutorOptions {
  readonly clock: Clock;
  readonly target: TargetClient;
}

interface Outcome {
  readonly digest: string;
  readonly tokens: number;
  readonly segments: Segment[];
  readonly code: number;
  readonly detail: string;
}

const HEX = 16;
const RETRY_AFTER_MS: Millis = 250;

// Headers that belong to one connection and are never passed on.
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Runs attempts. */
export class Executor {
  readonly #clock: Clock;

  readonly #target: TargetClient;

  readonly #hash: XXHashAPI;

  private constructor(options: ExecutorOptions, hash: XXHashAPI) {
    this.#clock = options.clock;
    this.#target = options.target;
    this.#hash = hash;
  }

  /**
   * Makes an executor.
   *
   * @param options - the target's client
   * @returns the executor, once its hash function is loaded
   */
  static async create(options: ExecutorOptions): Promise<Executor> {
    return new Executor(options, await xxhash());
  }

  /**
   * Runs an attempt to its end. The attempt gets a refusal when nothing was sent to the target.
   *
   * @param attempt - the attempt, in the state `running`
   */
  async run(attempt: Attempt): Promise<void> {
    const timer = setTimeout(
      () => attempt.cancel(),
      Math.max(0, attempt.deadline - this.#clock.mono()),
    );
    try {
      const answer = await this.#send(attempt);
      if (answer.isErr()) this.#fail(attempt, answer.error);
      else attempt.finish(await this.#receive(attempt, answer.value));
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
      idempotent: run.idempotent,
      signal: attempt.signal,
    });
  }

  #fail(attempt: Attempt, failure: Failure): void {
    if (failure.code === 'target_down') {
      const { code } = RESULT_CODES.target_down;
      attempt.refuse({ code, retryAfterMs: RETRY_AFTER_MS, detail: failure.detail });
      return;
    }
    const name = this.#codeFor(attempt, failure.code);
    attempt.finish(this.#createOutcome(name, { detail: failure.detail }));
  }

  async #receive(attempt: Attempt, answer: Dispatcher.ResponseData): Promise<Outcome> {
    attempt.addHead(answer.statusCode, toHeaders(answer.headers));
    const hash = this.#hash.create64();
    const collector = attempt.run.model
      ? new SegmentCollector({ from: attempt.resumeFrom })
      : undefined;
    try {
      for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        await attempt.waitForRoom();
        attempt.addChunk(chunk);
        hash.update(chunk);
        collector?.push(chunk);
      }
    } catch (reason) {
      const name = this.#codeFor(attempt, 'answer_broken');
      return this.#createOutcome(name, { detail: String(reason), collector });
    }
    if (attempt.signal.aborted) {
      return this.#createOutcome(this.#codeFor(attempt, 'cancelled'), { collector });
    }
    const digest = hash.digest().toString(HEX);
    return { ...this.#createOutcome(undefined, { collector }), digest };
  }

  #codeFor(attempt: Attempt, otherwise: CodeName): CodeName {
    if (this.#clock.mono() >= attempt.deadline) return 'deadline_exceeded';
    return attempt.signal.aborted ? 'cancelled' : otherwise;
  }

  #createOutcome(
    name: CodeName | undefined,
    options: { detail?: string; collector?: SegmentCollector | undefined },
  ): Outcome {
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
