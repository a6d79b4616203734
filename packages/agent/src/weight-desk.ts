/** Weight orders that arrive over links, and their answers. */
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
import type { WeightApplier, WeightState } from '@hibiscushill/rollout';
import type { Result } from 'neverthrow';

const NO_FENCING = -1;
const REFRESH_MS: Millis = 2000;

interface Question {
  readonly order: string;
  readonly trainer: string;
}

/** The agent's desk for weights. */
export class WeightDesk {
  readonly #applier: WeightApplier | undefined;

  /** @param applier - the engine's applier; a plain target has none */
  constructor(applier: WeightApplier | undefined) {
    this.#applier = applier;
  }

  /** The versions that the engine serves. */
  get versions(): Load['weights'] {
    return this.#applier?.versions ?? [];
  }

  /**
   * Asks the engine again and again what it serves, so that a crash or a late load shows.
   *
   * @param clock - the process's clock
   * @param signal - ends the task
   */
  async runRefresh(clock: Clock, signal: AbortSignal): Promise<void> {
    while (this.#applier !== undefined && !signal.aborted) {
      await clock.sleep(REFRESH_MS, signal);
      await this.#applier.refresh();
    }
  }

  /** Carries an order out and reports on the same session. */
  async takeOrder(session: LinkSession, order: WeightOrder): Promise<void> {
    if (this.#applier === undefined) return;
    const outcome = await this.#applier.apply({
      order: order.order as RecordId,
      fencing: order.fencing as FencingNumber,
      trainer: order.trainer as TrainerId,
      version: order.version as WeightVersion,
    });
    this.#report(session, order, outcome);
  }

  /** Asks the engine and reports on the same session. */
  async answerQuery(session: LinkSession, query: WeightQuery): Promise<void> {
    if (this.#applier === undefined) return;
    this.#report(session, query, await this.#applier.query(query.trainer as TrainerId));
  }

  #report(session: LinkSession, asked: Question, outcome: Result<WeightState, Failure>): void {
    const { order, trainer } = asked;
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
        highestFencing: NO_FENCING,
        loading: false,
        code: RESULT_CODES[failure.code].code,
        detail: failure.detail,
      }),
    );
    session.send({ $case: 'weightReport', value });
  }
}
