/** The ramp-up of targets that have started or recovered. */
import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  MonoTime,
  ServiceId,
  TargetId,
  ZoneId,
  WallTime,
} from '@hibiscushill/base';
import { AdaptivePace, type AdaptivePaceOptions, type PacePolicy } from '@hibiscushill/routing';

import type { AttemptEnd } from './attempt';
import type { ConfigTracker } from './config-tracker';
import type { TargetDirectory, TargetRegistration } from './target-directory';
import type { TargetStats } from './target-stats';

/** Why a ramp-up begins; part of log lines. */
export type RampReason =
  | 'new'
  | 'restarted'
  | 'ejection-ended'
  | 'back-off-ended'
  | 'evacuation-ended'
  | 'cold'
  | 'cold-ended';

/** How an attempt at a target ended. */
export interface PacedEnd {
  readonly end: AttemptEnd;
  /** Undefined if no response has begun. */
  readonly status: number | undefined;
  readonly ageMs: Millis;
}

/** What is known of the targets, and the policy for one ramp-up. */
export interface TargetPacerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly config: Pick<ConfigTracker, 'current'>;
  readonly directory: TargetDirectory;
  readonly stats: TargetStats;
  readonly createPolicy?: (options: AdaptivePaceOptions) => PacePolicy;
}

/** A target that is being ramped up. */
interface Ramp {
  readonly target: TargetRegistration;
  readonly policy: PacePolicy;
  readonly beganAt: MonoTime;
  /** The bound that was logged last. */
  loggedBound: number;
  loggedAt: MonoTime;
}

/** How far a target's requests are behind its even share of its service's. */
interface EvenShare {
  readonly target: TargetRegistration;
  /** Requests that it could have got but didn't; negative if it got more. */
  missing: number;
  /** When it no longer matters. */
  endsAt: MonoTime;
}

/** What the newest registration of a target said. */
interface SeenTarget {
  readonly startedAt: WallTime | undefined;
  readonly isCold: boolean;
}

/** A ramp-up that begins later, for instance once the target is no longer left out. */
interface PendingRamp {
  readonly reason: RampReason;
  readonly isDue: () => boolean;
}

// The target has another incarnation than the request expects, which says nothing about its load.
const STATUS_MISDIRECTED = 421;
const MIN_ERROR_STATUS = 500;
// A target that takes this many typical latencies is slow; a request that was given up before says
// nothing about it.
const SLOW_RATIO = 2;
// Targets that a process reads first in this time after the first one are known, not new:
// registrations are written every 1.2 s and arrive up to 1 s later.
const FIRST_READ_MS = 2_500;
const MIN_LOG_INTERVAL_MS = 1_000;
// A process has some tens of responses of a target in this time, which make up an average.
const RECENT_MS = 5_000;
// What a target didn't get while it had no room isn't made up for later at once.
const MAX_MISSING = 2;
// Targets that come back after an outage of their list are known still.
const MAX_SEEN = 4_096;

/**
 * Bounds this process's requests in flight at targets that have started or recovered. Active for
 * services that have a warm-up configured or whose targets report their speed.
 */
export class TargetPacer {
  readonly #options: TargetPacerOptions;

  readonly #ramps = new Map<TargetId, Ramp>();

  readonly #seen = new Map<TargetId, SeenTarget>();

  readonly #pending = new Map<TargetId, PendingRamp>();

  /** Targets in their ramp-up, and those that were until recently. */
  readonly #shares = new Map<TargetId, EvenShare>();

  readonly #reportingServices = new Set<ServiceId>();

  #firstSeenAt: MonoTime | undefined;

  /** @param options - what is known of the targets, and the policy */
  constructor(options: TargetPacerOptions) {
    this.#options = options;
    options.directory.onChanged((id) => this.#onChanged(id));
    options.directory.onEvacuationEnded((zone) => this.#onEvacuationEnded(zone));
  }

  /** Whether a target is in its ramp-up. */
  isRamping(target: TargetRegistration): boolean {
    return this.#findRamp(target) !== undefined;
  }

  /**
   * Counts the requests for which a target has room; negative if it has too many.
   *
   * @param inFlight - this process's requests at the target
   * @returns infinite unless it is in its ramp-up
   */
  countRoom(target: TargetRegistration, inFlight: number): number {
    const ramp = this.#findRamp(target);
    return ramp ? ramp.policy.boundAt(this.#options.clock.mono()) - inFlight : Infinity;
  }

  /**
   * Leaves out targets whose ramp-up has no room now.
   *
   * @param isNeeded - whether to name the one with the most room if no healthy one has any
   * @returns the list itself if no target in it is in its ramp-up
   */
  listWithRoom(
    targets: readonly TargetRegistration[],
    isNeeded: boolean,
  ): readonly TargetRegistration[] {
    if (this.#ramps.size === 0 && this.#pending.size === 0) return targets;
    if (!targets.some((target) => this.isRamping(target))) return targets;
    const { stats, metrics } = this.#options;
    const healthy = targets.filter(({ id }) => !stats.isEjected(id));
    const candidates = healthy.length > 0 ? healthy : targets;
    const rooms = candidates.map((target) => ({
      target,
      room: this.countRoom(target, stats.inFlightOf(target.id)),
    }));
    const withRoom = rooms.filter(({ room }) => room > 0);
    if (withRoom.length > 0 || !isNeeded) return withRoom.map(({ target }) => target);
    metrics.count('ramp.exceeded');
    const [most] = rooms.sort((a, b) => b.room - a.room);
    return most ? [most.target] : [];
  }

  /**
   * Finds the latency to expect of a target in its ramp-up and for a time after it: the median of the service's others, so that it isn't avoided for what was measured before.
   * While it is behind its even share, it is the least of the others: at a low load most requests go
   * to the target whose average is the least by chance, and one at the median gets few.
   *
   * @returns undefined at other times, and unless others were measured
   */
  findExpectedLatency(target: TargetRegistration): Millis | undefined {
    const isRamping = this.isRamping(target);
    const share = this.#findShare(target);
    if (!share) return undefined;
    const latencies = this.#listOtherLatencies(target);
    const typicalMs = findMedian(latencies);
    if (typicalMs === undefined) return undefined;
    if (!isRamping && this.#isSlowAndBusy(target, typicalMs)) return undefined;
    return share.missing > 0 ? Math.min(...latencies) : typicalMs;
  }

  /** Records that a request was sent to a target. */
  recordSent(target: TargetRegistration): void {
    if (this.#shares.size === 0) return;
    const { length } = this.#options.directory.listUsable(target.service);
    [...this.#shares.values()]
      .filter((share) => share.target.service === target.service)
      .forEach((share) => {
        const got = share.target.id === target.id ? 1 : 0;
        const missing = share.missing + 1 / Math.max(1, length) - got;
        Object.assign(share, {
          missing: Math.max(-MAX_MISSING, Math.min(MAX_MISSING, missing)),
        });
      });
  }

  /** Records how an attempt at a target ended. */
  recordEnded(target: TargetRegistration, { end, status, ageMs }: PacedEnd): void {
    const { clock, stats } = this.#options;
    if (stats.reportsSpeed(target.id)) this.recordReportsSpeed(target.service);
    if (!this.isActive(target.service)) return;
    const ramp = this.#findRamp(target);
    const now = clock.mono();
    const sentAt = (now - ageMs) as MonoTime;
    const isFailure =
      end === 'broken' ||
      (end === 'not-run' && status !== STATUS_MISDIRECTED) ||
      (end === 'answered' && (status ?? 0) >= MIN_ERROR_STATUS);
    if (ramp && isFailure) this.#update(ramp, () => ramp.policy.recordFailure(sentAt, now));
    else if (ramp) {
      const typicalMs = this.#findTypicalLatency(target);
      // A request that was given up says that a response would have taken longer.
      const isSlow = end === 'unknown' && ageMs > SLOW_RATIO * (typicalMs ?? Infinity);
      const response = { sentAt, endedAt: now, tookMs: ageMs, typicalMs };
      if (end === 'answered' || isSlow) {
        this.#update(ramp, () => ramp.policy.recordResponse(response));
      }
    }
    if (!stats.isEjected(target.id) || this.#pending.has(target.id)) return;
    const isDue = (): boolean => !stats.isEjected(target.id);
    this.#pending.set(target.id, { reason: 'ejection-ended', isDue });
  }

  /**
   * Records a measurement of an engine's speed.
   *
   * @param msPerEvent - the time between two events
   * @param typicalMs - the same at the service's other engines; undefined if unknown
   */
  recordSpeed(engine: TargetRegistration, msPerEvent: Millis, typicalMs: Millis | undefined): void {
    const ramp = this.#findRamp(engine);
    const now = this.#options.clock.mono();
    const response = { sentAt: now, endedAt: now, tookMs: msPerEvent, typicalMs };
    if (ramp) this.#update(ramp, () => ramp.policy.recordResponse(response));
  }

  /** Records that an engine is left out after a failure. */
  recordBackOff(engine: TargetRegistration, until: MonoTime): void {
    if (!this.isActive(engine.service)) return;
    const { clock } = this.#options;
    const isDue = (): boolean => clock.mono() >= until;
    this.#pending.set(engine.id, { reason: 'back-off-ended', isDue });
  }

  /** Records that a target may be used again after the evacuation of its zone. */
  recordReturned(target: TargetRegistration): void {
    this.#begin(target, 'evacuation-ended');
  }

  /** Records that a target is no longer cold; a ramp-up in progress goes on. */
  recordColdEnded(target: TargetRegistration): void {
    if (!this.isRamping(target)) this.#begin(target, 'cold-ended');
  }

  /** Records that a target of a service has said how fast it is. */
  recordReportsSpeed(service: ServiceId): void {
    this.#reportingServices.add(service);
  }

  /** Whether a service has a warm-up configured, or its targets report their speed. */
  isActive(service: ServiceId): boolean {
    if (this.#reportingServices.has(service)) return true;
    const { current } = this.#options.config;
    return current?.services.find(({ name }) => name === service)?.warmUp !== undefined;
  }

  /** Ends the ramp-ups that are over; called repeatedly. */
  run(): void {
    const { clock, directory, metrics } = this.#options;
    [...this.#pending.keys()]
      .filter((id) => !directory.find(id))
      .forEach((id) => this.#pending.delete(id));
    [...this.#ramps.values()].forEach(({ target }) => this.#findRamp(target));
    const now = clock.mono();
    this.#shares.forEach(({ endsAt }, id) => {
      if (now >= endsAt) this.#shares.delete(id);
    });
    metrics.gauge('ramp.targets', this.#ramps.size);
  }

  #onEvacuationEnded(zone: ZoneId): void {
    const { config, directory } = this.#options;
    const services = config.current?.services ?? [];
    services
      .flatMap(({ name }) => directory.listUsable(name))
      .filter((target) => target.zone === zone)
      .forEach((target) => this.recordReturned(target));
  }

  #onChanged(id: TargetId): void {
    const { clock, directory } = this.#options;
    const entry = directory.find(id);
    if (!entry) {
      this.#ramps.delete(id);
      this.#shares.delete(id);
      return;
    }
    const now = clock.mono();
    this.#firstSeenAt ??= now;
    const known = this.#seen.get(id);
    const isCold = (entry.coldLeftMs ?? 0) > 0;
    this.#seen.delete(id);
    this.#seen.set(id, { startedAt: entry.startedAt, isCold });
    const [oldest] = this.#seen.keys();
    if (this.#seen.size > MAX_SEEN && oldest !== undefined) this.#seen.delete(oldest);
    if (known && known.startedAt !== entry.startedAt) {
      this.#pending.delete(id);
      if (this.isActive(entry.service)) this.#options.stats.endEjection(id);
      this.#begin(entry, 'restarted');
    } else if (isCold && !known?.isCold) this.#begin(entry, 'cold');
    else if (known?.isCold && !isCold) this.recordColdEnded(entry);
    else if (!known && now - this.#firstSeenAt >= FIRST_READ_MS) this.#begin(entry, 'new');
  }

  /** Finds the ramp-up of a target's incarnation; begins or ends it if that is due. */
  #findRamp(target: TargetRegistration): Ramp | undefined {
    const pending = this.#pending.get(target.id);
    if (pending?.isDue()) {
      this.#pending.delete(target.id);
      this.#begin(target, pending.reason);
    }
    const ramp = this.#ramps.get(target.id);
    if (ramp?.target.startedAt !== target.startedAt) return undefined;
    if (ramp && ramp.policy.hasEnded(this.#options.clock.mono())) {
      this.#end(ramp);
      return undefined;
    }
    return ramp;
  }

  #begin(target: TargetRegistration, reason: RampReason): void {
    const { clock, metrics, logger, config, createPolicy } = this.#options;
    if (config.current === undefined) {
      // The list of targets may be read before the configuration.
      this.#pending.set(target.id, { reason, isDue: () => config.current !== undefined });
      return;
    }
    if (!this.isActive(target.service)) return;
    const beganAt = clock.mono();
    const options = { slots: target.slots, beganAt };
    const policy = createPolicy?.(options) ?? new AdaptivePace(options);
    const loggedBound = policy.boundAt(beganAt);
    this.#ramps.set(target.id, { target, policy, beganAt, loggedBound, loggedAt: beganAt });
    this.#shares.set(target.id, { target, missing: 0, endsAt: Infinity as MonoTime });
    metrics.count('ramp.begun');
    logger.info('The ramp-up of a target began.', {
      target: target.id,
      startedAt: target.startedAt,
      service: target.service,
      reason,
    });
  }

  #end({ target, policy, beganAt }: Ramp): void {
    const { clock, metrics, logger, stats } = this.#options;
    this.#ramps.delete(target.id);
    const endsAt = (clock.mono() + RECENT_MS) as MonoTime;
    const missing = this.#shares.get(target.id)?.missing ?? 0;
    this.#shares.set(target.id, { target, missing, endsAt });
    // What was measured while the target was slow would keep requests away from it.
    const averageMs = stats.averageLatencyMsOf(target.id);
    const typicalMs = this.#findTypicalLatency(target);
    if (averageMs !== undefined && typicalMs !== undefined && averageMs > typicalMs) {
      stats.setAverageLatency(target.id, typicalMs);
    }
    metrics.count('ramp.ended');
    logger.info('The ramp-up of a target ended.', {
      target: target.id,
      startedAt: target.startedAt,
      bound: policy.boundAt(clock.mono()),
      slots: target.slots,
      tookMs: Math.round(clock.mono() - beganAt),
    });
  }

  /** Records something with a ramp-up's policy, and logs and counts what it changes. */
  #update(ramp: Ramp, record: () => void): void {
    const { clock, metrics, logger } = this.#options;
    const now = clock.mono();
    const { target, policy } = ramp;
    const before = policy.boundAt(now);
    record();
    const bound = policy.boundAt(now);
    if (bound !== before) metrics.count(bound > before ? 'ramp.raised' : 'ramp.lowered');
    if (policy.hasEnded(now)) {
      this.#end(ramp);
      return;
    }
    if (bound === ramp.loggedBound || now - ramp.loggedAt < MIN_LOG_INTERVAL_MS) return;
    logger.info('The bound on the requests in flight at a target changed.', {
      target: target.id,
      startedAt: target.startedAt,
      bound,
      before: ramp.loggedBound,
    });
    Object.assign(ramp, { loggedBound: bound, loggedAt: now });
  }

  #findShare(target: TargetRegistration): EvenShare | undefined {
    const share = this.#shares.get(target.id);
    const isCurrent = share?.target.startedAt === target.startedAt;
    return share && isCurrent && this.#options.clock.mono() < share.endsAt ? share : undefined;
  }

  /**
   * Whether a target was measured to be slow and has a request. One request at a time tells whether
   * it is; it would not be seen to be fast again without any.
   */
  #isSlowAndBusy(target: TargetRegistration, typicalMs: Millis): boolean {
    const { stats } = this.#options;
    const ownMs = stats.averageLatencyMsOf(target.id) ?? 0;
    return ownMs > SLOW_RATIO * typicalMs && stats.inFlightOf(target.id) > 0;
  }

  #findTypicalLatency(target: TargetRegistration): Millis | undefined {
    return findMedian(this.#listOtherLatencies(target));
  }

  /** Lists the average latencies of a service's other targets; of those in no ramp-up if any. */
  #listOtherLatencies(target: TargetRegistration): Millis[] {
    const { directory, stats } = this.#options;
    const others = directory.listUsable(target.service).filter(({ id }) => id !== target.id);
    const warm = others.filter(({ id }) => !this.#ramps.has(id));
    return (warm.length > 0 ? warm : others)
      .map(({ id }) => stats.averageLatencyMsOf(id))
      .filter((averageMs) => averageMs !== undefined);
  }
}

/** Finds the median; undefined if there is no value. */
export function findMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
