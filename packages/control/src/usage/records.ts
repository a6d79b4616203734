/** The records that carry usage on the log. */
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

/** A window, named by its start in milliseconds since the Unix epoch. */
export type WindowStart = number;

const whole = z.number().int().min(0);
const offset = whole as unknown as z.ZodType<Offset>;
const claim = z.number().int().min(-1) as unknown as z.ZodType<FencingNumber>;
const wallTime = z.number() as unknown as z.ZodType<WallTime>;
const figure = {
  team: z.string() as unknown as z.ZodType<TeamId>,
  service: z.string() as unknown as z.ZodType<ServiceId>,
  requests: whole,
  tokens: whole,
};

const UsageItem = z.object({
  request: z.string().min(1) as unknown as z.ZodType<RequestId>,
  ...figure,
  finishedAt: wallTime,
});

const Figure = z.object(figure);

const UsageDelta = z.object({
  incarnation: z.string().min(1) as unknown as z.ZodType<IncarnationId>,
  seq: whole,
  items: z.array(UsageItem),
});

const UsageClose = z.object({
  window: whole,
  claim,
  /** The offset before which a record has to stand for its items to be in the figures. */
  through: offset,
  figures: z.array(Figure),
  /** The part of the figures that finished in earlier windows. */
  late: z.array(Figure),
});

const UsageReported = z.object({ window: whole, claim });

const Contribution = z.object({ ...figure, offset, isLate: z.boolean() });

const ClosedWindow = z.object({
  window: whole,
  reportId: z.string(),
  figures: z.array(Figure),
  late: z.array(Figure),
});

/** All that a reader has to know at an offset, when the records before it are gone. */
const UsageState = z.object({
  lastClosed: whole.optional(),
  open: z.array(z.object({ window: whole, contributions: z.array(Contribution) })),
  unreported: z.array(ClosedWindow),
  sequences: z.array(z.object({ incarnation: z.string(), seq: whole, at: wallTime })),
  seen: z.array(z.object({ period: whole, digests: z.array(z.string()) })),
});

const UsageSnapshot = z.object({ through: offset, claim, state: UsageState });

/** The kinds of the records. */
export const USAGE_KINDS = {
  delta: 'usage.delta',
  close: 'usage.close',
  reported: 'usage.reported',
  snapshot: 'usage.snapshot',
} as const;

/** What one finished request used. */
export type UsageItem = z.infer<typeof UsageItem>;

/** A batch of items, in the order of its process's sequence. */
export type UsageDelta = z.infer<typeof UsageDelta>;

/** The close of a window. */
export type UsageClose = z.infer<typeof UsageClose>;

/** Says that the platform has taken a window's report. */
export type UsageReported = z.infer<typeof UsageReported>;

/** A part of a window's figures that came with one record. */
export type Contribution = z.infer<typeof Contribution>;

/** A window whose figures stand. */
export type ClosedWindow = z.infer<typeof ClosedWindow>;

/** The state of the windows at an offset. */
export type UsageState = z.infer<typeof UsageState>;

/** A snapshot of the windows. */
export type UsageSnapshot = z.infer<typeof UsageSnapshot>;

/** A usage record that has been read and checked. */
export type UsageRecord =
  | { readonly type: 'delta'; readonly body: UsageDelta }
  | { readonly type: 'close'; readonly body: UsageClose }
  | { readonly type: 'reported'; readonly body: UsageReported }
  | { readonly type: 'snapshot'; readonly body: UsageSnapshot };

/**
 * Reads a record as a usage record.
 *
 * @param record - any record of the stream
 * @returns the usage record, or undefined for another kind or a malformed payload
 */
export function parseUsageRecord(record: LogRecord): UsageRecord | undefined {
  switch (record.kind) {
    case USAGE_KINDS.delta:
      return read(UsageDelta, record, (body) => ({ type: 'delta', body }));
    case USAGE_KINDS.close:
      return read(UsageClose, record, (body) => ({ type: 'close', body }));
    case USAGE_KINDS.reported:
      return read(UsageReported, record, (body) => ({ type: 'reported', body }));
    case USAGE_KINDS.snapshot:
      return read(UsageSnapshot, record, (body) => ({ type: 'snapshot', body }));
    default:
      return undefined;
  }
}

function read<T>(
  schema: z.ZodType<T>,
  record: LogRecord,
  wrap: (body: T) => UsageRecord,
): UsageRecord | undefined {
  const parsed = schema.safeParse(record.payload);
  return parsed.success ? wrap(parsed.data) : undefined;
}
