/** The stand-in for the platform's weight store. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { CommonSettings, NO_COMMON_FAULTS, StandIn, type StandInOptions, sleep } from './stand-in';

const SECOND_MS = 1_000;

const WeightsSettings = CommonSettings.extend({
  /** The size of each version, in bytes. */
  sizeBytes: z.number().int().min(64),
  /** How long one transfer takes, in milliseconds. */
  transferMs: z.number().min(0),
  /** Fetches a second beyond which the store answers 429; zero for no bound. */
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

/** Serves any version of any trainer, at a bounded rate. */
export class FakeWeights extends StandIn<WeightsSettings> {
  override readonly name = 'weights';

  #tokens = 0;

  #tokensAt = Date.now();

  /** @param options - the seed and the settings to begin with */
  constructor(options: StandInOptions = {}) {
    super(WeightsSettings.partial(), DEFAULTS, options);
    this.#tokens = this.settings.fetchesPerSecond;
  }

  override register(app: FastifyInstance): void {
    this.guard(app);
    app.get<{ Params: WeightParams }>('/v1/weights/:trainer/:version', (req, reply) =>
      this.#serve(req, reply),
    );
  }

  async #serve(req: FastifyRequest<{ Params: WeightParams }>, reply: FastifyReply) {
    const { trainer, version } = req.params;
    const isAllowed = this.#takeToken();
    this.history.add({ op: 'fetch', trainer, version: Number(version), isAllowed });
    if (!isAllowed) return reply.code(429).header('retry-after', '1').send({ error: 'rate' });
    await sleep(this.settings.transferMs);
    this.answer(reply, 200, createWeights(trainer, Number(version), this.settings.sizeBytes));
    return reply;
  }

  #takeToken(): boolean {
    const rate = this.settings.fetchesPerSecond;
    if (rate === 0) return true;
    const now = Date.now();
    this.#tokens = Math.min(
      Math.max(rate, 1),
      this.#tokens + ((now - this.#tokensAt) * rate) / SECOND_MS,
    );
    this.#tokensAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/**
 * Makes the weights of a version: a line of JSON that names it, and padding.
 *
 * @param trainer - the trainer
 * @param version - the weight version
 * @param size - the size in bytes
 * @returns the weights
 */
export function createWeights(trainer: string, version: number, size: number): Buffer {
  const weights = Buffer.alloc(size, '.');
  weights.write(`${JSON.stringify({ trainer, version })}\n`);
  return weights;
}
