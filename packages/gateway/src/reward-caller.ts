/** The scoring calls that follow an item's complete output. */
import type { Clock, Logger, Millis, MonoTime, ServiceId } from '@hibiscushill/base';
import type { AllowedRegions } from '@hibiscushill/routing';

import type { RewardSpec } from './caller-port';
import type { ConfigTracker } from './config-tracker';
import type { ItemTask } from './item-task';
import type { RequestForwarder } from './request-forwarder';
import { ScoringQueue } from './scoring-queue';
import type { ServingRoute } from './serving-config';
import { formatItemId } from './submission';

// Longer than the slowest scoring call, and short enough to retry before the step is due.
const REWARD_TIMEOUT_MS = 1_500;
// Beyond those that the route allows, since some targets fail on every request.
const EXTRA_SERVER_ERRORS = 2;
// Long enough that a burst of scoring calls isn't sent twice.
const HEDGE_DELAY_MS = 300;
const RETRY_BASE_MS = 50;
const RETRY_MAX_MS = 800;

/** The receipt of an item's score, or why it has none. */
export type RewardOutcome =
  { readonly type: 'scored'; readonly receipt: string } | { readonly type: 'failed' | 'stopped' };

/** The request path and the routes of scoring services. */
export interface RewardCallerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: ConfigTracker;
  readonly forwarder: RequestForwarder;
}

/** The scoring calls that wait, and the newest version of their route, which tells the targets. */
interface RouteQueue {
  route: ServingRoute;
  regions: AllowedRegions;
  readonly queue: ScoringQueue;
}

/** Calls scoring services, and retries until there is a score or the route's errors are used up. */
export class RewardCaller {
  readonly #options: RewardCallerOptions;

  /** By the name of the route and the allowed regions. */
  readonly #queues = new Map<string, RouteQueue>();

  /** @param options - the configuration and the request path */
  constructor(options: RewardCallerOptions) {
    this.#options = options;
  }

  /**
   * Calls the scoring service of an item.
   *
   * @param task - the item, whose output is complete
   * @param reward - the scoring call
   * @returns the receipt of the score, or why there is none
   */
  async call(task: ItemTask, reward: RewardSpec): Promise<RewardOutcome> {
    let pauseMs: Millis = RETRY_BASE_MS;
    while (!task.isStopped) {
      const route = this.#options.config.current?.findRoute(reward.host, stripQuery(reward.path));
      if (route) {
        const receipt = await this.#attempt(task, reward, route);
        if (receipt !== undefined) return { type: 'scored', receipt };
        if (task.rewardErrors >= route.maxRuns + EXTRA_SERVER_ERRORS) return { type: 'failed' };
      }
      await this.#options.clock.sleep(pauseMs);
      pauseMs = Math.min(RETRY_MAX_MS, pauseMs * 2);
    }
    return { type: 'stopped' };
  }

  /** Counts the scoring calls that wait for a target of a service. */
  countWaitingAt(service: ServiceId): number {
    return [...this.#queues.values()]
      .filter(({ route }) => route.backends.some((backend) => backend.service === service))
      .reduce((sum, { queue }) => sum + queue.size, 0);
  }

  /** Sends a scoring call once a target has room for it; resolves with its receipt, if any. */
  #attempt(task: ItemTask, reward: RewardSpec, route: ServingRoute): Promise<string | undefined> {
    const queue = this.#findQueue(route, this.#findRegions(task, reward, route));
    return new Promise((resolve) => {
      queue.add({
        isStopped: () => task.isStopped,
        start: () => {
          const sent = this.#send(task, reward, route);
          void sent.finally(() => queue.startCalls());
          resolve(sent);
        },
      });
    });
  }

  /** The output that is scored stays in the regions that its team and the scoring route allow. */
  #findRegions(
    { submission }: ItemTask,
    { host, path }: RewardSpec,
    route: ServingRoute,
  ): AllowedRegions {
    const { config } = this.#options;
    const current = config.current?.findRoute(host, stripQuery(path)) ?? route;
    return config.findRegions(current, submission.terms.team);
  }

  #findQueue(route: ServingRoute, regions: AllowedRegions): ScoringQueue {
    const key = `${route.name} ${regions.key}`;
    const known = this.#queues.get(key);
    if (known) {
      known.route = route;
      known.regions = regions;
      return known.queue;
    }
    const { clock, forwarder } = this.#options;
    const entry: RouteQueue = {
      route,
      regions,
      queue: new ScoringQueue(clock, () => forwarder.hasRoomForScoring(entry.route, entry.regions)),
    };
    this.#queues.set(key, entry);
    return entry.queue;
  }

  async #send(
    task: ItemTask,
    reward: RewardSpec,
    route: ServingRoute,
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
      kind: 'scoring',
      hedgeDelayMs: HEDGE_DELAY_MS,
      findRegions: () => this.#findRegions(task, reward, route),
      mayRun: () => true,
      isStopped: () => task.isStopped,
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
    const item = formatItemId(task.submission.terms.id, task.spec.id);
    logger.info('A scoring call failed.', { id: reward.id, item, reason });
    return undefined;
  }
}

function stripQuery(target: string): string {
  const end = target.indexOf('?');
  return end < 0 ? target : target.slice(0, end);
}
