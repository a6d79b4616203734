/**
 * The schemas of the records in a trainer's log stream. Each record names the claim (the fencing
 * number) of the owner that wrote it.
 */
import type {
  AttemptId,
  FencingNumber,
  IncarnationId,
  SampleId,
  StepId,
  TargetId,
  WallTime,
  WeightVersion,
} from '@hibiscushill/base';
import { z } from 'zod';

/** The kinds of records that the trainer's owner writes. */
export const RECORD_KINDS = {
  publish: 'weights.publish',
  create: 'step.create',
  numbers: 'step.numbers',
  done: 'step.done',
  snapshot: 'trainer.snapshot',
} as const;

const NAME_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;

const nonNegativeInteger = z.number().int().min(0);

function branded<T>(schema: z.ZodType): z.ZodType<T> {
  return schema as z.ZodType<T>;
}

const claim = branded<FencingNumber>(nonNegativeInteger);

/** A step id, which the trainer chooses. */
export const StepName = branded<StepId>(z.string().regex(NAME_PATTERN, 'must be a short name'));

/** A weight version, which the trainer chooses. */
export const VersionNumber = branded<WeightVersion>(
  nonNegativeInteger.max(Number.MAX_SAFE_INTEGER),
);

/**
 * A group of `count` samples that share a prompt. With a `seed`, the sample at index `i` uses
 * `seed + i`.
 */
export const SampleGroup = z.strictObject({
  id: z.string().regex(NAME_PATTERN, 'must be a short name'),
  prompt: z.string().max(1_000_000),
  count: z.number().int().min(1).max(4096),
  maxTokens: z.number().int().min(1).max(1_000_000),
  seed: z.number().int().optional(),
});

/** The groups of a step. Their ids are unique within the step. */
export const SampleGroups = z
  .array(SampleGroup)
  .min(1)
  .max(4096)
  .refine((groups) => new Set(groups.map((group) => group.id)).size === groups.length, {
    message: 'group ids must differ',
  });

const SegmentRecord = z.object({
  version: branded<WeightVersion>(nonNegativeInteger),
  fromToken: nonNegativeInteger,
  toToken: nonNegativeInteger,
});

const PayloadRecord = z.object({
  target: branded<TargetId>(z.string()),
  incarnation: branded<IncarnationId>(z.string()),
  attempt: branded<AttemptId>(z.string()),
  whole: z.boolean(),
});

/** A generated sample that was given a sequence number, and where its payload is kept. */
export const NumberedSample = z.object({
  id: branded<SampleId>(z.string()),
  digest: z.string(),
  segments: z.array(SegmentRecord),
  tokens: nonNegativeInteger,
  payload: PayloadRecord,
});

/** The trainer published a weight version. */
export const PublishRecord = z.object({ claim, version: VersionNumber, source: z.string() });

/** The trainer created a step. */
export const CreateRecord = z.object({
  claim,
  step: StepName,
  groups: SampleGroups,
  digest: z.string(),
});

/**
 * Sequence numbers of a step: `samples` get the numbers from `from` on, the numbers in `voids` are
 * withdrawn, and the trainer has confirmed all numbers up to `passed`.
 */
export const NumbersRecord = z.object({
  claim,
  step: StepName,
  from: z.number().int().min(1),
  samples: z.array(NumberedSample),
  voids: z.array(z.number().int().min(1)),
  passed: nonNegativeInteger,
});

/** A step ended: its samples were all delivered, or its trainer stopped asking for them. */
export const DoneRecord = z.object({
  claim,
  step: StepName,
  reason: z.enum(['complete', 'expired']),
});

const StepSnapshot = z.object({
  step: StepName,
  digest: z.string(),
  groups: z.array(SampleGroup),
  numbers: z.array(NumberedSample.nullable()),
  last: nonNegativeInteger,
  passed: nonNegativeInteger,
  end: z.enum(['open', 'complete', 'expired']),
});

/** The state after all earlier records, for readers that find those trimmed from the log. */
export const SnapshotRecord = z.object({
  claim,
  versions: z.array(
    z.object({
      version: VersionNumber,
      source: z.string(),
      publishedAt: branded<WallTime>(z.number()),
    }),
  ),
  steps: z.array(StepSnapshot),
});

export type SampleGroup = z.infer<typeof SampleGroup>;
export type NumberedSample = z.infer<typeof NumberedSample>;
export type PublishRecord = z.infer<typeof PublishRecord>;
export type CreateRecord = z.infer<typeof CreateRecord>;
export type NumbersRecord = z.infer<typeof NumbersRecord>;
export type DoneRecord = z.infer<typeof DoneRecord>;
export type SnapshotRecord = z.infer<typeof SnapshotRecord>;
export type StepSnapshot = z.infer<typeof StepSnapshot>;

/** Whether a step is still open, or why it ended. */
export type StepEnd = StepSnapshot['end'];
