/** Metrics of the requests to the log, by kind of request. */
import type { Clock, Failure, Metrics } from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';

import { type HttpResponse, type HttpRequest, HttpTransport, encodeBody } from './http-transport';

/** The transport that sends the requests, and the metrics that count them. */
export interface MeteredTransportOptions {
  readonly transport: HttpTransport;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Names the kind of a request, such as `read.work`; it becomes part of the metrics' names. */
  readonly describe: (req: HttpRequest) => string;
}

/** Passes requests on, and counts them, their bytes, their failures and their durations. */
export class MeteredTransport extends HttpTransport {
  readonly #options: MeteredTransportOptions;

  /** @param options - the transport and the metrics */
  constructor(options: MeteredTransportOptions) {
    super();
    this.#options = options;
  }

  override send(req: HttpRequest): ResultAsync<HttpResponse, Failure> {
    const { transport, clock, metrics, describe } = this.#options;
    const kind = describe(req);
    const startedAt = clock.mono();
    metrics.count(`log.calls.${kind}`);
    metrics.count(`log.sent_bytes.${kind}`, Buffer.byteLength(encodeBody(req.body).body ?? ''));
    return transport
      .send(req)
      .map((res) => {
        metrics.count(`log.received_bytes.${kind}`, res.body.byteLength);
        metrics.time(`log.${kind}`, clock.mono() - startedAt);
        return res;
      })
      .mapErr((failure) => {
        // A long poll that the reader cancelled is no failure of the log.
        if (!req.signal?.aborted) metrics.count(`log.unanswered.${kind}`);
        return failure;
      });
  }
}
