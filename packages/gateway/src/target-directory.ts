/** The targets that have registered themselves. */
import {
  type Clock,
  type Logger,
  type Millis,
  type MonoTime,
  type ServiceId,
  type TargetId,
  type WallTime,
  type WeightVersion,
  type ZoneId,
  createLogger,
} from '@hibiscushill/base';

import type { ModelId } from './serving-config';

/** What a target says of itself. */
export interface TargetEntry {
  readonly id: TargetId;
  readonly service: ServiceId;
  /** `IP:port`. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer the target stays slow after its start. */
  readonly coldLeftMs: Millis;
  /** The version of each model's weights that it serves. */
  readonly versions: ReadonlyMap<ModelId, WeightVersion>;
  /** When this incarnation started; undefined where targets don't tell. */
  readonly bornAt: WallTime | undefined;
  /** Counts the heartbeats of one incarnation. */
  readonly heartbeat: number;
}

/** How the directory judges absence. */
export interface DirectoryOptions {
  readonly clock: Clock;
}

// A live target whose entry lapsed in an outage is back within two seconds of the outage's end.
const LAPSE_GRACE_MS = 1_800;

interface KnownTarget {
  readonly entry: TargetEntry;
  /** Set when the entry lapsed around an outage: until then the target may still be used. */
  readonly lapsesAt: MonoTime | undefined;
}

/** Keeps the newest entry of each target. */
export class TargetDirectory {
  readonly #options: DirectoryOptions;

  readonly #logger: Logger = createLogger('gateway.targets');

  readonly #targets = new Map<TargetId, KnownTarget>();

  readonly #changed = new Set<(target: TargetId) => void>();

  #isOutage = (): boolean => false;

  /** @param options - the clock */
  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /**
   * Sets how to tell that the list of targets is, or lately was, not readable or not written.
   *
   * @param isOutage - tells whether a removal now may be a lapse
   */
  followOutage(isOutage: () => boolean): void {
    this.#isOutage = isOutage;
  }

  /** Calls a function with each target that appeared, changed or went. */
  onChanged(handle: (target: TargetId) => void): void {
    this.#changed.add(handle);
  }

  /**
   * Takes an entry unless a newer one of the target is known.
   *
   * @param entry - what the target says of itself
   */
  take(entry: TargetEntry): void {
    const known = this.#targets.get(entry.id)?.entry;
    if (known && isOlder(entry, known)) return;
    this.#targets.set(entry.id, { entry, lapsesAt: undefined });
    if (!known || known.isDraining !== entry.isDraining || known.bornAt !== entry.bornAt) {
      this.#logger.info('A target is listed.', {
        target: entry.id,
        service: entry.service,
        zone: entry.zone,
        isDraining: entry.isDraining,
      });
    }
    this.#announce(entry.id);
  }

  /** Takes the removal of a target's entry. */
  remove(id: TargetId): void {
    const known = this.#targets.get(id);
    if (!known || known.lapsesAt !== undefined) return;
    const isLapse = this.#isOutage() && !known.entry.isDraining;
    this.#logger.info('A target is no longer listed.', { target: id, isLapse });
    if (isLapse) {
      const lapsesAt = (this.#options.clock.mono() + LAPSE_GRACE_MS) as MonoTime;
      this.#targets.set(id, { ...known, lapsesAt });
    } else {
      this.#targets.delete(id);
    }
    this.#announce(id);
  }

  /** Removes the targets that a list of all entries doesn't name. */
  keepOnly(ids: ReadonlySet<TargetId>): void {
    [...this.#targets.keys()].filter((id) => !ids.has(id)).forEach((id) => this.remove(id));
  }

  /** Finds a target that may be used or is draining. */
  find(id: TargetId): TargetEntry | undefined {
    const known = this.#targets.get(id);
    return known && this.#isPresent(known) ? known.entry : undefined;
  }

  /** Lists a service's targets that may take new work. */
  listUsable(service: ServiceId): TargetEntry[] {
    return this.list(service).filter((entry) => !entry.isDraining);
  }

  /** Lists a service's targets, the draining ones included. */
  list(service: ServiceId): TargetEntry[] {
    return [...this.#targets.values()]
      .filter((known) => known.entry.service === service && this.#isPresent(known))
      .map((known) => known.entry);
  }

  #isPresent(known: KnownTarget): boolean {
    return known.lapsesAt === undefined || this.#options.clock.mono() < known.lapsesAt;
  }

  #announce(id: TargetId): void {
    this.#changed.forEach((handle) => handle(id));
  }
}

function isOlder(entry: TargetEntry, known: TargetEntry): boolean {
  const born = entry.bornAt ?? 0;
  const knownBorn = known.bornAt ?? 0;
  return born === knownBorn ? entry.heartbeat < known.heartbeat : born < knownBorn;
}
