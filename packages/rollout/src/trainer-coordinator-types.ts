/** The dependencies, parameters and results of a trainer coordinator. */
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

import type { ClaimReader } from './trainer-state';
import type { OwnerLimits } from './owner-term';
import type { SampleRunner } from './sample-runner';
import type { StragglerPolicy } from './stragglers';

/** A lease of the trainer's duty. */
export interface OwnerLease {
  /** The claim's fencing number. */
  readonly fencing: FencingNumber;
  /** Tells whether the lease will hold for at least this many milliseconds from the call. */
  covers(ms: Millis): boolean;
}

/** The trainer's declaration, its stream, and what generates its samples. */
export interface TrainerCoordinatorDeps {
  /** Returns the trainer's current declaration. */
  readonly getTrainer: () => Trainer;
  /** Determines the valid claim of the trainer's duty. */
  readonly claims: ClaimReader;
  /** Appends to the trainer's stream; an unknown outcome is a failure that `may-have-run`. */
  readonly append: (records: readonly NewRecord[]) => ResultAsync<Offset, Failure>;
  readonly runner: SampleRunner;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Default `NoHedging`. */
  readonly stragglers?: StragglerPolicy;
  /** Returns the targets that must not get samples of the trainer now. Default none. */
  readonly excludedTargets?: () => ReadonlySet<TargetId>;
  readonly limits?: Partial<OwnerLimits>;
}

/** The result of creating a step. */
export interface StepCreated {
  readonly step: StepId;
  /** How many samples the step has. */
  readonly samples: number;
  /** The digest of the step's groups, 32 hexadecimal digits. */
  readonly digest: string;
}

/** The result of publishing a weight version. */
export interface WeightsPublished {
  readonly version: WeightVersion;
}

/** A trainer's request for the samples after its cursor. */
export interface SampleQuery {
  readonly step: StepId;
  /** The cursor: the highest number that the trainer has received, or zero. It confirms receipt. */
  readonly after: number;
  /** How long to wait for a sample if there is none, in milliseconds. */
  readonly waitMs: Millis;
  /** Ends the wait when the trainer disconnects. */
  readonly signal?: AbortSignal;
}
