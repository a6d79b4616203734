/** The stand-in for the platform's instance list. */
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';

import { CommonSettings, NO_COMMON_FAULTS, StandIn, type StandInOptions, sleep } from './stand-in';

const InstancesSettings = CommonSettings.extend({
  /** How long a change takes until the list shows it, in milliseconds. */
  lagMs: z.number().min(0),
});

type InstancesSettings = z.infer<typeof InstancesSettings>;

const InstanceBody = z.object({
  id: z.string().min(1),
  role: z.enum(['entry', 'agent']),
  zone: z.string(),
  address: z.string(),
  service: z.string().optional(),
  target: z.string().optional(),
  state: z.enum(['live', 'leaving']).default('live'),
  startedAt: z.number().optional(),
});

type Instance = z.infer<typeof InstanceBody>;

/** A list that shows each change late. */
export class FakeInstances extends StandIn<InstancesSettings> {
  override readonly name = 'instances';

  readonly #visible = new Map<string, Instance>();

  /** @param options - the seed and the settings to begin with */
  constructor(options: StandInOptions = {}) {
    const schema = InstancesSettings.partial() as z.ZodType<Partial<InstancesSettings>>;
    super(schema, { ...NO_COMMON_FAULTS, lagMs: 200 }, options);
  }

  override register(app: FastifyInstance): void {
    this.guard(app);
    app.get('/v1/instances', async () => ({ instances: [...this.#visible.values()] }));
    app.post('/admin/instances', async (req) => {
      const instance = InstanceBody.parse(req.body);
      this.#show(instance.id, { ...instance, startedAt: instance.startedAt ?? Date.now() });
      return {};
    });
    app.delete<{ Params: { id: string } }>('/admin/instances/:id', async (req) => {
      this.#show(req.params.id, undefined);
      return {};
    });
  }

  #show(id: string, instance: Instance | undefined): void {
    this.history.add({ op: instance ? 'register' : 'remove', id, ...instance });
    void this.#apply(id, instance);
  }

  async #apply(id: string, instance: Instance | undefined): Promise<void> {
    if (this.settings.lagMs > 0) await sleep(this.settings.lagMs);
    if (instance) this.#visible.set(id, instance);
    else this.#visible.delete(id);
  }
}
