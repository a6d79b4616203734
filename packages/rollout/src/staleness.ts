/** The staleness of a sample: how many newer weight versions there are, and for how long. */
import type { Millis, WallTime, WeightVersion } from '@hibiscushill/base';
import type { StalenessBound } from '@hibiscushill/config';

import type { Segment } from './segments';

/** A published weight version. */
export interface PublishedVersion {
  readonly version: WeightVersion;
  /** Where the weights come from, as the trainer named it. */
  readonly source: string;
  readonly publishedAt: WallTime;
}

/** The staleness of a sample, measured from the oldest version that produced any of its tokens. */
export interface Staleness {
  /** How many versions were published after that version. */
  readonly versions: number;
  /** How long ago the first newer version was published, in milliseconds. */
  readonly ms: Millis;
}

const NOT_STALE: Staleness = { versions: 0, ms: 0 };

/**
 * Measures the staleness of a sample.
 *
 * @param segments - the sample's segments; none count as not stale
 * @param published - the published versions, oldest first
 * @param now - the current time
 * @returns the staleness of its oldest segment
 */
export function measureStaleness(
  segments: readonly Segment[],
  published: readonly PublishedVersion[],
  now: WallTime,
): Staleness {
  if (segments.length === 0) return NOT_STALE;
  const oldest = Math.min(...segments.map((segment) => segment.version));
  const newer = published.filter((entry) => entry.version > oldest);
  const [first] = newer;
  if (first === undefined) return NOT_STALE;
  return { versions: newer.length, ms: Math.max(0, now - first.publishedAt) };
}

/**
 * Compares a sample's staleness with the bound that its trainer declares.
 *
 * @param staleness - the sample's staleness
 * @param bound - the greatest staleness that the trainer accepts
 * @returns whether the sample is over the bound, in versions or in time
 */
export function isStale(staleness: Staleness, bound: StalenessBound): boolean {
  return staleness.versions > bound.versions || (staleness.versions > 0 && staleness.ms > bound.ms);
}
