/** Calls an item's scoring service once its text is complete. */
import type { Clock, Logger, Millis, MonoTime } from '@hibiscushill/base';

import type { RewardSpec } from './caller-port';
import type { ConfigBook } from './config-tracker';
import type { ItemTask } from './item-task';
import type { RequestForwarder } from './request-forwarder';

// Long enough for the slowest scoring call, short enough for another try before the step is due.
const REWARD_TIMEOUT_MS = 1_500;
// Beyond the errors that a route allows, for targets that fail whatever they are asked.
const EXTRA_ERRORS = 2;
const FIRST_PAUSE_MS = 50;
const MOST_PAUSE_MS = 800;

/** The score of an item, or why it has none. */
export type RewardOutcome =
  { readonly type: 'scored'; readonly receipt: string } | { readonly type: 'failed' | 'stopped' };

/** What a reward caller runs on. */
export interface RewardCallerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: ConfigBook;
  readonly forwarder: RequestForwarder;
}

/** Asks for scores until there is one, or it has failed as often as its route allows. */
export class RewardCaller {
  readonly #options: RewardCallerOptions;

  /** @param options - the configuration and the request path */
  constructor(options: RewardCallerOptions) {
    this.#options = options;
  }

  /**
   * Asks for an item's score.
   *
   * @param task - the item, with its text complete
   * @param reward - the scoring call
   * @returns the receipt, or that there is none
   */
  async call(task: ItemTask, reward: RewardSpec): Promise<RewardOutcome> {
    let pauseMs: Millis = FIRST_PAUSE_MS;
    while (!task.isStopped) {
      const route = this.#options.config.view?.findRoute(reward.host, readPath(reward.path));
      if (route) {
        const receipt = await this.#try(task, reward, route);
        if (receipt !== undefined) return { type: 'scored', receipt };
        if (task.rewardErrors >= route.maxRuns + EXTRA_ERRORS) return { type: 'failed' };
      }
      await this.#options.clock.sleep(pauseMs);
      pauseMs = Math.min(MOST_PAUSE_MS, pauseMs * 2);
    }
    return { type: 'stopped' };
  }

  async #try(
    task: ItemTask,
    reward: RewardSpec,
    route: Parameters<RequestForwarder['forward']>[0]['route'],
  ): Promise<string | undefined> {
    const { clock, forwarder, logger } = this.#options;
    const result = await forwarder.forward({
      id: reward.id,
      route,
      team: undefined,
      method: 'POST',
      path: reward.path,
      host: reward.host,
      headers: [],
      body: Buffer.from(reward.body, 'base64'),
      endsAt: (clock.mono() + REWARD_TIMEOUT_MS) as MonoTime,
      mayRun: () => !task.isStopped,
      signal: new AbortController().signal,
      onServerError: () => {
        task.countRewardError();
      },
    });
    if (result.type === 'streaming') result.attempt.cancel();
    if (result.type === 'answered' && result.head.status < 300 && result.head.receipt) {
      return result.head.receipt;
    }
    const reason = result.type === 'refused' ? result.answer.detail : result.type;
    logger.info('A scoring call brought no score.', { id: reward.id, reason });
    return undefined;
  }
}

function readPath(target: string): string {
  const end = target.indexOf('?');
  return end < 0 ? target : target.slice(0, end);
}
