/** The fake of the platform's instance list. */
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';

import {
  CommonSettings,
  FakeService,
  type FakeServiceOptions,
  NO_COMMON_FAULTS,
  sleep,
} from './fake-service';

const InstancesSettings = CommonSettings.extend({
  /** The delay until the list shows a change, in milliseconds. */
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

/** Serves an instance list that shows each change after a delay. */
export class FakeInstances extends FakeService<InstancesSettings> {
  override readonly name = 'instances';

  readonly #visible = new Map<string, Instance>();

  /** @param options - the seed and the initial settings */
  constructor(options: FakeServiceOptions = {}) {
    const schema = InstancesSettings.partial() as z.ZodType<Partial<InstancesSettings>>;
    super(schema, { ...NO_COMMON_FAULTS, lagMs: 200 }, options);
  }

  override registerRoutes(app: FastifyInstance): void {
    this.addFaultHook(app);
    app.get('/v1/instances', async () => ({ instances: [...this.#visible.values()] }));
    app.post('/admin/instances', async (req) => {
      const instance = InstanceBody.parse(req.body);
      this.#changeInstance(instance.id, {
        ...instance,
        startedAt: instance.startedAt ?? Date.now(),
      });
      return {};
    });
    app.delete<{ Params: { id: string } }>('/admin/instances/:id', async (req) => {
      this.#changeInstance(req.params.id, undefined);
      return {};
    });
  }

  #changeInstance(id: string, instance: Instance | undefined): void {
    this.history.add({ op: instance ? 'register' : 'remove', id, ...instance });
    void this.#applyAfterLag(id, instance);
  }

  async #applyAfterLag(id: string, instance: Instance | undefined): Promise<void> {
    if (this.settings.lagMs > 0) await sleep(this.settings.lagMs);
    if (instance) this.#visible.set(id, instance);
    else this.#visible.delete(id);
  }
}
