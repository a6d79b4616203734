/** In which zones a request may run, by the regions that its route and its team allow. */
import type { RegionId, ZoneId } from '@hibiscushill/base';

/**
 * Decides which targets a request may reach while a service has targets in several regions and some
 * requests must stay in a part of them.
 */
export class AllowedRegions {
  /** Allows all zones, also those whose region isn't known. */
  static readonly ANYWHERE = new AllowedRegions(new Map(), []);

  readonly #zoneRegions: ReadonlyMap<ZoneId, RegionId>;

  /** Undefined if all regions are allowed. */
  readonly #regions: ReadonlySet<RegionId> | undefined;

  /**
   * @param zoneRegions - the region of each availability zone
   * @param lists - lists of regions that all apply; one that is undefined or empty allows any
   */
  constructor(
    zoneRegions: ReadonlyMap<ZoneId, RegionId>,
    lists: readonly (readonly RegionId[] | undefined)[],
  ) {
    this.#zoneRegions = zoneRegions;
    const [first, ...others] = lists.filter((list) => list !== undefined && list.length > 0);
    const common = first?.filter((region) => others.every((list) => list?.includes(region)));
    this.#regions = common && new Set(common);
  }

  /** Whether some regions aren't allowed. */
  get isRestricted(): boolean {
    return this.#regions !== undefined;
  }

  /** Equal for requests that may run in the same regions; empty if they may run anywhere. */
  get key(): string {
    return this.#regions ? JSON.stringify([...this.#regions].sort()) : '';
  }

  /** Whether a target in a zone may be used; not if its region is unknown and some aren't allowed. */
  allows(zone: ZoneId): boolean {
    if (!this.#regions) return true;
    const region = this.#zoneRegions.get(zone);
    return region !== undefined && this.#regions.has(region);
  }
}
