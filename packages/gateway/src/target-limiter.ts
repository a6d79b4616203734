/** The limits that targets name, and this process's requests to these targets. */
import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  MonoTime,
  RequestId,
  ServiceId,
  TargetId,
  WallTime,
} from '@hibiscushill/base';
import {
  type ColdLimit,
  type LimitedTarget,
  type LimitShares,
  RateMeter,
  TargetLimits,
} from '@hibiscushill/routing';

import { type TargetRegistration, getIncarnation } from './target-directory';

/** What a request is sent to a target for. */
export type SendKind = 'request' | 'scoring' | 'item' | 'report' | 'order';

/** What a response says about the limit of its target. */
export interface LimitNotice {
  /** The target's registration when the request was sent. */
  readonly target: TargetRegistration;
  /** The request that it responded to; undefined for the gateway's own reports and orders. */
  readonly request: RequestId | undefined;
  /** When that request was sent. */
  readonly sentAt: MonoTime;
  /** The requests a second that it takes from all callers together; undefined if it names none. */
  readonly perSecond: number | undefined;
}

/** What a process has heard of a target's limit, for the others. */
export interface LimitUpdate {
  readonly target: TargetId;
  readonly startedAt: WallTime | undefined;
  readonly perSecond: number | undefined;
}

/** The clock, how the processes share limits, the metrics and the logger of a target limiter. */
export interface TargetLimiterOptions {
  readonly clock: Clock;
  readonly shares: LimitShares;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** What is known of a target that has named a limit. */
interface LimitedState {
  readonly startedAt: WallTime | undefined;
  /** When a response to this process last named a limit. */
  heardAt: MonoTime;
  /** The requests to it since they were last logged, by kind. */
  readonly sent: Map<SendKind, number>;
}

const SENT_LOG_INTERVAL_MS = 1_000;
// What this process has heard of a target itself lately is preferred to what others have heard.
const OWN_STATEMENT_MS = 1_000;
const DEMAND_TIME_CONSTANT_MS = 2_000;
const MS_PER_SECOND = 1_000;
// The time in which items that wait should have started.
const BACKLOG_START_MS = 2_000;

/**
 * Decides when requests may be sent to targets that name a limit or are cold, and logs and counts
 * what targets that name a limit say and what they are sent.
 */
export class TargetLimiter {
  readonly #options: TargetLimiterOptions;

  readonly #limits: TargetLimits<number>;

  readonly #limited = new Map<TargetId, LimitedState>();

  readonly #demandByService = new Map<ServiceId, RateMeter>();

  readonly #updates = new Map<TargetId, LimitUpdate>();

  #countBacklog: (service: ServiceId) => number = () => 0;

  #sentLoggedAt: MonoTime;

  /** @param options - the clock, how the processes share limits, the metrics and the logger */
  constructor(options: TargetLimiterOptions) {
    this.#options = options;
    this.#limits = new TargetLimits(options);
    this.#sentLoggedAt = options.clock.mono();
  }

  /** Sets the function that counts a service's items that wait for a target. */
  setBacklogSource(countBacklog: (service: ServiceId) => number): void {
    this.#countBacklog = countBacklog;
  }

  /** The targets that have named a limit that holds, in any incarnation. */
  get limitedTargets(): readonly TargetId[] {
    return [...this.#limited.keys()];
  }

  /** Records what a response says about the limit of its target. */
  recordStatement({ target, request, sentAt, perSecond }: LimitNotice): void {
    const { startedAt } = target;
    const update = { target: target.id, startedAt, perSecond };
    const hasChanged = this.#apply(update, sentAt, {
      request,
      ageMs: Math.round(this.#options.clock.mono() - sentAt),
    });
    const state = this.#limited.get(target.id);
    if (state && perSecond !== undefined) state.heardAt = this.#options.clock.mono();
    if (hasChanged) this.#updates.set(target.id, update);
  }

  /** Applies what another process has heard, unless this one has heard the target itself lately. */
  applyUpdate(update: LimitUpdate): void {
    const now = this.#options.clock.mono();
    const heardAt = this.#limited.get(update.target)?.heardAt ?? -Infinity;
    if (now - heardAt >= OWN_STATEMENT_MS) this.#apply(update, now, { isFromOtherProcess: true });
  }

  /** Whether this process has heard something since `takeUpdates` was last called. */
  get hasUpdates(): boolean {
    return this.#updates.size > 0;
  }

  /** Takes what this process has heard from targets since the last call. */
  takeUpdates(): readonly LimitUpdate[] {
    const updates = [...this.#updates.values()];
    this.#updates.clear();
    return updates;
  }

  /** Returns updates that could not be passed on, and that later ones may have replaced. */
  returnUpdates(updates: readonly LimitUpdate[]): void {
    updates
      .filter(({ target }) => !this.#updates.has(target))
      .forEach((one) => this.#updates.set(one.target, one));
  }

  /** Forgets targets that are no longer registered. */
  keepOnly(isRegistered: (target: TargetId) => boolean): void {
    [...this.#limited.keys()]
      .filter((target) => !isRegistered(target))
      .forEach((target) => this.#limited.delete(target));
  }

  /** Records a request for any target of a service, whether it is sent at once or not. */
  recordDemand(service: ServiceId): void {
    const meter =
      this.#demandByService.get(service) ??
      new RateMeter(this.#options.clock, DEMAND_TIME_CONSTANT_MS);
    this.#demandByService.set(service, meter);
    meter.add(1);
  }

  /** The requests a second that this process would send to a service's targets together. */
  demandOf(service: ServiceId): number {
    const backlog = this.#countBacklog(service) / (BACKLOG_START_MS / MS_PER_SECOND);
    return (this.#demandByService.get(service)?.rate ?? 0) + backlog;
  }

  /** Sets the limit of a cold target; undefined once it is no longer cold. */
  setCold(target: TargetRegistration, limit: ColdLimit | undefined): void {
    this.#limits.setCold(identify(target), limit);
  }

  /** The limit of a cold target; undefined if it isn't cold. */
  findCold(target: TargetRegistration): ColdLimit | undefined {
    return this.#limits.findCold(identify(target));
  }

  /** The requests a second that a target takes; undefined if they are not limited. */
  limitOf(target: TargetRegistration): number | undefined {
    return this.#limits.find(identify(target));
  }

  /** How many requests may be sent to a target now; infinite without a limit. */
  countAvailable(target: TargetRegistration): number {
    return this.#limits.countAvailable(identify(target));
  }

  /**
   * Takes a request's turn at a target.
   *
   * @returns whether the request may be sent now
   */
  take(target: TargetRegistration, kind: SendKind): boolean {
    const mayBeSent = this.#limits.take(identify(target));
    if (mayBeSent) this.recordSent(target, kind);
    return mayBeSent;
  }

  /** Takes the turn of a request that is sent in any case, if necessary a later one. */
  charge(target: TargetRegistration, kind: SendKind): void {
    this.#limits.charge(identify(target));
    this.recordSent(target, kind);
  }

  /**
   * Reserves the next turn at a target; {@link recordSent} follows when the request is sent.
   *
   * @returns how long the request has to wait; undefined if there is no turn in time
   */
  reserve(target: TargetRegistration, maxWaitMs: Millis): Millis | undefined {
    return this.#limits.reserve(identify(target), maxWaitMs);
  }

  /** Gives a reserved turn back. */
  release(target: TargetRegistration): void {
    this.#limits.release(identify(target));
  }

  /**
   * Finds how long a request would have to wait for its turn at a target.
   *
   * @returns milliseconds; undefined if there is no turn in time
   */
  findWait(target: TargetRegistration, maxWaitMs: Millis): Millis | undefined {
    return this.#limits.findWait(identify(target), maxWaitMs);
  }

  /** Records that a request was sent. */
  recordSent(target: TargetRegistration, kind: SendKind): void {
    if (this.findCold(target)) this.#options.metrics.count(`cold.sent.${kind}`);
    const state = this.#limited.get(target.id);
    if (!state || this.#limits.findNamed(identify(target)) === undefined) return;
    this.#options.metrics.count(`limit.sent.${kind}`);
    state.sent.set(kind, (state.sent.get(kind) ?? 0) + 1);
  }

  /** Logs the requests to limited targets, once for each interval; called repeatedly. */
  logSent(): void {
    const { clock, metrics, logger, shares } = this.#options;
    const periodMs: Millis = clock.mono() - this.#sentLoggedAt;
    if (periodMs < SENT_LOG_INTERVAL_MS) return;
    this.#sentLoggedAt = clock.mono();
    metrics.gauge('limit.targets', this.#limited.size);
    this.#limited.forEach(({ sent, startedAt }, target) => {
      if (sent.size === 0) return;
      logger.info('Requests were sent to a target that limits them.', {
        target,
        ...Object.fromEntries(sent),
        perSecond: this.#limits.findNamed({ target, incarnation: startedAt ?? 0 }),
        share: shares.share(target),
        periodMs: Math.round(periodMs),
      });
      sent.clear();
    });
  }

  /** Applies a statement; returns whether it changes a limit. */
  #apply(
    { target, startedAt, perSecond }: LimitUpdate,
    sentAt: MonoTime,
    context: Record<string, string | number | boolean | undefined>,
  ): boolean {
    const { metrics, logger, shares } = this.#options;
    const identity = { target, incarnation: startedAt ?? 0 };
    const before = this.#limits.findNamed(identity);
    const change = this.#limits.record({ ...identity, perSecond, sentAt });
    if (!change) return false;
    this.#updateLimited(target, startedAt, perSecond !== undefined);
    metrics.count(`limit.${change}`);
    logger.info('A target said how many requests it takes.', {
      target,
      startedAt,
      change,
      perSecond,
      before,
      share: shares.share(target),
      ...context,
    });
    return true;
  }

  /** Updates the limited targets, unless a later incarnation of the target is limited. */
  #updateLimited(target: TargetId, startedAt: WallTime | undefined, isLimited: boolean): void {
    const known = this.#limited.get(target);
    if (known && isNewer(known.startedAt, startedAt)) return;
    if (!isLimited) this.#limited.delete(target);
    else if (!known || isNewer(startedAt, known.startedAt)) {
      this.#limited.set(target, { startedAt, heardAt: -Infinity as MonoTime, sent: new Map() });
    }
  }
}

/** Tells whether one incarnation started after another. */
function isNewer(startedAt: WallTime | undefined, other: WallTime | undefined): boolean {
  return (startedAt ?? 0) > (other ?? 0);
}

function identify(target: TargetRegistration): LimitedTarget<number> {
  return { target: target.id, incarnation: getIncarnation(target) };
}
