/** The fake of the platform's weight store. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import {
  CommonSettings,
  FakeService,
  type FakeServiceOptions,
  NO_COMMON_FAULTS,
  sleep,
} from './fake-service';

const SECOND_MS = 1_000;

const WeightsSettings = CommonSettings.extend({
  /** The size of each version, in bytes. */
  sizeBytes: z.number().int().min(64),
  /** The duration of one fetch, in milliseconds. */
  transferMs: z.number().min(0),
  /** The rate limit in fetches per second; further ones get 429. Zero for no limit. */
  fetchesPerSecond: z.number().min(0),
});

type WeightsSettings = z.infer<typeof WeightsSettings>;

const DEFAULTS: WeightsSettings = {
  ...NO_COMMON_FAULTS,
  sizeBytes: 65_536,
  transferMs: 50,
  fetchesPerSecond: 10,
};

interface WeightParams {
  trainer: string;
  version: string;
}

/** Serves any weight version of any trainer at a limited rate. */
export class FakeWeights extends FakeService<WeightsSettings> {
  override readonly name = 'weights';

  /** The token bucket of the rate limit, as of `#refilledAtMs`. */
  #fetchTokens = 0;

  #refilledAtMs = Date.now();

  /** @param options - the seed and the initial settings */
  constructor(options: FakeServiceOptions = {}) {
    super(WeightsSettings.partial(), DEFAULTS, options);
    this.#fetchTokens = this.settings.fetchesPerSecond;
  }

  override registerRoutes(app: FastifyInstance): void {
    this.addFaultHook(app);
    app.get<{ Params: WeightParams }>('/v1/weights/:trainer/:version', (req, reply) =>
      this.#handleFetch(req, reply),
    );
  }

  async #handleFetch(req: FastifyRequest<{ Params: WeightParams }>, reply: FastifyReply) {
    const { trainer, version } = req.params;
    const isAllowed = this.#takeFetchToken();
    this.history.add({ op: 'fetch', trainer, version: Number(version), isAllowed });
    if (!isAllowed) return reply.code(429).header('retry-after', '1').send({ error: 'rate' });
    await sleep(this.settings.transferMs);
    this.respond(reply, 200, createWeights(trainer, Number(version), this.settings.sizeBytes));
    return reply;
  }

  #takeFetchToken(): boolean {
    const rate = this.settings.fetchesPerSecond;
    if (rate === 0) return true;
    const now = Date.now();
    this.#fetchTokens = Math.min(
      Math.max(rate, 1),
      this.#fetchTokens + ((now - this.#refilledAtMs) * rate) / SECOND_MS,
    );
    this.#refilledAtMs = now;
    if (this.#fetchTokens < 1) return false;
    this.#fetchTokens -= 1;
    return true;
  }
}

/**
 * Creates the weights of a version: a line of JSON with trainer and version, then padding.
 *
 * @param trainer - the name of the trainer
 * @param version - the weight version
 * @param sizeBytes - the size of the weights in bytes
 * @returns the weights
 */
export function createWeights(trainer: string, version: number, sizeBytes: number): Buffer {
  const weights = Buffer.alloc(sizeBytes, '.');
  weights.write(`${JSON.stringify({ trainer, version })}\n`);
  return weights;
}
