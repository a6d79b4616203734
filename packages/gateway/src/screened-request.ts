/** A forwarded request, as it is checked against the requests that may crash targets. */
import type { ContentDigest, Millis, RecordId, ServiceId } from '@hibiscushill/base';
import type { RunPermit } from '@hibiscushill/routing';

import type { Attempt, AttemptEnd } from './attempt';
import { type RequestContent, createContentDigest, getContentShape } from './request-content';
import type { SuspectExchange } from './suspect-exchange';
import { getIncarnationKey } from './target-directory';

// A target that fails without having run the request responds with such a status as well.
const MIN_ERROR_STATUS = 500;

/**
 * Decides when the attempts of one request may start, and reports how they ended. The digest of the
 * request is computed only where a suspect has its shape, and when a connection breaks.
 */
export class ScreenedRequest {
  readonly #exchange: SuspectExchange;

  readonly #content: RequestContent;

  readonly #shape: string;

  #digest: ContentDigest | undefined;

  #trial: RecordId | undefined;

  /**
   * @param exchange - what all processes know of suspects
   * @param content - the request
   */
  constructor(exchange: SuspectExchange, content: RequestContent) {
    this.#exchange = exchange;
    this.#content = content;
    this.#shape = getContentShape(content);
  }

  /** The digest of the request. */
  get digest(): ContentDigest {
    this.#digest ??= createContentDigest(this.#content);
    return this.#digest;
  }

  /** Whether a connection broke while a target ran the request, and no target has answered it. */
  get isSuspect(): boolean {
    return this.#exchange.hasShape(this.#shape) && this.#exchange.isSuspect(this.digest);
  }

  /** How the next attempt may run. */
  get permit(): RunPermit {
    return this.isSuspect ? this.#exchange.decide(this.digest) : 'free';
  }

  /**
   * Claims to run the next attempt alone.
   *
   * @returns whether it may start
   */
  async claimTrial(service: ServiceId, maxMs: Millis): Promise<boolean> {
    this.#trial = await this.#exchange.claim(this.digest, service, maxMs);
    return this.#trial !== undefined;
  }

  /** Reports how an attempt ended, which also ends its trial. */
  recordEnd(attempt: Attempt, end: AttemptEnd): void {
    const isAnswered =
      end === 'answered' && (attempt.status ?? MIN_ERROR_STATUS) < MIN_ERROR_STATUS;
    if (end === 'broken') this.#publishBreak(attempt);
    else if (isAnswered && this.isSuspect) this.#publishAnswer();
    else this.endTrial();
  }

  /** Ends a trial whose attempt did not start, or told nothing. */
  endTrial(): void {
    const trial = this.#takeTrial();
    if (trial !== undefined) this.#exchange.publish({ type: 'trial-ended', trial });
  }

  #publishBreak({ call: { target } }: Attempt): void {
    const trial = this.#takeTrial();
    this.#exchange.publish({
      type: 'broken',
      content: this.digest,
      incarnation: getIncarnationKey(target),
      ...(trial !== undefined && { trial }),
    });
  }

  #publishAnswer(): void {
    const trial = this.#takeTrial();
    this.#exchange.publish({
      type: 'answered',
      content: this.digest,
      ...(trial !== undefined && { trial }),
    });
  }

  #takeTrial(): RecordId | undefined {
    const trial = this.#trial;
    this.#trial = undefined;
    return trial;
  }
}
