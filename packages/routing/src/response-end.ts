/** Whether a response that ended was received to its end. */

const CLOSED_EARLY = 'the connection was closed before the first event';

/** Where a stream of events ended. */
export interface StreamEnd {
  /** Whether every event that had begun was received to its end. */
  readonly isBetweenEvents: boolean;
  /** How many events were received. */
  readonly events: number;
}

/** How a response ended, without an error of its connection. */
export interface ResponseEnd {
  /** Whether its framing states its end; otherwise only the close of its connection does. */
  readonly isDelimited: boolean;
  /** Undefined if the response isn't a stream of events. */
  readonly stream: StreamEnd | undefined;
}

/**
 * Finds out whether a response is incomplete although its connection was closed in order. Order of
 * events: a target's process is killed, and its operating system closes the connections without a
 * reset, at any byte of the responses; one that has no length then ends as a complete one does.
 *
 * @param end - how the response ended
 * @param isResumed - whether the request asked for the events after one that is known, so that
 *   there may be none
 * @returns what is missing; undefined if nothing is known to be
 */
export function findTruncation(
  { isDelimited, stream }: ResponseEnd,
  isResumed: boolean,
): string | undefined {
  if (!stream || isDelimited) return undefined;
  const hasBegun = stream.events > 0 || isResumed;
  return findPartialEvent(stream) ?? (hasBegun ? undefined : CLOSED_EARLY);
}

/**
 * Finds out whether a stream ended within an event. Whoever reads the events lacks this one, however
 * the response was framed; a response that is passed on unread is whole if its framing says so.
 *
 * @returns what is missing; undefined if nothing is
 */
export function findPartialEvent(stream: StreamEnd | undefined): string | undefined {
  return stream && !stream.isBetweenEvents ? 'the stream ended within an event' : undefined;
}
