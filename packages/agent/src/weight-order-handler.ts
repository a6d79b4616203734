/** Handles weight orders and queries that arrive over links. */
import {
  type Clock,
  type Failure,
  type FencingNumber,
  RESULT_CODES,
  type Millis,
  type RecordId,
  type TrainerId,
  type WeightVersion,
} from '@hibiscushill/base';
import type { LinkSession, Load, WeightOrder, WeightQuery } from '@hibiscushill/protocol';
import type { WeightLoader, WeightState } from '@hibiscushill/rollout';
import type { Result } from 'neverthrow';

// Reported when the engine's highest fencing number is not known.
const UNKNOWN_FENCING = -1;
const REFRESH_INTERVAL_MS: Millis = 2000;

/** The order or query that a report belongs to. */
interface ReportSubject {
  readonly order: string;
  readonly trainer: string;
}

/** Carries out weight orders through the loader, and reports the results to the entries. */
export class WeightOrderHandler {
  readonly #loader: WeightLoader | undefined;

  /** @param loader - loads weights into the engine; undefined for a target that isn't an engine */
  constructor(loader: WeightLoader | undefined) {
    this.#loader = loader;
  }

  /** The weight version that the engine serves, by trainer. */
  get versions(): Load['weights'] {
    return this.#loader?.servedVersions ?? [];
  }

  /**
   * Queries the engine periodically for its versions, to notice a crash or a load that ended late.
   *
   * @param clock - the process's clock
   * @param signal - stops the task
   */
  async refreshPeriodically(clock: Clock, signal: AbortSignal): Promise<void> {
    while (this.#loader !== undefined && !signal.aborted) {
      await clock.sleep(REFRESH_INTERVAL_MS, signal);
      await this.#loader.refreshStates();
    }
  }

  /** Carries out an order, and reports the result on the same session. */
  async handleOrder(session: LinkSession, order: WeightOrder): Promise<void> {
    if (this.#loader === undefined) return;
    const outcome = await this.#loader.apply({
      order: order.order as RecordId,
      fencing: order.fencing as FencingNumber,
      trainer: order.trainer as TrainerId,
      version: order.version as WeightVersion,
    });
    this.#report(session, order, outcome);
  }

  /** Queries the engine, and reports its state on the same session. */
  async handleQuery(session: LinkSession, query: WeightQuery): Promise<void> {
    if (this.#loader === undefined) return;
    this.#report(session, query, await this.#loader.queryState(query.trainer as TrainerId));
  }

  #report(
    session: LinkSession,
    subject: ReportSubject,
    outcome: Result<WeightState, Failure>,
  ): void {
    const { order, trainer } = subject;
    const value = outcome.match(
      (state) => ({
        order,
        trainer,
        version: state.version,
        highestFencing: state.highestFencing,
        loading: state.loading,
        code: 0,
        detail: '',
      }),
      (failure) => ({
        order,
        trainer,
        version: 0,
        highestFencing: UNKNOWN_FENCING,
        loading: false,
        code: RESULT_CODES[failure.code].code,
        detail: failure.detail,
      }),
    );
    session.send({ $case: 'weightReport', value });
  }
}
