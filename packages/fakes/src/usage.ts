/** The stand-in for the platform's usage reports. */
import { isDeepStrictEqual } from 'node:util';

import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { CommonSettings, NO_COMMON_FAULTS, StandIn, type StandInOptions } from './stand-in';

const UsageSettings = CommonSettings.extend({
  /** Whether other figures or an older fencing number are answered with 409. */
  refuse: z.boolean(),
});

type UsageSettings = z.infer<typeof UsageSettings>;

const ReportBody = z.object({
  reportId: z.string(),
  fencing: z.number().int(),
  figures: z.array(
    z.object({
      team: z.string(),
      service: z.string(),
      requests: z.number(),
      tokens: z.number(),
    }),
  ),
});

type Report = z.infer<typeof ReportBody>;

type Violation = 'older-fencing' | 'other-figures';

/** Takes every report and records which ones break a promise. */
export class FakeUsage extends StandIn<UsageSettings> {
  override readonly name = 'usage';

  readonly #windows = new Map<string, Report>();

  #highest = -1;

  /** @param options - the seed and the settings to begin with */
  constructor(options: StandInOptions = {}) {
    const schema = UsageSettings.partial() as z.ZodType<Partial<UsageSettings>>;
    super(schema, { ...NO_COMMON_FAULTS, refuse: false }, options);
  }

  override register(app: FastifyInstance): void {
    this.guard(app);
    app.put<{ Params: { window: string } }>('/v1/usage/windows/:window', (req, reply) =>
      this.#take(req, reply),
    );
    app.get<{ Params: { window: string } }>('/v1/usage/windows/:window', async (req, reply) => {
      const report = this.#windows.get(req.params.window);
      return report ?? reply.code(404).send({ error: 'unknown window' });
    });
  }

  async #take(req: FastifyRequest<{ Params: { window: string } }>, reply: FastifyReply) {
    const report = ReportBody.safeParse(req.body);
    if (!report.success) return reply.code(400).send({ error: report.error.message });
    const { window } = req.params;
    const violation = this.#judge(window, report.data);
    this.history.add({ op: 'report', window, ...report.data, ...(violation && { violation }) });
    this.#highest = Math.max(this.#highest, report.data.fencing);
    if (violation && this.settings.refuse) {
      this.answer(reply, 409, { violation, highest: this.#highest });
      return reply;
    }
    if (!this.#windows.has(window)) this.#windows.set(window, report.data);
    this.answer(reply, 200, {});
    return reply;
  }

  #judge(window: string, report: Report): Violation | undefined {
    if (report.fencing < this.#highest) return 'older-fencing';
    const first = this.#windows.get(window);
    if (!first || isDeepStrictEqual(first.figures, report.figures)) return undefined;
    return 'other-figures';
  }
}
