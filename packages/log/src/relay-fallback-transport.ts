/** Requests to the log that go through another process's relay while the direct route fails. */
import {
  type Clock,
  type Failure,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  createLogger,
} from '@hibiscushill/base';
import { type Result, ResultAsync } from 'neverthrow';

import {
  type HttpResponse,
  HttpTransport,
  type HttpRequest,
  createStatusFailure,
} from './http-transport';

// After a failure the direct route isn't tried for this time, which doubles with each failure.
const INITIAL_RELAY_PERIOD_MS = 1_000;
const MAX_RELAY_PERIOD_MS = 4_000;
// Limits the log lines while the route changes back and forth.
const MIN_LOG_INTERVAL_MS = 1_000;
const MAX_RELAY_ATTEMPTS = 4;

/** The direct route to the log and the relays. */
export interface RelayFallbackOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /** Sends requests to the log itself. */
  readonly direct: HttpTransport;
  /** Returns the transports to the other processes' relays. */
  readonly relays: () => readonly HttpTransport[];
}

/**
 * Sends each request directly to the log, or through a relay of another process while the log
 * doesn't respond to this one or refuses its requests. A request may be sent more than once, so it
 * has to be repeatable.
 */
export class RelayFallbackTransport extends HttpTransport {
  readonly #options: RelayFallbackOptions;

  readonly #logger = createLogger('log.detour');

  #relayUntil = -Infinity as MonoTime;

  #isRelaying = false;

  #loggedAt = -Infinity as MonoTime;

  #lastWorkingRelay: HttpTransport | undefined;

  #relayPeriodMs: Millis = INITIAL_RELAY_PERIOD_MS;

  /** @param options - the direct route, the relays, and the clock and random source */
  constructor(options: RelayFallbackOptions) {
    super();
    this.#options = options;
  }

  override send(req: HttpRequest): ResultAsync<HttpResponse, Failure> {
    return new ResultAsync(this.#send(req));
  }

  async #send(req: HttpRequest): Promise<Result<HttpResponse, Failure>> {
    const { clock, direct, relays } = this.#options;
    let result: Result<HttpResponse, Failure> | undefined;
    // A later refusal says nothing about an earlier attempt that brought no response.
    let unknown: Result<HttpResponse, Failure> | undefined;
    if (clock.mono() >= this.#relayUntil) {
      result = await direct.send(req);
      if (isAvailable(result) || req.signal?.aborted) {
        this.#recordRoute(false);
        return result;
      }
    }
    for (const relay of this.#chooseRelays(relays())) {
      const relayed = await relay.send(req);
      if (isAvailable(relayed)) {
        if (result) this.#extendRelayPeriod();
        this.#lastWorkingRelay = relay;
        this.#recordRoute(true);
        return relayed;
      }
      if (mayHaveRun(relayed)) unknown ??= relayed;
      if (req.signal?.aborted) return unknown ?? relayed;
    }
    if (result) return unknown ?? result;
    // No relay reaches the log either, so the direct route is tried again at once.
    this.#relayUntil = -Infinity as MonoTime;
    const last = await direct.send(req);
    return isAvailable(last) ? last : (unknown ?? last);
  }

  /** Whether the last successful request went through a relay. */
  get isRelaying(): boolean {
    return this.#isRelaying;
  }

  /**
   * Returns the relay that worked last, then others in random order: the log may refuse many of the
   * other processes as well.
   */
  #chooseRelays(relays: readonly HttpTransport[]): HttpTransport[] {
    const { random } = this.#options;
    const others = relays
      .filter((relay) => relay !== this.#lastWorkingRelay)
      .map((relay) => ({ relay, order: random.fraction() }))
      .sort((a, b) => a.order - b.order)
      .map(({ relay }) => relay);
    const first =
      this.#lastWorkingRelay && relays.includes(this.#lastWorkingRelay)
        ? [this.#lastWorkingRelay]
        : [];
    return [...first, ...others].slice(0, MAX_RELAY_ATTEMPTS);
  }

  #extendRelayPeriod(): void {
    this.#relayUntil = (this.#options.clock.mono() + this.#relayPeriodMs) as MonoTime;
    this.#relayPeriodMs = Math.min(MAX_RELAY_PERIOD_MS, this.#relayPeriodMs * 2);
  }

  #recordRoute(isRelayed: boolean): void {
    if (!isRelayed) this.#relayPeriodMs = INITIAL_RELAY_PERIOD_MS;
    if (isRelayed) this.#options.metrics.count('log.detour');
    const now = this.#options.clock.mono();
    const isLogged = isRelayed !== this.#isRelaying && now - this.#loggedAt > MIN_LOG_INTERVAL_MS;
    this.#isRelaying = isRelayed;
    if (!isLogged) return;
    this.#loggedAt = now;
    this.#logger.info(isRelayed ? 'Reaches the log through a relay.' : 'Reaches the log directly.');
  }
}

/** Tells whether a request without a response may have been executed. */
function mayHaveRun(result: Result<HttpResponse, Failure>): boolean {
  return result.isErr() && result.error.run === 'may-have-run';
}

/** Tells whether the log responded, with anything but 429 or 503. */
function isAvailable(result: Result<HttpResponse, Failure>): boolean {
  return result.isOk() && createStatusFailure(result.value).code !== 'platform_down';
}
