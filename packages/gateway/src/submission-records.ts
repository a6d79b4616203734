/** The records that carry submissions on the log. */
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import { type RecordId, type RequestId, type WallTime, createId } from '@hibiscushill/base';
import { z } from 'zod';

import type { ItemResult, ItemSpec } from './caller-port';
import type { ItemId, SubmissionId, SubmissionTerms } from './submission';
import type { TextRef } from './payload-store';

/** The kinds of the records. */
export const WORK_KINDS = {
  accepted: 'work.accepted',
  results: 'work.results',
  ended: 'work.ended',
  handover: 'work.handover',
} as const;

/** A submission that was accepted. */
export interface AcceptedNote {
  readonly terms: SubmissionTerms;
  /** Where its items stand, in parts. */
  readonly items: readonly TextRef[];
}

/** A result without its text. */
export interface ListedResult extends Omit<ItemResult, 'output'> {
  /** Where its text stands; undefined for an empty one. */
  readonly text: TextRef | undefined;
}

/** Results in the order in which they are listed. */
export interface ResultsNote {
  readonly results: readonly { readonly submission: SubmissionId; readonly result: ListedResult }[];
}

/** The end of a submission. */
export interface EndedNote {
  readonly submission: SubmissionId;
}

/** Items that a leaving process still runs, and until when. */
export interface HandoverNote {
  readonly until: WallTime;
  readonly items: readonly { readonly submission: SubmissionId; readonly item: ItemId }[];
}

/** A record that has been read and checked. */
export type WorkRecord =
  | { readonly type: 'accepted'; readonly body: AcceptedNote }
  | { readonly type: 'results'; readonly body: ResultsNote }
  | { readonly type: 'ended'; readonly body: EndedNote }
  | { readonly type: 'handover'; readonly body: HandoverNote };

const text = <T extends string>(): z.ZodType<T> => z.string() as unknown as z.ZodType<T>;
const number = <T extends number>(): z.ZodType<T> => z.number() as unknown as z.ZodType<T>;

const Reward = z.object({
  id: text<RequestId>(),
  host: z.string(),
  path: z.string(),
  body: z.string(),
});

const Item = z.object({
  id: text<ItemId>(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
  tokens: z.number(),
  group: z.string(),
  reward: Reward.optional(),
  expectedTokens: z.number().optional(),
});

const Text = z.object({ offset: z.number().int().min(0), bytes: z.number() });

const Accepted = z.object({
  terms: z.object({
    id: text<SubmissionId>(),
    team: text().optional(),
    host: z.string(),
    path: z.string(),
    step: z.number().optional(),
    model: text().optional(),
    leastVersion: number(),
    wantedGroups: z.number().optional(),
    submittedAt: number(),
    dueMs: z.number(),
    retentionMs: z.number(),
    itemCount: z.number().int().min(0),
  }),
  items: z.array(Text),
});

const Results = z.object({
  results: z.array(
    z.object({
      submission: text<SubmissionId>(),
      result: z.object({
        item: text<ItemId>(),
        state: z.enum(['complete', 'dead']),
        text: Text.optional(),
        versions: z.array(number()),
        score: z.string().optional(),
      }),
    }),
  ),
});

const Ended = z.object({ submission: text<SubmissionId>() });

const Handover = z.object({
  until: number<WallTime>(),
  items: z.array(z.object({ submission: text<SubmissionId>(), item: text<ItemId>() })),
});

// A record of the log holds 256 KiB; the terms and the encoding around the items need some.
const PART_BYTES = 180_000;
const ITEM_OVERHEAD_BYTES = 400;

/**
 * Reads a record of the stream.
 *
 * @param record - any record
 * @returns the record's content, or undefined for another kind or a malformed payload
 */
export function parseWorkRecord(record: LogRecord): WorkRecord | undefined {
  switch (record.kind) {
    case WORK_KINDS.accepted:
      return read(Accepted, record, (body) => ({
        type: 'accepted',
        body: body as unknown as AcceptedNote,
      }));
    case WORK_KINDS.results:
      return read(Results, record, (body) => ({
        type: 'results',
        body: body as unknown as ResultsNote,
      }));
    case WORK_KINDS.ended:
      return read(Ended, record, (body) => ({ type: 'ended', body }));
    case WORK_KINDS.handover:
      return read(Handover, record, (body) => ({ type: 'handover', body }));
    default:
      return undefined;
  }
}

/** Makes the record that accepts a submission. */
export function createAccepted(note: AcceptedNote): NewRecord {
  return createRecord(WORK_KINDS.accepted, note);
}

/** Makes the record that lists results. */
export function createResults(note: ResultsNote): NewRecord {
  return createRecord(WORK_KINDS.results, note);
}

/** Makes the record that ends a submission. */
export function createEnded(submission: SubmissionId): NewRecord {
  return createRecord(WORK_KINDS.ended, { submission } satisfies EndedNote);
}

/** Makes the record that tells which items a leaving process still runs. */
export function createHandover(note: HandoverNote): NewRecord {
  return createRecord(WORK_KINDS.handover, note);
}

function createRecord(kind: string, payload: unknown): NewRecord {
  return { id: createId<RecordId>(), kind, payload };
}

/**
 * Splits a submission's items into parts that each fit into a record.
 *
 * @param items - the items
 * @returns at least one part
 */
export function splitItems(items: readonly ItemSpec[]): ItemSpec[][] {
  const parts: ItemSpec[][] = [[]];
  let bytes = 0;
  items.forEach((item) => {
    const size = measureItem(item);
    if (bytes > 0 && bytes + size > PART_BYTES) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)?.push(item);
    bytes += size;
  });
  return parts;
}

/**
 * Reads a part of a submission's items.
 *
 * @param stored - what was stored
 * @returns the items; none for something else
 */
export function parseItems(stored: unknown): ItemSpec[] {
  const parsed = z.array(Item).safeParse(stored);
  return parsed.success ? (parsed.data as ItemSpec[]) : [];
}

function measureItem(item: ItemSpec): number {
  const headers = JSON.stringify(item.headers).length;
  const reward = item.reward ? item.reward.body.length + item.reward.path.length : 0;
  return ITEM_OVERHEAD_BYTES + item.body.length + item.path.length + headers + reward;
}

function read<T>(
  schema: z.ZodType<T>,
  record: LogRecord,
  wrap: (body: T) => WorkRecord,
): WorkRecord | undefined {
  const parsed = schema.safeParse(record.payload);
  return parsed.success ? wrap(parsed.data) : undefined;
}
