/** Weight orders over the links. */
import {
  type Clock,
  type Failure,
  type Millis,
  type RecordId,
  type ServiceId,
  type TargetId,
  type TrainerId,
  type WeightVersion,
  createFailure,
  createId,
  findCodeName,
} from '@hibiscushill/base';
import type { ToAgent, WeightReport } from '@hibiscushill/protocol';
import {
  type SwapTarget,
  type WeightOrder,
  WeightOrders,
  type WeightState,
} from '@hibiscushill/rollout';
import { ResultAsync, err, ok } from 'neverthrow';

import type { AgentPool } from './agent-pool';

const SWAP_TIMEOUT_MS: Millis = 20_000;
const QUERY_TIMEOUT_MS: Millis = 3_000;

type Waiter = (report: WeightReport | undefined) => void;

/** What the orders need. */
export interface LinkWeightOrdersOptions {
  readonly clock: Clock;
  readonly pool: AgentPool;
  readonly serviceOf: (trainer: TrainerId) => ServiceId | undefined;
}

/** Sends weight orders and matches the reports. */
export class LinkWeightOrders extends WeightOrders {
  readonly #options: LinkWeightOrdersOptions;

  readonly #waiters = new Map<string, Waiter>();

  /** @param options - the way to the agents */
  constructor(options: LinkWeightOrdersOptions) {
    super();
    this.#options = options;
  }

  /** Takes an agent's report. */
  take(report: WeightReport): void {
    this.#waiters.get(report.order)?.(report);
  }

  override targets(trainer: TrainerId): readonly SwapTarget[] {
    const service = this.#options.serviceOf(trainer);
    if (service === undefined) return [];
    return this.#options.pool
      .targets(service)
      .filter((view) => view.ready && !view.leaving)
      .map((view) => {
        const version = view.weights?.get(trainer);
        return version === undefined ? { target: view.id } : { target: view.id, version };
      });
  }

  override swap(target: TargetId, order: WeightOrder): ResultAsync<WeightState, Failure> {
    const { fencing, trainer, version } = order;
    // The swapper repeats an order under its id, and each try waits for its own report.
    const name = `${order.order}/${createId<RecordId>()}`;
    const value = { order: name, fencing, trainer, version };
    return this.#ask(target, trainer, name, { $case: 'weightOrder', value }, SWAP_TIMEOUT_MS);
  }

  override query(target: TargetId, trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const order = createId<RecordId>();
    const value = { order, trainer };
    return this.#ask(target, trainer, order, { $case: 'weightQuery', value }, QUERY_TIMEOUT_MS);
  }

  #ask(
    target: TargetId,
    trainer: TrainerId,
    order: string,
    frame: ToAgent,
    timeoutMs: Millis,
  ): ResultAsync<WeightState, Failure> {
    const service = this.#options.serviceOf(trainer);
    const peer = service && this.#options.pool.find(service, target);
    if (!peer?.send(frame))
      return new ResultAsync(Promise.resolve(err(createFailure('target_down'))));
    const report = new Promise<WeightReport | undefined>((resolve) => {
      const timer = setTimeout(() => this.#waiters.get(order)?.(undefined), timeoutMs);
      this.#waiters.set(order, (received) => {
        clearTimeout(timer);
        this.#waiters.delete(order);
        resolve(received);
      });
    });
    return ResultAsync.fromSafePromise(report).andThen((received) => {
      if (received === undefined) {
        return err(createFailure('outcome_unknown', { run: 'may-have-run' }));
      }
      const { code, detail, highestFencing, loading } = received;
      if (code !== 0) return err(createFailure(findCodeName(code) ?? 'internal', { detail }));
      return ok({ version: received.version as WeightVersion, highestFencing, loading });
    });
  }
}
