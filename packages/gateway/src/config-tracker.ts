/** The newest configuration that this process has read, and how long ago it was confirmed. */
import {
  type Clock,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RegionId,
  type TeamId,
  type WeightVersion,
  type ZoneId,
  createLogger,
} from '@hibiscushill/base';
import { AllowedRegions } from '@hibiscushill/routing';

import { ConfigView } from './config-view';
import type { ModelId, ServingConfig, ServingRoute } from './serving-config';

/** Tells how long ago a configuration was last confirmed to be the newest. */
export interface FreshnessSource {
  readonly proofAgeMs: Millis;
}

/** The clock, metrics and bounds of a configuration tracker. */
export interface ConfigTrackerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** For how long after its withdrawal a key may still be accepted, in milliseconds. */
  readonly withdrawnKeyMs: Millis;
  /** The region of each availability zone; none is known by default. */
  readonly zoneRegions?: ReadonlyMap<ZoneId, RegionId>;
}

// A request reaches its target within less than this after its key was checked.
const KEY_USE_MARGIN_MS = 500;
// Reads confirm the configuration twice in this time. Changes are to apply within two seconds.
const MAX_DENIAL_AGE_MS = 2_000;
// Once the configuration was confirmed longer ago than this fraction of the bound on withdrawn
// keys, callers are better sent to another process.
const MAX_READY_AGE_FRACTION = 0.6;

/**
 * Holds the newest configuration and the newest published weight versions; neither is replaced by
 * an older one.
 */
export class ConfigTracker {
  readonly #options: ConfigTrackerOptions;

  readonly #logger: Logger = createLogger('gateway.config');

  readonly #publishedVersions = new Map<ModelId, WeightVersion>();

  readonly #listeners = new Set<() => void>();

  /**
   * The allowed regions of the teams that have some. They hold for the items of a team also after it
   * was removed from the configuration.
   */
  readonly #teamRegions = new Map<TeamId, readonly RegionId[]>();

  #hasAllowedRegions = false;

  /** The regions that were found since the last change of the configuration. */
  #foundRegions = new WeakMap<ServingRoute, Map<TeamId | undefined, AllowedRegions>>();

  #evacuatedZones: ReadonlySet<ZoneId> = new Set();

  #freshness: FreshnessSource = { proofAgeMs: Infinity };

  #current: ConfigView | undefined;

  /** @param options - the metrics and the bound on withdrawn keys */
  constructor(options: ConfigTrackerOptions) {
    this.#options = options;
  }

  /** The newest configuration; undefined before the first was read. */
  get current(): ConfigView | undefined {
    return this.#current;
  }

  /** How long ago the configuration was last confirmed to be the newest, in milliseconds. */
  get proofAgeMs(): Millis {
    return this.#freshness.proofAgeMs;
  }

  /**
   * Tells whether the configuration includes every change that another process may have acted on
   * before a time, so that what is missing from it then was withdrawn and isn't just unread.
   *
   * @param at - the time
   */
  isConfirmedSince(at: MonoTime): boolean {
    return this.#current !== undefined && this.proofAgeMs < this.#options.clock.mono() - at;
  }

  /** Whether keys may be accepted: a withdrawal longer ago than the bound would be known. */
  get canTrustKeys(): boolean {
    return this.proofAgeMs < this.#options.withdrawnKeyMs - KEY_USE_MARGIN_MS;
  }

  /**
   * Whether a request may be refused for good because its route or key is missing: one that was
   * added would be known shortly after.
   */
  get canDeny(): boolean {
    return this.#current !== undefined && this.proofAgeMs < MAX_DENIAL_AGE_MS;
  }

  /** Whether callers should be sent to this process. */
  get isReady(): boolean {
    const staleMs = this.#options.withdrawnKeyMs * MAX_READY_AGE_FRACTION;
    return this.#current !== undefined && this.proofAgeMs < staleMs;
  }

  /** Sets the source of {@link proofAgeMs}, which is infinite before. */
  setFreshnessSource(source: FreshnessSource): void {
    this.#freshness = source;
  }

  /** Registers a function that is called after each change of the configuration or of a version. */
  onChanged(handle: () => void): void {
    this.#listeners.add(handle);
  }

  /**
   * Replaces the configuration, unless the given one isn't newer.
   *
   * @param config - a configuration that is on the log
   */
  updateConfig(config: ServingConfig): void {
    if (this.#current !== undefined && config.version <= this.#current.version) return;
    this.#current = new ConfigView(config);
    this.#updateRegions(config);
    this.#options.metrics.gauge('config.version', config.version);
    this.#logger.info('A configuration was applied.', {
      version: config.version,
      routes: config.routes.length,
      teams: config.teams?.length ?? 0,
    });
    this.#notify();
  }

  /**
   * Records a published version of a model's weights, unless a newer one is known.
   *
   * @param model - the model
   * @param version - the version
   */
  recordPublishedVersion(model: ModelId, version: WeightVersion): void {
    if (version <= (this.#publishedVersions.get(model) ?? 0)) return;
    this.#publishedVersions.set(model, version);
    this.#logger.info('A weight version was published.', { model, version });
    this.#notify();
  }

  /** The newest published version of a model; 1 before any was published. */
  publishedVersionOf(model: ModelId): WeightVersion {
    return this.#publishedVersions.get(model) ?? (1 as WeightVersion);
  }

  /** Whether some requests may not run in all regions. */
  get hasAllowedRegions(): boolean {
    return this.#hasAllowedRegions;
  }

  /** Finds the regions in which a team's requests of a route may run. */
  findRegions(route: ServingRoute, team: TeamId | undefined): AllowedRegions {
    if (!this.#hasAllowedRegions) return AllowedRegions.ANYWHERE;
    const byTeam = this.#foundRegions.get(route) ?? new Map<TeamId | undefined, AllowedRegions>();
    this.#foundRegions.set(route, byTeam);
    const known = byTeam.get(team);
    if (known) return known;
    const { zoneRegions = new Map<ZoneId, RegionId>() } = this.#options;
    const ofTeam = team === undefined ? undefined : this.#teamRegions.get(team);
    const regions = new AllowedRegions(zoneRegions, [route.allowedRegions, ofTeam]);
    byTeam.set(team, regions);
    return regions;
  }

  /** The availability zones whose targets get nothing new. */
  get evacuatedZones(): ReadonlySet<ZoneId> {
    return this.#evacuatedZones;
  }

  /** Sets the availability zones whose targets get nothing new until they are removed again. */
  setEvacuatedZones(zones: ReadonlySet<ZoneId>): void {
    const before = this.#evacuatedZones;
    const added = [...zones].filter((zone) => !before.has(zone));
    const removed = [...before].filter((zone) => !zones.has(zone));
    if (added.length === 0 && removed.length === 0) return;
    this.#evacuatedZones = new Set(zones);
    this.#options.metrics.gauge('zones.evacuated', zones.size);
    this.#logger.info('The evacuated availability zones changed.', {
      added: added.join(' '),
      removed: removed.join(' '),
    });
    this.#notify();
  }

  #updateRegions({ version, routes, teams = [] }: ServingConfig): void {
    teams.forEach(({ name, allowedRegions }) => {
      if (allowedRegions) this.#teamRegions.set(name, allowedRegions);
      else this.#teamRegions.delete(name);
    });
    this.#foundRegions = new WeakMap();
    const restricted = routes.filter(({ allowedRegions }) => allowedRegions);
    const before = this.#hasAllowedRegions;
    this.#hasAllowedRegions = restricted.length > 0 || this.#teamRegions.size > 0;
    if (!before && !this.#hasAllowedRegions) return;
    this.#options.metrics.gauge('regions.routes', restricted.length);
    this.#options.metrics.gauge('regions.teams', this.#teamRegions.size);
    this.#logger.info('A configuration restricts regions.', {
      version,
      routes: restricted.length,
      teams: this.#teamRegions.size,
    });
  }

  #notify(): void {
    this.#listeners.forEach((handle) => handle());
  }
}
