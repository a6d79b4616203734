/** The interface to the targets that generate samples. */
import type {
  AttemptId,
  Failure,
  IncarnationId,
  SampleId,
  ServiceId,
  StepId,
  TargetId,
  TeamId,
  TrainerId,
} from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';

import type { SegmentCollector, LabelledTokens } from './segments';

/** The prompt and parameters of a sample, and where it belongs. */
export interface SampleSpec {
  readonly trainer: TrainerId;
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly step: StepId;
  readonly group: string;
  /** The sample's place in its group, from zero. */
  readonly index: number;
  readonly sample: SampleId;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed?: number;
  /** The request's priority at the engine; higher values are served first. */
  readonly priority: number;
  /** The tokens of an earlier, incomplete response, which this response continues. */
  readonly resume?: LabelledTokens;
}

/** The place where a sample's payload (its tokens) is kept until the trainer has confirmed it. */
export interface PayloadRef {
  readonly target: TargetId;
  readonly incarnation: IncarnationId;
  readonly attempt: AttemptId;
  /** Whether the agent has every token; for a resumed attempt it has only the added ones. */
  readonly whole: boolean;
}

/** The labelled tokens of a generated sample, and where its payload is kept. */
export interface GeneratedSample extends LabelledTokens {
  readonly payload: PayloadRef;
}

/** The choice of a target, and the recipients of an attempt's progress. */
export interface RunOptions {
  /** The targets that must not be chosen. */
  readonly excludedTargets: ReadonlySet<TargetId>;
  /** Cancels the attempt at its target. */
  readonly signal: AbortSignal;
  /** Receives each chunk of the engine's response, so that an incomplete one can be resumed. */
  readonly collector: SegmentCollector;
  /** Called with the target as soon as one is chosen. */
  readonly onTargetChosen: (target: TargetId) => void;
}

/** Generates samples at the targets of a service. */
export abstract class SampleRunner {
  /**
   * Makes one attempt to generate a sample, at a target that the runner chooses. Every byte of the
   * engine's response is pushed to the collector in `options`, and the collector's `finish` yields
   * the returned tokens and segments.
   *
   * @param spec - the sample
   * @param options - the excluded targets, the signal and the collector
   * @returns the sample, whose payload the agent keeps until `release`
   */
  abstract run(spec: SampleSpec, options: RunOptions): ResultAsync<GeneratedSample, Failure>;

  /**
   * Reads a payload again from the agent that keeps it.
   *
   * @param payload - where it is kept
   * @returns the same tokens and segments; `incarnation_stale` when the agent has lost them
   */
  abstract fetch(payload: PayloadRef): ResultAsync<LabelledTokens, Failure>;

  /**
   * Tells the agent to delete a payload. The call is idempotent.
   *
   * @param payload - where it is kept
   */
  abstract release(payload: PayloadRef): void;
}

/**
 * Formats a sample's id, which is the same in every process.
 *
 * @param trainer - the trainer
 * @param step - the step
 * @param group - the group's id
 * @param index - the sample's place in its group, from zero
 * @returns the id, as in `TRAINER/STEP/GROUP/INDEX`
 */
export function formatSampleId(
  trainer: TrainerId,
  step: StepId,
  group: string,
  index: number,
): SampleId {
  return `${trainer}/${step}/${group}/${index}` as SampleId;
}

/**
 * Encodes the body of the request that generates a sample at an engine.
 *
 * @param spec - the sample, with the tokens to continue, if any
 * @returns the body for the engine's `POST /generate`, as JSON in UTF-8
 */
export function encodeGenerateBody(spec: SampleSpec): Uint8Array {
  const { maxTokens, priority, prompt, resume, seed, trainer } = spec;
  const body = {
    prompt,
    maxTokens,
    priority,
    trainer,
    ...(seed === undefined ? {} : { seed }),
    ...(resume ? { resume: { tokens: resume.tokens, from: resume.tokens.length } } : {}),
  };
  return new TextEncoder().encode(JSON.stringify(body));
}
