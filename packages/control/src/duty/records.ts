/** The log records of a duty: claims, renewals and releases. */
import type { FencingNumber, IncarnationId, InstanceId, Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { z } from 'zod';

/**
 * The name of a duty: a task that at most one process performs at a time, such as `usage` or
 * `targets/<availability zone>`.
 */
export type DutyName = string;

/** Used instead of a claim's offset where no claim is known. */
export const NO_CLAIM = -1 as FencingNumber;

const offset = z.number().int().min(0) as unknown as z.ZodType<Offset>;
const claimOffset = z.number().int().min(-1) as unknown as z.ZodType<FencingNumber>;
const holder = z.string().min(1) as unknown as z.ZodType<InstanceId>;
const incarnation = z.string().min(1) as unknown as z.ZodType<IncarnationId>;

const Claim = z.object({
  duty: z.string().min(1),
  holder,
  incarnation,
  /** The offset of the last valid claim that the author knew, or -1 when it knew none. */
  after: claimOffset,
  /** The author had read all records of the stream before this offset. */
  through: offset,
});

const ClaimUpdate = z.object({
  duty: z.string().min(1),
  holder,
  incarnation,
  /** The offset of the claim that is renewed or released. */
  claim: offset as unknown as z.ZodType<FencingNumber>,
  /** The author had read all records of the stream before this offset. */
  through: offset,
});

/** The kinds of the records, as they are written to the log. */
export const DUTY_KINDS = {
  claim: 'duty.claim',
  renew: 'duty.renew',
  release: 'duty.release',
} as const;

/** The payload of a claim. The record's offset is the claim's fencing number. */
export type Claim = z.infer<typeof Claim>;

/** The payload of a renewal or a release. */
export type ClaimUpdate = z.infer<typeof ClaimUpdate>;

/** A duty record whose payload was validated. */
export type DutyRecord =
  | { readonly type: 'claim'; readonly offset: Offset; readonly body: Claim }
  | { readonly type: 'renew' | 'release'; readonly offset: Offset; readonly body: ClaimUpdate };

/**
 * Parses a record of the log as a duty record.
 *
 * @param record - any record of the stream
 * @returns the duty record, or undefined for another kind or a malformed payload
 */
export function parseDutyRecord(record: LogRecord): DutyRecord | undefined {
  if (record.kind === DUTY_KINDS.claim) {
    const parsed = Claim.safeParse(record.payload);
    return parsed.success ? { type: 'claim', offset: record.offset, body: parsed.data } : undefined;
  }
  const type = findUpdateType(record.kind);
  if (type === undefined) return undefined;
  const parsed = ClaimUpdate.safeParse(record.payload);
  return parsed.success ? { type, offset: record.offset, body: parsed.data } : undefined;
}

function findUpdateType(kind: string): 'renew' | 'release' | undefined {
  if (kind === DUTY_KINDS.renew) return 'renew';
  return kind === DUTY_KINDS.release ? 'release' : undefined;
}
