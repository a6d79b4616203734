/** Which responses of targets count as answers to the requests that wait for them. */
import type { RequestId } from '@hibiscushill/base';

// The statuses of final responses in HTTP (RFC 9110, section 15).
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** What the head of a response says of the request that it answers. */
export interface AnswerHead {
  readonly status: number;
  /** The id of the request that it answers; undefined if it names none. */
  readonly echo: RequestId | undefined;
  /** The target's proof that it ran the request; undefined without one. */
  readonly receipt: string | undefined;
}

/**
 * What a response is to the request that waits on its connection: its answer (`own`), that of
 * another request or of none (`foreign`), a success without the target's receipt (`unproven`), or
 * none in HTTP, by its status (`malformed`).
 */
export type AnswerKind = 'own' | 'foreign' | 'unproven' | 'malformed';

/**
 * Judges whether a response answers a request. Order of events: a target sends a response twice, or
 * late, at the point where the next one on the connection is expected; responses to requests without
 * an id, such as reports, name none.
 *
 * A `foreign` response says nothing about the request, which may have run, and its connection must
 * not be used again. After an `unproven` or `malformed` one the request may have run as well, also
 * if it states otherwise.
 */
export function judgeAnswer({ status, echo, receipt }: AnswerHead, request: RequestId): AnswerKind {
  if (!(status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS)) return 'malformed';
  if (echo !== request) return 'foreign';
  const isSuccess = status < 300;
  return isSuccess && receipt === undefined ? 'unproven' : 'own';
}

/** Describes, for log lines, why a response doesn't count. */
export function describeMismatch(
  { echo, status }: AnswerHead,
  kind: Exclude<AnswerKind, 'own'>,
): string {
  if (kind === 'malformed') return `the status ${status} is none of a final response`;
  if (kind === 'unproven') return 'the success has no receipt';
  return echo === undefined
    ? 'the response names no request'
    : 'the response belongs to another request';
}
