/** The targets that are cold, and the limits that hold for them meanwhile. */
import type { Clock, Logger, Metrics, MonoTime, ServiceId, TargetId } from '@hibiscushill/base';
import { ColdTargets, computeColdRate } from '@hibiscushill/routing';

import type { ConfigTracker } from './config-tracker';
import type { ConfigView } from './config-view';
import type { WarmUp } from './serving-config';
import { type TargetDirectory, type TargetRegistration, getIncarnation } from './target-directory';
import type { TargetLimiter } from './target-limiter';

/** What a response says about how cold its target is. */
export interface ColdNotice {
  /** The target's registration when the request was sent. */
  readonly target: TargetRegistration;
  /** When the request was sent. */
  readonly sentAt: MonoTime;
  /** For how much longer the target is cold; undefined if the response doesn't say. */
  readonly coldLeftMs: number | undefined;
}

/** The configuration, the targets, and who limits the requests to them. */
export interface ColdTargetTrackerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly config: ConfigTracker;
  readonly directory: TargetDirectory;
  readonly limiter: TargetLimiter;
  /** How many times the rate that it tolerates a cold target may get in one second. */
  readonly coldOverage: number;
  /** The requests that a cold target may get in one second beyond that. */
  readonly coldSlack: number;
}

/** Sets the limits of cold targets of services whose configuration has a warm-up. */
export class ColdTargetTracker {
  readonly #options: ColdTargetTrackerOptions;

  readonly #cold: ColdTargets<number>;

  /** The targets that are cold, by the registration whose incarnation is limited. */
  readonly #limited = new Map<TargetId, TargetRegistration>();

  #config: ConfigView | undefined;

  #warmUps: ReadonlyMap<ServiceId, WarmUp> = new Map();

  /** Services with a warm-up that only items use. */
  #itemServices: ReadonlySet<ServiceId> = new Set();

  #evacuatedZones: ConfigTracker['evacuatedZones'] = new Set();

  /** @param options - the configuration, the targets and the limiter */
  constructor(options: ColdTargetTrackerOptions) {
    this.#options = options;
    this.#cold = new ColdTargets(options.clock);
    options.config.onChanged(() => this.#onConfigChanged());
    options.directory.onChanged((target) => this.#onTargetChanged(target));
  }

  /** Whether a target is of a service with a warm-up that only items use. */
  isOnlyForItems(target: TargetId): boolean {
    const service = this.#options.directory.find(target)?.service;
    return service !== undefined && this.#itemServices.has(service);
  }

  /** Records a response, and what it says about how cold its target is. */
  recordResponse({ target, sentAt, coldLeftMs }: ColdNotice): void {
    const { id } = target;
    this.#cold.recordResponse(id, sentAt);
    if (coldLeftMs !== undefined) {
      const incarnation = getIncarnation(target);
      this.#cold.recordStatement({ target: id, incarnation, coldLeftMs, sentAt });
    }
    this.#update(id);
  }

  /** Records a refused or broken connection to a target. */
  recordFailure(target: TargetRegistration): void {
    const { durationMs } = this.#warmUps.get(target.service) ?? {};
    if (durationMs === undefined) return;
    const incarnation = getIncarnation(target);
    this.#cold.recordFailure({ target: target.id, incarnation, durationMs });
    this.#update(target.id);
  }

  /** Ends the limits of targets that are no longer cold; called repeatedly. */
  run(): void {
    [...this.#limited.keys()].forEach((id) => this.#update(id));
    this.#options.metrics.gauge('cold.targets', this.#limited.size);
  }

  #onTargetChanged(id: TargetId): void {
    const entry = this.#options.directory.find(id);
    if (entry) {
      const { heartbeat, coldLeftMs } = entry;
      const durationMs = this.#warmUps.get(entry.service)?.durationMs;
      const incarnation = getIncarnation(entry);
      this.#cold.recordRegistration({ target: id, incarnation, heartbeat, coldLeftMs, durationMs });
    }
    this.#update(id);
  }

  #onConfigChanged(): void {
    const { config, directory } = this.#options;
    const { current, evacuatedZones } = config;
    if (current && current !== this.#config) this.#indexServices(current);
    const returned = [...this.#evacuatedZones].filter((zone) => !evacuatedZones.has(zone));
    this.#evacuatedZones = evacuatedZones;
    this.#warmUps.forEach(({ durationMs }, service) =>
      directory.listAll(service).forEach(({ id, zone }) => {
        if (returned.includes(zone)) this.#cold.recordReturn(id, durationMs);
        this.#update(id);
      }),
    );
    this.run();
  }

  #indexServices(config: ConfigView): void {
    this.#config = config;
    this.#warmUps = new Map(
      config.services.flatMap(({ name, warmUp }) => (warmUp ? [[name, warmUp] as const] : [])),
    );
    const listServices = (isForItems: boolean): ServiceId[] =>
      config.routes
        .filter(({ kind }) => (kind === 'rollout') === isForItems)
        .flatMap(({ backends }) => backends.map(({ service }) => service));
    const ofCallers = new Set(listServices(false));
    this.#itemServices = new Set(
      listServices(true).filter((name) => !ofCallers.has(name) && this.#warmUps.has(name)),
    );
  }

  /** Sets or ends the limit of a target. */
  #update(id: TargetId): void {
    const { directory, limiter, coldOverage: overage, coldSlack: slack } = this.#options;
    const limited = this.#limited.get(id);
    if (!limited && this.#warmUps.size === 0) return;
    const entry = directory.find(id);
    const warmUp = entry && this.#warmUps.get(entry.service);
    const period = warmUp && this.#cold.find(id);
    if (!entry || !period) {
      if (limited) this.#end(limited);
      return;
    }
    if (limited && getIncarnation(limited) !== getIncarnation(entry)) this.#end(limited);
    const { reason, until } = period;
    const perSecond = computeColdRate({ perSecond: warmUp.perSecond, overage, slack });
    if (!this.#limited.has(id)) this.#logBegan(entry, perSecond, reason, until);
    this.#limited.set(id, entry);
    limiter.setCold(entry, { perSecond, until, isStated: reason === 'stated' });
  }

  #logBegan(
    { id, startedAt, service }: TargetRegistration,
    perSecond: number,
    reason: string,
    until: MonoTime,
  ): void {
    const { clock, metrics, logger } = this.#options;
    const leftMs = Math.round(until - clock.mono());
    metrics.count('cold.began');
    const context = { target: id, startedAt, service, reason, leftMs, perSecond };
    logger.info('A target counts as cold.', context);
  }

  #end(limited: TargetRegistration): void {
    const { metrics, logger, limiter } = this.#options;
    const { id, startedAt, service } = limited;
    this.#limited.delete(id);
    limiter.setCold(limited, undefined);
    metrics.count('cold.ended');
    logger.info('A target no longer counts as cold.', { target: id, startedAt, service });
  }
}
