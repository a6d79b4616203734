/** What a trainer's desk takes and gives. */
import type {
  Clock,
  Failure,
  FencingNumber,
  Metrics,
  Millis,
  Offset,
  StepId,
  TargetId,
  WeightVersion,
} from '@hibiscushill/base';
import type { Trainer } from '@hibiscushill/config';
import type { NewRecord } from '@hibiscushill/log';
import type { ResultAsync } from 'neverthrow';

import type { ClaimReader } from './history';
import type { OwnerBounds } from './owner-term';
import type { SampleRunner } from './samples';
import type { StragglerPolicy } from './stragglers';

/** A lease of the trainer's duty. */
export interface OwnerLease {
  /** The claim's fencing number. */
  readonly fencing: FencingNumber;
  /** Whether the lease holds for so many milliseconds more, read from the clock at the call. */
  covers(ms: Millis): boolean;
}

/** What a desk needs. */
export interface TrainerDeskDeps {
  /** The trainer as it is declared now. */
  readonly trainer: () => Trainer;
  /** Folds the claims of the trainer's stream. */
  readonly claims: ClaimReader;
  /** Appends to the trainer's stream; an unknown outcome is a failure that `may-have-run`. */
  readonly append: (records: readonly NewRecord[]) => ResultAsync<Offset, Failure>;
  readonly runner: SampleRunner;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly stragglers?: StragglerPolicy;
  /** Targets that are out of rotation for the trainer. */
  readonly excluded?: () => ReadonlySet<TargetId>;
  readonly bounds?: Partial<OwnerBounds>;
}

/** The answer to a new step. */
export interface StepCreated {
  readonly step: StepId;
  readonly samples: number;
  readonly digest: string;
}

/** The answer to a publication. */
export interface WeightsPublished {
  readonly version: WeightVersion;
}

/** How samples are asked for. */
export interface SampleQuery {
  readonly step: StepId;
  /** The highest number that the trainer has, or zero. */
  readonly after: number;
  /** How long to wait for a sample, in milliseconds. */
  readonly waitMs: Millis;
  /** Ends the wait when the trainer goes away. */
  readonly signal?: AbortSignal;
}
