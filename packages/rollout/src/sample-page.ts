/** The pages in which samples are delivered to trainers. */
import type { SampleId, StepId } from '@hibiscushill/base';

import type { Segment } from './segments';

/** A sample as it is delivered to the trainer. */
export interface DeliveredSample {
  /** The sample's sequence number in its step, from 1. */
  readonly number: number;
  readonly id: SampleId;
  readonly group: string;
  readonly index: number;
  readonly tokens: readonly string[];
  readonly segments: readonly Segment[];
  readonly digest: string;
}

/** The samples of a step that follow a trainer's cursor. */
export interface SamplePage {
  readonly step: StepId;
  readonly samples: readonly DeliveredSample[];
  /** Void numbers in this page's range; their samples get later numbers. */
  readonly voids: readonly number[];
  /** The cursor for the next request; it confirms everything up to this number. */
  readonly next: number;
  /** Whether the step has no more samples after `next`. */
  readonly done: boolean;
  /** The number of samples in the step. */
  readonly total: number;
}

/** The size limits of a page. The sample that reaches `maxBytes` is still included. */
export interface PageLimits {
  readonly maxSamples: number;
  readonly maxBytes: number;
}
