/** How old a sample is, measured by the weight versions published since. */
import type { Millis, WallTime, WeightVersion } from '@hibiscushill/base';
import type { StalenessBound } from '@hibiscushill/config';

import type { Segment } from './segments';

/** A published weight version. */
export interface PublishedVersion {
  readonly version: WeightVersion;
  readonly source: string;
  readonly publishedAt: WallTime;
}

/** The age of a sample. */
export interface Staleness {
  /** How many versions were published after the oldest one in the sample. */
  readonly versions: number;
  /** How long ago the oldest version in the sample was superseded, in milliseconds. */
  readonly ms: Millis;
}

const FRESH: Staleness = { versions: 0, ms: 0 };

/**
 * Measures a sample's age.
 *
 * @param segments - the sample's label
 * @param published - the published versions, oldest first
 * @param now - the present time
 * @returns the age of its oldest segment
 */
export function measureStaleness(
  segments: readonly Segment[],
  published: readonly PublishedVersion[],
  now: WallTime,
): Staleness {
  if (segments.length === 0) return FRESH;
  const oldest = Math.min(...segments.map((segment) => segment.version));
  const newer = published.filter((entry) => entry.version > oldest);
  const [first] = newer;
  if (first === undefined) return FRESH;
  return { versions: newer.length, ms: Math.max(0, now - first.publishedAt) };
}

/**
 * Compares an age with its bound.
 *
 * @param age - the sample's age
 * @param bound - the oldest that the trainer takes
 * @returns whether the sample is too old
 */
export function isStale(age: Staleness, bound: StalenessBound): boolean {
  return age.versions > bound.versions || (age.versions > 0 && age.ms > bound.ms);
}
