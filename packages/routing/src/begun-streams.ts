/** Which software version began each stream, and where a stream may go on. */
import type { Millis, MonoTime, ServiceId, SoftwareVersion, StreamKey } from '@hibiscushill/base';

/** The service and the software version at which a stream began. */
export interface StreamOrigin {
  readonly service: ServiceId;
  /** Undefined for targets that state no version, which count as one version. */
  readonly software: SoftwareVersion | undefined;
}

// More than the streams that one process's callers may take up again within the age.
const MAX_STREAMS = 32_768;
const MAX_AGE_MS = 600_000;

interface BegunStream {
  readonly origin: StreamOrigin;
  readonly at: MonoTime;
}

/** The origins of the newest streams, bounded in number and age. */
export class BegunStreams {
  readonly #streams = new Map<StreamKey, BegunStream>();

  /** How many streams are known. */
  get size(): number {
    return this.#streams.size;
  }

  /** Records where a stream began; the first origin of a stream stays. */
  record(stream: StreamKey, origin: StreamOrigin, at: MonoTime): void {
    if (this.#streams.has(stream)) return;
    this.#streams.set(stream, { origin, at });
    for (const [oldest, { at: begunAt }] of this.#streams) {
      if (this.#streams.size <= MAX_STREAMS && !isOutdated(at - begunAt)) return;
      this.#streams.delete(oldest);
    }
  }

  /** Finds where a stream began; undefined if that isn't known. */
  find(stream: StreamKey): StreamOrigin | undefined {
    return this.#streams.get(stream)?.origin;
  }
}

function isOutdated(ageMs: Millis): boolean {
  return ageMs > MAX_AGE_MS;
}

/**
 * Decides where a stream may go on.
 *
 * @param begunAt - the stream's origin; undefined if it isn't known
 * @param origins - all origins at which streams of its route may have begun; undefined if they
 *   aren't known
 * @returns the only origin at which it may go on; undefined if that can't be told
 */
export function decideContinuation(
  begunAt: StreamOrigin | undefined,
  origins: readonly StreamOrigin[] | undefined,
): StreamOrigin | undefined {
  if (begunAt) return begunAt;
  return origins?.length === 1 ? origins[0] : undefined;
}

/** Whether two origins are the same. */
export function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.software === b.software;
}
