/** The records of a trainer's stream. Each names the claim under which it was written. */
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

/** The kinds of records that a step owner writes. */
export const RECORD_KINDS = {
  publish: 'weights.publish',
  create: 'step.create',
  numbers: 'step.numbers',
  done: 'step.done',
  snapshot: 'trainer.snapshot',
} as const;

const NAME = /^[A-Za-z0-9._-]{1,128}$/;

const whole = z.number().int().min(0);

function branded<T>(schema: z.ZodType): z.ZodType<T> {
  return schema as z.ZodType<T>;
}

const claim = branded<FencingNumber>(whole);

/** A step's id as a trainer may choose it. */
export const StepName = branded<StepId>(z.string().regex(NAME, 'must be a short name'));

/** A weight version as a trainer may choose it. */
export const VersionNumber = branded<WeightVersion>(whole.max(Number.MAX_SAFE_INTEGER));

/** A group of samples that share a prompt. */
export const SampleGroup = z.strictObject({
  id: z.string().regex(NAME, 'must be a short name'),
  prompt: z.string().max(1_000_000),
  count: z.number().int().min(1).max(4096),
  maxTokens: z.number().int().min(1).max(1_000_000),
  seed: z.number().int().optional(),
});

/** The groups of a step, each with its own id. */
export const SampleGroups = z
  .array(SampleGroup)
  .min(1)
  .max(4096)
  .refine((groups) => new Set(groups.map((group) => group.id)).size === groups.length, {
    message: 'group ids must differ',
  });

const SegmentRecord = z.object({
  version: branded<WeightVersion>(whole),
  fromToken: whole,
  toToken: whole,
});

const PayloadRecord = z.object({
  target: branded<TargetId>(z.string()),
  incarnation: branded<IncarnationId>(z.string()),
  attempt: branded<AttemptId>(z.string()),
  whole: z.boolean(),
});

/** A sample that was given a number. */
export const NumberedSample = z.object({
  id: branded<SampleId>(z.string()),
  digest: z.string(),
  segments: z.array(SegmentRecord),
  tokens: whole,
  payload: PayloadRecord,
});

/** A publication of weights. */
export const PublishRecord = z.object({ claim, version: VersionNumber, source: z.string() });

/** A new step. */
export const CreateRecord = z.object({
  claim,
  step: StepName,
  groups: SampleGroups,
  digest: z.string(),
});

/** Which sample has which number, which numbers are void, and how far the cursor has come. */
export const NumbersRecord = z.object({
  claim,
  step: StepName,
  from: z.number().int().min(1),
  samples: z.array(NumberedSample),
  voids: z.array(z.number().int().min(1)),
  passed: whole,
});

/** A step's end. */
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
  last: whole,
  passed: whole,
  end: z.enum(['open', 'complete', 'expired']),
});

/** The state after all records before it, for readers that find the earlier ones trimmed. */
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

/** Why a step is over, or that it is not. */
export type StepEnd = StepSnapshot['end'];
