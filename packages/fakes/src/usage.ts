/** The fake of the platform's service for usage reports. */
import { isDeepStrictEqual } from 'node:util';

import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import {
  CommonSettings,
  FakeService,
  type FakeServiceOptions,
  NO_COMMON_FAULTS,
} from './fake-service';

const UsageSettings = CommonSettings.extend({
  /** Whether reports with other figures or an older fencing number are refused with 409. */
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

/** An older fencing number, or other figures than in the first report of the window. */
type Violation = 'older-fencing' | 'other-figures';

/** Accepts reports and records which ones violate an invariant; those may be refused. */
export class FakeUsage extends FakeService<UsageSettings> {
  override readonly name = 'usage';

  /** The first accepted report of each window. */
  readonly #windows = new Map<string, Report>();

  #highestFencing = -1;

  /** @param options - the seed and the initial settings */
  constructor(options: FakeServiceOptions = {}) {
    const schema = UsageSettings.partial() as z.ZodType<Partial<UsageSettings>>;
    super(schema, { ...NO_COMMON_FAULTS, refuse: false }, options);
  }

  override registerRoutes(app: FastifyInstance): void {
    this.addFaultHook(app);
    app.put<{ Params: { window: string } }>('/v1/usage/windows/:window', (req, reply) =>
      this.#handleReport(req, reply),
    );
    app.get<{ Params: { window: string } }>('/v1/usage/windows/:window', async (req, reply) => {
      const report = this.#windows.get(req.params.window);
      return report ?? reply.code(404).send({ error: 'unknown window' });
    });
  }

  async #handleReport(req: FastifyRequest<{ Params: { window: string } }>, reply: FastifyReply) {
    const report = ReportBody.safeParse(req.body);
    if (!report.success) return reply.code(400).send({ error: report.error.message });
    const { window } = req.params;
    const violation = this.#findViolation(window, report.data);
    this.history.add({ op: 'report', window, ...report.data, ...(violation && { violation }) });
    this.#highestFencing = Math.max(this.#highestFencing, report.data.fencing);
    if (violation && this.settings.refuse) {
      this.respond(reply, 409, { violation, highest: this.#highestFencing });
      return reply;
    }
    if (!this.#windows.has(window)) this.#windows.set(window, report.data);
    this.respond(reply, 200, {});
    return reply;
  }

  #findViolation(window: string, report: Report): Violation | undefined {
    if (report.fencing < this.#highestFencing) return 'older-fencing';
    const first = this.#windows.get(window);
    if (!first || isDeepStrictEqual(first.figures, report.figures)) return undefined;
    return 'other-figures';
  }
}
