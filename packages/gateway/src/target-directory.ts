/** The registered targets, by the newest registration of each. */
import {
  type Clock,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RequestId,
  type ServiceId,
  type SoftwareVersion,
  type TargetId,
  type WallTime,
  type WeightVersion,
  type ZoneId,
  createLogger,
} from '@hibiscushill/base';
import { LeavingStatements, LeavingTargets } from '@hibiscushill/routing';

import type { ModelId } from './serving-config';

/** What a target states about itself when it registers, and again with each heartbeat. */
export interface TargetRegistration {
  readonly id: TargetId;
  readonly service: ServiceId;
  /** `IP:port`. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** For how much longer the target is cold after its start; undefined if it doesn't state it. */
  readonly coldLeftMs: Millis | undefined;
  /** The version of its software; undefined if the target doesn't state it. */
  readonly software: SoftwareVersion | undefined;
  /** The weight version that it serves of each model. */
  readonly versions: ReadonlyMap<ModelId, WeightVersion>;
  /** When this incarnation started; undefined if the target doesn't state it. */
  readonly startedAt: WallTime | undefined;
  /** The number of the heartbeat, counted from the start of the incarnation. */
  readonly heartbeat: number;
}

/** A target's statement, in a response, that it is leaving. */
export interface LeaveNotice {
  /** The target's registration when the request was sent. */
  readonly target: TargetRegistration;
  /** The request that it responded to; undefined for the gateway's own reports and orders. */
  readonly request: RequestId | undefined;
  /** When that request was sent. */
  readonly sentAt: MonoTime;
}

/** The clock, metrics and bounds of a target directory. */
export interface TargetDirectoryOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** For how long a target goes on serving after it said that it is leaving, in milliseconds. */
  readonly drainMs?: Millis;
}

// Used where the platform names no bound.
const DEFAULT_DRAIN_MS = 3_000;
// A live target whose registration expired in an outage registers again within two seconds
// of the outage's end.
const EXPIRED_REGISTRATION_GRACE_MS = 1_800;

/** The newest registration of a target. */
interface KnownTarget {
  readonly entry: TargetRegistration;
  /**
   * Until when the target may be used although its registration expired around an outage; undefined
   * if it hasn't expired.
   */
  readonly usableUntil: MonoTime | undefined;
}

/** Holds the newest registration of each target. */
export class TargetDirectory {
  readonly #options: TargetDirectoryOptions;

  readonly #logger: Logger = createLogger('gateway.targets');

  readonly #targets = new Map<TargetId, KnownTarget>();

  readonly #leaving = new LeavingTargets<number>();

  readonly #statements: LeavingStatements;

  /** The targets that are only assumed to have said so. */
  readonly #assumedLeaving = new Set<TargetId>();

  readonly #listeners = new Set<(target: TargetId) => void>();

  readonly #leaveListeners = new Set<(target: TargetRegistration) => void>();

  readonly #evacuationEndListeners = new Set<(zone: ZoneId) => void>();

  #evacuatedZones: ReadonlySet<ZoneId> = new Set();

  #isOutage = (): boolean => false;

  /** @param options - the clock, metrics and bounds */
  constructor(options: TargetDirectoryOptions) {
    this.#options = options;
    const { clock, drainMs = DEFAULT_DRAIN_MS } = options;
    this.#statements = new LeavingStatements({ clock, drainMs });
  }

  /**
   * Sets the check for an outage of the target list, during which registrations expire.
   *
   * @param isOutage - tells whether the list is unavailable or was until recently
   */
  setOutageCheck(isOutage: () => boolean): void {
    this.#isOutage = isOutage;
  }

  /** Registers a function that is called with each target that was added, changed or removed. */
  onChanged(handle: (target: TargetId) => void): void {
    this.#listeners.add(handle);
  }

  /** Registers a function that is called with each target that says that it is leaving. */
  onLeaving(handle: (target: TargetRegistration) => void): void {
    this.#leaveListeners.add(handle);
  }

  /** Registers a function that is called with each availability zone whose evacuation has ended. */
  onEvacuationEnded(handle: (zone: ZoneId) => void): void {
    this.#evacuationEndListeners.add(handle);
  }

  /** Sets the availability zones whose targets get nothing new until they are removed again. */
  setEvacuatedZones(zones: ReadonlySet<ZoneId>): void {
    const before = this.#evacuatedZones;
    this.#evacuatedZones = new Set(zones);
    const added = [...zones].filter((zone) => !before.has(zone));
    const removed = [...before].filter((zone) => !zones.has(zone));
    added.forEach((zone) => this.#reportEvacuation(zone, 'started'));
    removed.forEach((zone) => this.#reportEvacuation(zone, 'ended'));
    removed.forEach((zone) => this.#evacuationEndListeners.forEach((handle) => handle(zone)));
  }

  /** Whether a target is in an evacuated availability zone. */
  isEvacuated({ zone }: TargetRegistration): boolean {
    return this.#evacuatedZones.has(zone);
  }

  /** Records that a target has said that it is leaving; it gets no new requests from then on. */
  recordLeaving({ target, request, sentAt }: LeaveNotice): void {
    const { clock, metrics } = this.#options;
    const registered = this.#targets.get(target.id)?.entry;
    const wasUsable = registered !== undefined && !this.isLeaving(registered);
    this.#statements.record({ target: target.id, address: target.address, sentAt });
    const isNew = this.#leaving.record(target.id, getIncarnation(target));
    if (isNew) {
      metrics.count('target.leaving');
      this.#logger.info('A target said in a response that it is leaving.', {
        target: target.id,
        startedAt: target.startedAt,
        request,
        ageMs: Math.round(clock.mono() - sentAt),
      });
    } else if (!wasUsable || !this.isLeaving(registered)) return;
    this.#leaveListeners.forEach((handle) => handle(target));
    this.#notify(target.id);
  }

  /** Tells whether a target, in the incarnation of its registration, is leaving. */
  isLeaving(target: TargetRegistration): boolean {
    return (
      target.isDraining ||
      this.#leaving.isLeaving(target.id, getIncarnation(target)) ||
      this.#statements.isLeaving(target)
    );
  }

  /**
   * Records a registration, unless a newer one of the target is known.
   *
   * @param entry - the registration
   */
  recordRegistration(entry: TargetRegistration): void {
    const known = this.#targets.get(entry.id)?.entry;
    if (known && isOlder(entry, known)) return;
    this.#targets.set(entry.id, { entry, usableUntil: undefined });
    if (!entry.isDraining) this.#statements.recordReady(entry);
    if (known && known.startedAt !== entry.startedAt && this.isLeaving(known)) {
      this.#logger.info('A target that was leaving has started again.', {
        target: entry.id,
        startedAt: entry.startedAt,
      });
    }
    if (!known || isChanged(known, entry)) {
      this.#logger.info('A target registered.', {
        target: entry.id,
        service: entry.service,
        zone: entry.zone,
        software: entry.software,
        isDraining: entry.isDraining,
      });
    }
    this.#notify(entry.id);
  }

  /**
   * Records that a target's registration was removed; during an outage it stays usable for a time.
   */
  remove(id: TargetId): void {
    const known = this.#targets.get(id);
    if (!known || known.usableUntil !== undefined) return;
    const isLapse = this.#isOutage() && !this.isLeaving(known.entry);
    this.#logger.info('The registration of a target was removed.', { target: id, isLapse });
    if (isLapse) {
      const usableUntil = (this.#options.clock.mono() + EXPIRED_REGISTRATION_GRACE_MS) as MonoTime;
      this.#targets.set(id, { ...known, usableUntil });
    } else {
      this.#targets.delete(id);
    }
    this.#notify(id);
  }

  /** Removes all targets but those that a complete list names. */
  keepOnly(ids: ReadonlySet<TargetId>): void {
    [...this.#targets.keys()].filter((id) => !ids.has(id)).forEach((id) => this.remove(id));
  }

  /** Finds a registered target, also one that is leaving. */
  find(id: TargetId): TargetRegistration | undefined {
    const known = this.#targets.get(id);
    return known && this.#isRegistered(known) ? known.entry : undefined;
  }

  /** Lists a service's targets that accept new requests. */
  listUsable(service: ServiceId): TargetRegistration[] {
    return this.listStaying(service).filter((entry) => !this.isEvacuated(entry));
  }

  /** Lists a service's targets that aren't leaving, including those in evacuated zones. */
  listStaying(service: ServiceId): TargetRegistration[] {
    return this.listAll(service).filter((entry) => !this.isLeaving(entry));
  }

  /** Lists a service's targets, including those that are leaving or in evacuated zones. */
  listAll(service: ServiceId): TargetRegistration[] {
    return [...this.#targets.values()]
      .filter((known) => known.entry.service === service && this.#isRegistered(known))
      .map((known) => known.entry);
  }

  #isRegistered(known: KnownTarget): boolean {
    return known.usableUntil === undefined || this.#options.clock.mono() < known.usableUntil;
  }

  /** Logs and counts when the registered incarnation begins or ceases to count as leaving. */
  #trackAssumption(id: TargetId): void {
    const entry = this.#targets.get(id)?.entry;
    const isAssumed =
      entry !== undefined &&
      !this.#leaving.isLeaving(id, getIncarnation(entry)) &&
      this.#statements.isLeaving(entry);
    if (isAssumed === this.#assumedLeaving.has(id)) return;
    const { metrics } = this.#options;
    const fields = { target: id, startedAt: entry?.startedAt };
    if (isAssumed) {
      this.#assumedLeaving.add(id);
      metrics.count('target.assumed_leaving');
      this.#logger.info('A target may be the incarnation that said that it is leaving.', fields);
    } else {
      this.#assumedLeaving.delete(id);
      this.#logger.info('A target no longer counts as possibly leaving.', fields);
    }
    metrics.gauge('targets.assumed_leaving', this.#assumedLeaving.size);
  }

  #reportEvacuation(zone: ZoneId, change: 'started' | 'ended'): void {
    this.#options.metrics.count(`zone.evacuation_${change}`);
    const targets = [...this.#targets.values()].filter(({ entry }) => entry.zone === zone).length;
    this.#logger.info('The evacuation of an availability zone has started or ended.', {
      zone,
      change,
      targets,
    });
  }

  #notify(id: TargetId): void {
    this.#trackAssumption(id);
    this.#listeners.forEach((handle) => handle(id));
  }
}

/** Identifies an incarnation of a target; targets that don't state their start have one. */
export function getIncarnation({ startedAt }: TargetRegistration): number {
  return startedAt ?? 0;
}

/** Identifies an incarnation of a target among those of all targets. */
export function getIncarnationKey(target: TargetRegistration): string {
  return `${target.id} ${getIncarnation(target)}`;
}

/** Whether a registration tells more than that its target is alive. */
function isChanged(known: TargetRegistration, entry: TargetRegistration): boolean {
  return (
    known.isDraining !== entry.isDraining ||
    known.startedAt !== entry.startedAt ||
    known.software !== entry.software
  );
}

function isOlder(entry: TargetRegistration, known: TargetRegistration): boolean {
  const born = entry.startedAt ?? 0;
  const knownBorn = known.startedAt ?? 0;
  return born === knownBorn ? entry.heartbeat < known.heartbeat : born < knownBorn;
}
