/** Sends weight orders to agents over their links. */
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
import type { EntryFramePayload, WeightReport } from '@hibiscushill/protocol';
import {
  type SwapTarget,
  type WeightOrder,
  WeightOrderSender,
  type WeightState,
} from '@hibiscushill/rollout';
import { ResultAsync, err, ok } from 'neverthrow';

import type { AgentClient } from './agent-client';
import type { AgentPool } from './agent-pool';

const SWAP_TIMEOUT_MS: Millis = 20_000;
const QUERY_TIMEOUT_MS: Millis = 3_000;

/** Called with the report, or with undefined when none arrived in time. */
type ReportCallback = (report: WeightReport | undefined) => void;

/** The agents, and how a trainer's service is found. */
export interface LinkWeightOrderSenderOptions {
  readonly clock: Clock;
  readonly pool: AgentPool;
  readonly findService: (trainer: TrainerId) => ServiceId | undefined;
}

/** Sends weight orders and queries, and matches the agents' reports to them. */
export class LinkWeightOrderSender extends WeightOrderSender {
  readonly #options: LinkWeightOrderSenderOptions;

  readonly #waiters = new Map<string, ReportCallback>();

  /** @param options - the agents, and how a trainer's service is found */
  constructor(options: LinkWeightOrderSenderOptions) {
    super();
    this.#options = options;
  }

  /** Handles a report that an agent sent. */
  handleReport(report: WeightReport): void {
    this.#waiters.get(report.order)?.(report);
  }

  override listTargets(trainer: TrainerId): readonly SwapTarget[] {
    const service = this.#options.findService(trainer);
    if (service === undefined) return [];
    return this.#options.pool
      .listTargets(service)
      .filter((view) => view.ready && !view.leaving)
      .map((view) => {
        const version = view.weights?.get(trainer);
        return version === undefined ? { target: view.id } : { target: view.id, version };
      });
  }

  override swap(target: TargetId, order: WeightOrder): ResultAsync<WeightState, Failure> {
    const { fencing, trainer, version } = order;
    if (this.#findAgent(target, trainer)?.isLeaving) {
      return new ResultAsync(Promise.resolve(err(createFailure('target_leaving'))));
    }
    // A unique id, so that this call gets its own report even if an order is sent more than once.
    const attemptId = `${order.order}/${createId<RecordId>()}`;
    const value = { order: attemptId, fencing, trainer, version };
    return this.#sendAndWait(
      target,
      trainer,
      attemptId,
      { $case: 'weightOrder', value },
      SWAP_TIMEOUT_MS,
    );
  }

  override queryState(target: TargetId, trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const order = createId<RecordId>();
    const value = { order, trainer };
    return this.#sendAndWait(
      target,
      trainer,
      order,
      { $case: 'weightQuery', value },
      QUERY_TIMEOUT_MS,
    );
  }

  #findAgent(target: TargetId, trainer: TrainerId): AgentClient | undefined {
    const service = this.#options.findService(trainer);
    return service && this.#options.pool.findClient(service, target);
  }

  #sendAndWait(
    target: TargetId,
    trainer: TrainerId,
    order: string,
    frame: EntryFramePayload,
    timeoutMs: Millis,
  ): ResultAsync<WeightState, Failure> {
    if (!this.#findAgent(target, trainer)?.send(frame))
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
