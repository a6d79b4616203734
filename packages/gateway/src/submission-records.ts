/** The log records of submissions: their kinds, payloads and codecs. */
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import { type RecordId, type RequestId, type WallTime, createId } from '@hibiscushill/base';
import { z } from 'zod';

import type { ItemResult, ItemSpec } from './caller-port';
import type { ItemId, SubmissionId, SubmissionTerms } from './submission';
import type { PayloadRef } from './payload-store';

/** The kinds of these records, by the type of their payload. */
export const SUBMISSION_RECORD_KINDS = {
  accepted: 'work.accepted',
  results: 'work.results',
  ended: 'work.ended',
  handover: 'work.handover',
} as const;

/** Accepts a submission. */
export interface AcceptedPayload {
  readonly terms: SubmissionTerms;
  /** Where the parts of its item list are stored. */
  readonly items: readonly PayloadRef[];
}

/** A result whose output is stored apart from it. */
export interface ListedResult extends Omit<ItemResult, 'output'> {
  /** Where its output is stored; undefined for an empty one. */
  readonly text: PayloadRef | undefined;
}

/** Results, in the order in which they get their positions. */
export interface ResultsPayload {
  readonly results: readonly { readonly submission: SubmissionId; readonly result: ListedResult }[];
}

/** Ends a submission at its caller's request. */
export interface EndedPayload {
  readonly submission: SubmissionId;
}

/** Items that a process goes on running while it shuts down. */
export interface HandoverPayload {
  /** When the process will have stopped running them. */
  readonly until: WallTime;
  readonly items: readonly { readonly submission: SubmissionId; readonly item: ItemId }[];
}

/** A decoded record of one of the kinds above. */
export type SubmissionRecord =
  | { readonly type: 'accepted'; readonly body: AcceptedPayload }
  | { readonly type: 'results'; readonly body: ResultsPayload }
  | { readonly type: 'ended'; readonly body: EndedPayload }
  | { readonly type: 'handover'; readonly body: HandoverPayload };

const stringSchema = <T extends string>(): z.ZodType<T> => z.string() as unknown as z.ZodType<T>;
const numberSchema = <T extends number>(): z.ZodType<T> => z.number() as unknown as z.ZodType<T>;

const RewardSchema = z.object({
  id: stringSchema<RequestId>(),
  host: z.string(),
  path: z.string(),
  body: z.string(),
});

const ItemSchema = z.object({
  id: stringSchema<ItemId>(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
  tokens: z.number(),
  group: z.string(),
  reward: RewardSchema.optional(),
  expectedTokens: z.number().optional(),
});

const PayloadRefSchema = z.object({ offset: z.number().int().min(0), bytes: z.number() });

const AcceptedSchema = z.object({
  terms: z.object({
    id: stringSchema<SubmissionId>(),
    team: stringSchema().optional(),
    host: z.string(),
    path: z.string(),
    step: z.number().optional(),
    model: stringSchema().optional(),
    leastVersion: numberSchema(),
    wantedGroups: z.number().optional(),
    submittedAt: numberSchema(),
    configVersion: numberSchema().optional(),
    dueMs: z.number(),
    retentionMs: z.number(),
    itemCount: z.number().int().min(0),
  }),
  items: z.array(PayloadRefSchema),
});

const ResultsSchema = z.object({
  results: z.array(
    z.object({
      submission: stringSchema<SubmissionId>(),
      result: z.object({
        item: stringSchema<ItemId>(),
        state: z.enum(['complete', 'dead']),
        text: PayloadRefSchema.optional(),
        versions: z.array(numberSchema()),
        score: z.string().optional(),
      }),
    }),
  ),
});

const EndedSchema = z.object({ submission: stringSchema<SubmissionId>() });

const HandoverSchema = z.object({
  until: numberSchema<WallTime>(),
  items: z.array(
    z.object({ submission: stringSchema<SubmissionId>(), item: stringSchema<ItemId>() }),
  ),
});

// The log limits a record to 256 KiB; the rest is for the encoding around the items.
const MAX_PART_BYTES = 180_000;
// What an item takes beside its body, path, headers and reward.
const ITEM_OVERHEAD_BYTES = 400;

/**
 * Decodes a record of the stream.
 *
 * @param record - any record
 * @returns its payload, or undefined for another kind or a malformed payload
 */
export function parseSubmissionRecord(record: LogRecord): SubmissionRecord | undefined {
  switch (record.kind) {
    case SUBMISSION_RECORD_KINDS.accepted:
      return parsePayload(AcceptedSchema, record, (body) => ({
        type: 'accepted',
        body: body as unknown as AcceptedPayload,
      }));
    case SUBMISSION_RECORD_KINDS.results:
      return parsePayload(ResultsSchema, record, (body) => ({
        type: 'results',
        body: body as unknown as ResultsPayload,
      }));
    case SUBMISSION_RECORD_KINDS.ended:
      return parsePayload(EndedSchema, record, (body) => ({ type: 'ended', body }));
    case SUBMISSION_RECORD_KINDS.handover:
      return parsePayload(HandoverSchema, record, (body) => ({ type: 'handover', body }));
    default:
      return undefined;
  }
}

export function createAcceptedRecord(payload: AcceptedPayload): NewRecord {
  return createRecord(SUBMISSION_RECORD_KINDS.accepted, payload);
}

export function createResultsRecord(payload: ResultsPayload): NewRecord {
  return createRecord(SUBMISSION_RECORD_KINDS.results, payload);
}

export function createEndedRecord(submission: SubmissionId): NewRecord {
  return createRecord(SUBMISSION_RECORD_KINDS.ended, { submission } satisfies EndedPayload);
}

export function createHandoverRecord(payload: HandoverPayload): NewRecord {
  return createRecord(SUBMISSION_RECORD_KINDS.handover, payload);
}

function createRecord(kind: string, payload: unknown): NewRecord {
  return { id: createId<RecordId>(), kind, payload };
}

/**
 * Splits a submission's items into parts that each fit into one log record.
 *
 * @param items - the items
 * @returns at least one part, which is empty if there are no items
 */
export function splitIntoParts(items: readonly ItemSpec[]): ItemSpec[][] {
  const parts: ItemSpec[][] = [[]];
  let bytes = 0;
  items.forEach((item) => {
    const size = estimateItemBytes(item);
    if (bytes > 0 && bytes + size > MAX_PART_BYTES) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)?.push(item);
    bytes += size;
  });
  return parts;
}

/**
 * Decodes a stored part of a submission's items.
 *
 * @param stored - the stored JSON value
 * @returns the items; none if the value isn't a list of items
 */
export function parseItemPart(stored: unknown): ItemSpec[] {
  const parsed = z.array(ItemSchema).safeParse(stored);
  return parsed.success ? (parsed.data as ItemSpec[]) : [];
}

/** Estimates what an item takes in the log, in bytes. */
export function estimateItemBytes(item: ItemSpec): number {
  const headers = JSON.stringify(item.headers).length;
  const reward = item.reward ? item.reward.body.length + item.reward.path.length : 0;
  return ITEM_OVERHEAD_BYTES + item.body.length + item.path.length + headers + reward;
}

function parsePayload<T>(
  schema: z.ZodType<T>,
  record: LogRecord,
  wrap: (body: T) => SubmissionRecord,
): SubmissionRecord | undefined {
  const parsed = schema.safeParse(record.payload);
  return parsed.success ? wrap(parsed.data) : undefined;
}
