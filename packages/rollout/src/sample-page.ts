/** Pages of samples as trainers get them. */
import type { SampleId, StepId } from '@hibiscushill/base';

import type { Segment } from './segments';

/** A sample as the trainer gets it. */
export interface DeliveredSample {
  readonly number: number;
  readonly id: SampleId;
  readonly group: string;
  readonly index: number;
  readonly tokens: readonly string[];
  readonly segments: readonly Segment[];
  readonly digest: string;
}

/** What a trainer gets for a cursor. */
export interface SamplePage {
  readonly step: StepId;
  readonly samples: readonly DeliveredSample[];
  /** Numbers between the cursors that stand for no sample; their samples have later numbers. */
  readonly voids: readonly number[];
  /** The cursor to ask with next. */
  readonly next: number;
  /** Whether the step has no further samples after `next`. */
  readonly done: boolean;
  readonly total: number;
}

/** Bounds of a page. */
export interface PageBounds {
  readonly samples: number;
  readonly bytes: number;
}
