/** The records that carry unfinished texts on the log. */
import {
  type Brand,
  type Offset,
  type RecordId,
  type WeightVersion,
  createId,
} from '@hibiscushill/base';
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import { z } from 'zod';

import type { WorkFingerprint } from './partial-output-cache';

/** One growing text of one item; a text that starts over is another chain. */
export type ChainId = Brand<string, 'ChainId'>;

/** A part of an item's text. */
export interface ProgressPart {
  readonly work: WorkFingerprint;
  readonly chain: ChainId;
  /** How many events of the chain come before this part. */
  readonly from: number;
  readonly events: readonly string[];
  /** The number of the part's last event. */
  readonly lastNumber: number;
  /** The weight versions of the chain up to here. */
  readonly versions: readonly WeightVersion[];
}

/** What was added to the running items' texts since the note before. */
export interface ProgressNote {
  /** The first note that holds a part of a running item; this one when left out. */
  readonly since?: Offset;
  readonly parts: readonly ProgressPart[];
}

const KIND = 'progress.added';

const Note = z.object({
  since: z.number().int().min(0).optional(),
  parts: z.array(
    z.object({
      work: z.string(),
      chain: z.string(),
      from: z.number().int().min(0),
      events: z.array(z.string()),
      lastNumber: z.number(),
      versions: z.array(z.number()),
    }),
  ),
});

/** Makes the record of a note. */
export function createProgress(note: ProgressNote): NewRecord {
  return { id: createId<RecordId>(), kind: KIND, payload: note };
}

/**
 * Reads a record of the stream.
 *
 * @param record - any record
 * @returns the note, or undefined for another kind or a malformed payload
 */
export function parseProgress({ kind, payload }: LogRecord): ProgressNote | undefined {
  if (kind !== KIND) return undefined;
  const parsed = Note.safeParse(payload);
  return parsed.success ? (parsed.data as unknown as ProgressNote) : undefined;
}
