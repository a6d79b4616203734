/** The log records that save the partial outputs of running items. */
import {
  type Brand,
  type Offset,
  type RecordId,
  type SoftwareVersion,
  type WeightVersion,
  createId,
} from '@hibiscushill/base';
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import { z } from 'zod';

import type { ItemFingerprint } from './partial-output-cache';

/**
 * Identifies a chain, the segments of one output of an item. An output that starts over gets a new
 * chain.
 */
export type ChainId = Brand<string, 'ChainId'>;

/** Consecutive events of an item's output. */
export interface OutputSegment {
  /** The item whose output it is. */
  readonly work: ItemFingerprint;
  readonly chain: ChainId;
  /** How many events of the chain come before this segment. */
  readonly from: number;
  readonly events: readonly string[];
  /** The number of the segment's last event. */
  readonly lastNumber: number;
  /** All weight versions of the chain up to the segment's last event. */
  readonly versions: readonly WeightVersion[];
  /** The software version of the engines that generated the chain. */
  readonly software?: SoftwareVersion | undefined;
}

/** The segments that were added to the outputs of running items since the record before. */
export interface ProgressPayload {
  /**
   * The offset of the first record that has a segment of an item that is still running; undefined
   * if that is this record.
   */
  readonly since?: Offset;
  readonly parts: readonly OutputSegment[];
}

const PROGRESS_KIND = 'progress.added';

const ProgressSchema = z.object({
  since: z.number().int().min(0).optional(),
  parts: z.array(
    z.object({
      work: z.string(),
      chain: z.string(),
      from: z.number().int().min(0),
      events: z.array(z.string()),
      lastNumber: z.number(),
      versions: z.array(z.number()),
      software: z.string().optional(),
    }),
  ),
});

export function createProgressRecord(payload: ProgressPayload): NewRecord {
  return { id: createId<RecordId>(), kind: PROGRESS_KIND, payload };
}

/**
 * Decodes a record of the stream.
 *
 * @param record - any record
 * @returns its payload, or undefined for another kind or a malformed payload
 */
export function parseProgressRecord({ kind, payload }: LogRecord): ProgressPayload | undefined {
  if (kind !== PROGRESS_KIND) return undefined;
  const parsed = ProgressSchema.safeParse(payload);
  return parsed.success ? (parsed.data as unknown as ProgressPayload) : undefined;
}
