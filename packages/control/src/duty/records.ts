/** The records that carry a duty's claims, renewals and releases on the log. */
import type { FencingNumber, IncarnationId, InstanceId, Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { z } from 'zod';

/** A duty that one process at a time has, such as `usage` or `targets/<availability zone>`. */
export type DutyName = string;

/** The claim offset that stands for "no claim known". */
export const NO_CLAIM = -1 as FencingNumber;

const offset = z.number().int().min(0) as unknown as z.ZodType<Offset>;
const claimOffset = z.number().int().min(-1) as unknown as z.ZodType<FencingNumber>;
const holder = z.string().min(1) as unknown as z.ZodType<InstanceId>;
const incarnation = z.string().min(1) as unknown as z.ZodType<IncarnationId>;

const Claim = z.object({
  duty: z.string().min(1),
  holder,
  incarnation,
  /** The duty's last valid claim as its author knew it, or -1 when the author knew of none. */
  after: claimOffset,
  /** The offset up to which the author had read the stream. */
  through: offset,
});

const Sign = z.object({
  duty: z.string().min(1),
  holder,
  incarnation,
  claim: offset as unknown as z.ZodType<FencingNumber>,
  through: offset,
});

/** The kinds of the records. */
export const DUTY_KINDS = {
  claim: 'duty.claim',
  renew: 'duty.renew',
  release: 'duty.release',
} as const;

/** A claim's payload. */
export type Claim = z.infer<typeof Claim>;

/** The payload of a renewal or a release. */
export type Sign = z.infer<typeof Sign>;

/** A duty record that has been read and checked. */
export type DutyRecord =
  | { readonly type: 'claim'; readonly offset: Offset; readonly body: Claim }
  | { readonly type: 'renew' | 'release'; readonly offset: Offset; readonly body: Sign };

/**
 * Reads a record as a duty record.
 *
 * @param record - any record of the stream
 * @returns the duty record, or undefined for another kind or a malformed payload
 */
export function parseDutyRecord(record: LogRecord): DutyRecord | undefined {
  if (record.kind === DUTY_KINDS.claim) {
    const parsed = Claim.safeParse(record.payload);
    return parsed.success ? { type: 'claim', offset: record.offset, body: parsed.data } : undefined;
  }
  const type = signType(record.kind);
  if (type === undefined) return undefined;
  const parsed = Sign.safeParse(record.payload);
  return parsed.success ? { type, offset: record.offset, body: parsed.data } : undefined;
}

function signType(kind: string): 'renew' | 'release' | undefined {
  if (kind === DUTY_KINDS.renew) return 'renew';
  return kind === DUTY_KINDS.release ? 'release' : undefined;
}
