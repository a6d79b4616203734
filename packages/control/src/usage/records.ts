/** The log records of usage. */
import type {
  FencingNumber,
  IncarnationId,
  Offset,
  RequestId,
  ServiceId,
  TeamId,
  WallTime,
} from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { z } from 'zod';

/** The duty whose holder closes and reports windows. */
export const USAGE_DUTY = 'usage';

/** The start of a usage window, which identifies it, in milliseconds since the Unix epoch. */
export type WindowStart = number;

const nonNegativeInteger = z.number().int().min(0);
const offset = nonNegativeInteger as unknown as z.ZodType<Offset>;
const claim = z.number().int().min(-1) as unknown as z.ZodType<FencingNumber>;
const wallTime = z.number() as unknown as z.ZodType<WallTime>;
const figure = {
  team: z.string() as unknown as z.ZodType<TeamId>,
  service: z.string() as unknown as z.ZodType<ServiceId>,
  requests: nonNegativeInteger,
  tokens: nonNegativeInteger,
};

const UsageItem = z.object({
  request: z.string().min(1) as unknown as z.ZodType<RequestId>,
  ...figure,
  finishedAt: wallTime,
});

const Figure = z.object(figure);

const UsageDelta = z.object({
  incarnation: z.string().min(1) as unknown as z.ZodType<IncarnationId>,
  seq: nonNegativeInteger,
  items: z.array(UsageItem),
});

const UsageClose = z.object({
  window: nonNegativeInteger,
  claim,
  /** The figures contain the items of all records before this offset. */
  through: offset,
  figures: z.array(Figure),
  /** The part of the figures that belongs to requests that finished in earlier windows. */
  late: z.array(Figure),
});

const UsageReported = z.object({ window: nonNegativeInteger, claim });

const Contribution = z.object({ ...figure, offset, isLate: z.boolean() });

const ClosedWindow = z.object({
  window: nonNegativeInteger,
  reportId: z.string(),
  figures: z.array(Figure),
  late: z.array(Figure),
});

/** All that a reader needs to know at an offset when the records before it have been trimmed. */
const UsageState = z.object({
  lastClosed: nonNegativeInteger.optional(),
  open: z.array(z.object({ window: nonNegativeInteger, contributions: z.array(Contribution) })),
  unreported: z.array(ClosedWindow),
  sequences: z.array(z.object({ incarnation: z.string(), seq: nonNegativeInteger, at: wallTime })),
  seen: z.array(z.object({ period: nonNegativeInteger, digests: z.array(z.string()) })),
});

const UsageSnapshot = z.object({ through: offset, claim, state: UsageState });

/** The kinds of the records, as they are written to the log. */
export const USAGE_KINDS = {
  delta: 'usage.delta',
  close: 'usage.close',
  reported: 'usage.reported',
  snapshot: 'usage.snapshot',
} as const;

/** The usage of one finished request. */
export type UsageItem = z.infer<typeof UsageItem>;

/** A batch of items. `seq` increases with each batch of a process. */
export type UsageDelta = z.infer<typeof UsageDelta>;

/** Closes a window and fixes its figures. */
export type UsageClose = z.infer<typeof UsageClose>;

/** Records that the platform has accepted a window's report. */
export type UsageReported = z.infer<typeof UsageReported>;

/** The part of a window's figures that one record contributed. */
export type Contribution = z.infer<typeof Contribution>;

/** A window whose figures are final. */
export type ClosedWindow = z.infer<typeof ClosedWindow>;

/** The state of the windows at an offset. */
export type UsageState = z.infer<typeof UsageState>;

/** The payload of a snapshot record: the state of the windows before the offset `through`. */
export type UsageSnapshot = z.infer<typeof UsageSnapshot>;

/** A usage record whose payload was validated. */
export type UsageRecord =
  | { readonly type: 'delta'; readonly body: UsageDelta }
  | { readonly type: 'close'; readonly body: UsageClose }
  | { readonly type: 'reported'; readonly body: UsageReported }
  | { readonly type: 'snapshot'; readonly body: UsageSnapshot };

/**
 * Parses a record of the log as a usage record.
 *
 * @param record - any record of the stream
 * @returns the usage record, or undefined for another kind or a malformed payload
 */
export function parseUsageRecord(record: LogRecord): UsageRecord | undefined {
  switch (record.kind) {
    case USAGE_KINDS.delta:
      return parsePayload(UsageDelta, record, (body) => ({ type: 'delta', body }));
    case USAGE_KINDS.close:
      return parsePayload(UsageClose, record, (body) => ({ type: 'close', body }));
    case USAGE_KINDS.reported:
      return parsePayload(UsageReported, record, (body) => ({ type: 'reported', body }));
    case USAGE_KINDS.snapshot:
      return parsePayload(UsageSnapshot, record, (body) => ({ type: 'snapshot', body }));
    default:
      return undefined;
  }
}

function parsePayload<T>(
  schema: z.ZodType<T>,
  record: LogRecord,
  wrap: (body: T) => UsageRecord,
): UsageRecord | undefined {
  const parsed = schema.safeParse(record.payload);
  return parsed.success ? wrap(parsed.data) : undefined;
}
