/** The base of all fake HTTP services: settings, history, outages and lost responses. */
import { RandomSource } from '@hibiscushill/base';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { History, type HistoryEntry } from './history';

/** The settings that every fake service has. Fractions are from 0 to 1. */
export const CommonSettings = z.object({
  /** Every call is refused with 503. */
  outage: z.boolean(),
  /** Calls are accepted and never get a response. */
  silent: z.boolean(),
  /** The delay before each call is handled, in milliseconds. */
  slowMs: z.number().min(0),
  /** The fraction of calls that take effect but get no response. */
  loseAnswers: z.number().min(0).max(1),
  /** Whether the history is kept. A long load run turns it off, since the history is bounded. */
  keepHistory: z.boolean(),
});

/** The settings that every fake service has. */
export type CommonSettings = z.infer<typeof CommonSettings>;

/** The common settings without any fault. */
export const NO_COMMON_FAULTS: CommonSettings = {
  outage: false,
  silent: false,
  slowMs: 0,
  loseAnswers: 0,
  keepHistory: true,
};

/** The seed of the random faults and the initial settings of a fake service. */
export interface FakeServiceOptions {
  /** Default: 1. */
  readonly seed?: number;
  /** The settings that differ from the defaults; unknown fields are ignored. */
  readonly settings?: unknown;
}

/** A fake of one HTTP service, with faults that can be changed while it runs. */
export abstract class FakeService<S extends CommonSettings> {
  /** The name of the service, which is part of the paths of its admin routes. */
  abstract readonly name: string;

  readonly history = new History();

  protected readonly random: RandomSource;

  readonly #schema: z.ZodType<Partial<S>>;

  #settings: S;

  /**
   * @param schema - validates settings; fields that it doesn't have are ignored
   * @param defaults - the default settings
   * @param options - the seed and the initial settings
   */
  constructor(schema: z.ZodType<Partial<S>>, defaults: S, options: FakeServiceOptions = {}) {
    this.random = new RandomSource(options.seed ?? 1);
    this.#schema = schema;
    this.#settings = { ...defaults, ...schema.parse(options.settings ?? {}) };
    this.history.isEnabled = this.#settings.keepHistory;
  }

  /** The current settings. */
  get settings(): S {
    return this.#settings;
  }

  /**
   * Changes some of the settings.
   *
   * @param settings - the settings to change; the others keep their values
   * @throws if a value is invalid
   */
  changeSettings(settings: unknown): void {
    this.#settings = { ...this.#settings, ...this.#schema.parse(settings) };
    this.history.isEnabled = this.#settings.keepHistory;
  }

  /**
   * Adds the routes of the service.
   *
   * @param app - a Fastify scope that no other service shares
   */
  abstract registerRoutes(app: FastifyInstance): void;

  /** Lists the history, including calls that are still in progress. */
  listHistory(): readonly HistoryEntry[] {
    return this.history.entries;
  }

  /** Stops background work. */
  stop(): void {}

  /** Applies the settings `outage`, `silent` and `slowMs` to the routes of a scope. */
  protected addFaultHook(app: FastifyInstance): void {
    app.addHook('preHandler', async (req: FastifyRequest, reply: FastifyReply) => {
      if (req.url.startsWith('/admin/')) return;
      const { slowMs } = this.settings;
      if (slowMs > 0) await sleep(slowMs);
      if (this.settings.silent) reply.hijack();
      else if (this.settings.outage) await sendOutage(reply);
    });
  }

  /**
   * Sends a response, or loses it as `loseAnswers` demands: half of the lost ones by resetting the
   * connection, half by sending nothing.
   */
  protected respond(reply: FastifyReply, status: number, body: unknown): void {
    if (this.random.fraction() >= this.settings.loseAnswers) {
      void reply.code(status).send(body);
      return;
    }
    reply.hijack();
    if (this.random.fraction() < 0.5) reply.raw.destroy();
  }
}

/**
 * Waits for a time.
 *
 * @param ms - the time in milliseconds
 */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Responds with 503, as in an outage. */
export async function sendOutage(reply: FastifyReply): Promise<void> {
  await reply.code(503).header('retry-after', '1').send({ error: 'outage' });
}
