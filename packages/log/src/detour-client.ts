/** Calls to the log that go through a peer while the direct way fails. */
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

import { type HttpAnswer, HttpCaller, type HttpCall, classifyRefusal } from './http-client';

// How long the direct way isn't tried after it failed; longer each time that it fails again.
const FIRST_DETOUR_MS = 1_000;
const MOST_DETOUR_MS = 4_000;
// A way that changes more often is told of once in this time.
const NOTE_MS = 1_000;
// Peers that are tried for one call.
const PEER_TRIES = 4;

/** The ways to the log. */
export interface DetourOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly direct: HttpCaller;
  /** The peers that may reach the log. */
  readonly peers: () => readonly HttpCaller[];
}

/**
 * Sends each call straight to the log, or through a peer while the log turns this process away.
 * Only for calls that may be sent twice.
 */
export class DetourClient extends HttpCaller {
  readonly #options: DetourOptions;

  readonly #logger = createLogger('log.detour');

  #detourUntil = -Infinity as MonoTime;

  #isDetour = false;

  #notedAt = -Infinity as MonoTime;

  #lastGood: HttpCaller | undefined;

  #detourMs: Millis = FIRST_DETOUR_MS;

  /** @param options - the ways to the log */
  constructor(options: DetourOptions) {
    super();
    this.#options = options;
  }

  override send(call: HttpCall): ResultAsync<HttpAnswer, Failure> {
    return new ResultAsync(this.#send(call));
  }

  async #send(call: HttpCall): Promise<Result<HttpAnswer, Failure>> {
    const { clock, direct, peers } = this.#options;
    let result: Result<HttpAnswer, Failure> | undefined;
    if (clock.mono() >= this.#detourUntil) {
      result = await direct.send(call);
      if (isAnswered(result) || call.signal?.aborted) {
        this.#note(false);
        return result;
      }
    }
    for (const peer of this.#pickPeers(peers())) {
      const relayed = await peer.send(call);
      if (isAnswered(relayed)) {
        if (result) this.#startDetour();
        this.#lastGood = peer;
        this.#note(true);
        return relayed;
      }
      if (call.signal?.aborted) return relayed;
    }
    if (result) return result;
    // No peer reaches the log either: the direct way is tried again at once.
    this.#detourUntil = -Infinity as MonoTime;
    return direct.send(call);
  }

  /** Whether the last call went through a peer. */
  get isDetour(): boolean {
    return this.#isDetour;
  }

  /** The peer that helped last, then others at random, since many may be turned away as well. */
  #pickPeers(peers: readonly HttpCaller[]): HttpCaller[] {
    const { random } = this.#options;
    const others = peers
      .filter((peer) => peer !== this.#lastGood)
      .map((peer) => ({ peer, order: random.fraction() }))
      .sort((a, b) => a.order - b.order)
      .map(({ peer }) => peer);
    const first = this.#lastGood && peers.includes(this.#lastGood) ? [this.#lastGood] : [];
    return [...first, ...others].slice(0, PEER_TRIES);
  }

  #startDetour(): void {
    this.#detourUntil = (this.#options.clock.mono() + this.#detourMs) as MonoTime;
    this.#detourMs = Math.min(MOST_DETOUR_MS, this.#detourMs * 2);
  }

  #note(isDetour: boolean): void {
    if (!isDetour) this.#detourMs = FIRST_DETOUR_MS;
    if (isDetour) this.#options.metrics.count('log.detour');
    const now = this.#options.clock.mono();
    const isNews = isDetour !== this.#isDetour && now - this.#notedAt > NOTE_MS;
    this.#isDetour = isDetour;
    if (!isNews) return;
    this.#notedAt = now;
    this.#logger.info(isDetour ? 'Reaches the log through a peer.' : 'Reaches the log directly.');
  }
}

function isAnswered(result: Result<HttpAnswer, Failure>): boolean {
  return result.isOk() && classifyRefusal(result.value).code !== 'platform_down';
}
