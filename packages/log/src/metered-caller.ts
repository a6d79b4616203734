/** Counts the calls to the log by kind. */
import type { Clock, Failure, Metrics } from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';

import { type HttpAnswer, type HttpCall, HttpCaller, encodeBody } from './http-client';

/** What is counted, and where. */
export interface MeteredOptions {
  readonly caller: HttpCaller;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Names the kind of a call, such as `read.work`. */
  readonly describe: (call: HttpCall) => string;
}

/** Passes calls on, and counts them, their bytes, their failures and their times. */
export class MeteredCaller extends HttpCaller {
  readonly #options: MeteredOptions;

  /** @param options - the caller and the metrics */
  constructor(options: MeteredOptions) {
    super();
    this.#options = options;
  }

  override send(call: HttpCall): ResultAsync<HttpAnswer, Failure> {
    const { caller, clock, metrics, describe } = this.#options;
    const kind = describe(call);
    const startedAt = clock.mono();
    metrics.count(`log.calls.${kind}`);
    metrics.count(`log.sent_bytes.${kind}`, Buffer.byteLength(encodeBody(call.body).body ?? ''));
    return caller
      .send(call)
      .map((answer) => {
        metrics.count(`log.received_bytes.${kind}`, answer.body.byteLength);
        metrics.time(`log.${kind}`, clock.mono() - startedAt);
        return answer;
      })
      .mapErr((failure) => {
        // A long read that its reader gave up is no failure of the log.
        if (!call.signal?.aborted) metrics.count(`log.unanswered.${kind}`);
        return failure;
      });
  }
}
