/** The part that all stand-ins share: settings, history, and answers that get lost. */
import { RandomSource } from '@hibiscushill/base';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { History, type HistoryEntry } from './history';

/** Faults that every HTTP stand-in has. Shares are from 0 to 1. */
export const CommonSettings = z.object({
  /** Every call is answered with 503. */
  outage: z.boolean(),
  /** Calls are taken and never answered. */
  silent: z.boolean(),
  /** How long each call takes, in milliseconds. */
  slowMs: z.number().min(0),
  /** The share of calls that take effect and get no answer. */
  loseAnswers: z.number().min(0).max(1),
  /** Whether the history is kept; a long load run does without. */
  keepHistory: z.boolean(),
});

/** Faults that every HTTP stand-in has. */
export type CommonSettings = z.infer<typeof CommonSettings>;

/** The values without any fault. */
export const NO_COMMON_FAULTS: CommonSettings = {
  outage: false,
  silent: false,
  slowMs: 0,
  loseAnswers: 0,
  keepHistory: true,
};

/** What a stand-in needs to begin. */
export interface StandInOptions {
  readonly seed?: number;
  /** Some settings to begin with; the others have their defaults. */
  readonly settings?: unknown;
}

/** One service that stands in for a real one. */
export abstract class StandIn<S extends CommonSettings> {
  /** The role's name, which prefixes its admin routes. */
  abstract readonly name: string;

  readonly history = new History();

  protected readonly random: RandomSource;

  readonly #schema: z.ZodType<Partial<S>>;

  #settings: S;

  /**
   * @param schema - what may be set; fields that it doesn't have are passed over
   * @param defaults - the settings when nothing is set
   * @param options - the seed and the settings to begin with
   */
  constructor(schema: z.ZodType<Partial<S>>, defaults: S, options: StandInOptions = {}) {
    this.random = new RandomSource(options.seed ?? 1);
    this.#schema = schema;
    this.#settings = { ...defaults, ...schema.parse(options.settings ?? {}) };
    this.history.isKept = this.#settings.keepHistory;
  }

  /** The settings in force. */
  get settings(): S {
    return this.#settings;
  }

  /**
   * Changes some settings.
   *
   * @param settings - the settings to change; the others stay
   */
  change(settings: unknown): void {
    this.#settings = { ...this.#settings, ...this.#schema.parse(settings) };
    this.history.isKept = this.#settings.keepHistory;
  }

  /**
   * Adds the service's routes.
   *
   * @param app - a scope of its own
   */
  abstract register(app: FastifyInstance): void;

  /** What was seen, with what is still going on. */
  report(): readonly HistoryEntry[] {
    return this.history.entries;
  }

  /** Stops what runs by itself. */
  stop(): void {}

  /** Applies outage, silence and slowness to the routes that a scope has. */
  protected guard(app: FastifyInstance): void {
    app.addHook('preHandler', async (req: FastifyRequest, reply: FastifyReply) => {
      if (req.url.startsWith('/admin/')) return;
      const { slowMs } = this.settings;
      if (slowMs > 0) await sleep(slowMs);
      if (this.settings.silent) reply.hijack();
      else if (this.settings.outage) await refuse(reply);
    });
  }

  /** Sends an answer, or loses it: half by a cut connection, half by silence. */
  protected answer(reply: FastifyReply, status: number, body: unknown): void {
    if (this.random.fraction() >= this.settings.loseAnswers) {
      void reply.code(status).send(body);
      return;
    }
    reply.hijack();
    if (this.random.fraction() < 0.5) reply.raw.destroy();
  }
}

/**
 * Waits.
 *
 * @param ms - how long, in milliseconds
 */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Answers 503, as in an outage. */
export async function refuse(reply: FastifyReply): Promise<void> {
  await reply.code(503).header('retry-after', '1').send({ error: 'outage' });
}
