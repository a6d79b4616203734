/** What a sample is, and how one is run at a target. */
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

import type { SegmentCollector, TokenRun } from './segments';

/** What a sample is made from. */
export interface SampleSpec {
  readonly trainer: TrainerId;
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly step: StepId;
  readonly group: string;
  readonly index: number;
  readonly sample: SampleId;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed?: number;
  /** The engine's priority; a higher one goes first. */
  readonly priority: number;
  /** The tokens to go on from, after a broken try. */
  readonly resume?: TokenRun;
}

/** Where a sample's payload waits until the trainer's cursor passes it. */
export interface PayloadRef {
  readonly target: TargetId;
  readonly incarnation: IncarnationId;
  readonly attempt: AttemptId;
  /** Whether the agent holds every token; a resumed try holds only the tokens it added. */
  readonly whole: boolean;
}

/** A sample that was made, with its label. */
export interface SampleAnswer extends TokenRun {
  readonly payload: PayloadRef;
}

/** How a sample is run. */
export interface RunOptions {
  /** The targets that must not be chosen. */
  readonly exclude: ReadonlySet<TargetId>;
  /** Cancels the try at its target. */
  readonly signal: AbortSignal;
  /** Receives each piece of the engine's answer, so that a broken try can be resumed. */
  readonly progress: SegmentCollector;
  /** Told which target was chosen, as soon as it is. */
  readonly onTarget: (target: TargetId) => void;
}

/** Runs samples at the targets of a service. */
export abstract class SampleRunner {
  /**
   * Runs one try of a sample at a target of its choice, once. Every byte of the engine's answer
   * goes to `options.progress`; the answer's tokens and segments are what its `finish` gives.
   *
   * @param spec - what to make
   * @param options - where not to, how to cancel, and who collects the answer
   * @returns the labelled answer, kept by the agent until `release`
   */
  abstract run(spec: SampleSpec, options: RunOptions): ResultAsync<SampleAnswer, Failure>;

  /**
   * Reads a payload again from the agent that keeps it.
   *
   * @param payload - where it waits
   * @returns the same tokens and segments, or a failure when the agent no longer has them
   */
  abstract fetch(payload: PayloadRef): ResultAsync<TokenRun, Failure>;

  /**
   * Lets the agent forget a payload. Repeating it does no harm.
   *
   * @param payload - where it waits
   */
  abstract release(payload: PayloadRef): void;
}

/**
 * Names a sample.
 *
 * @param trainer - the trainer
 * @param step - the step
 * @param group - the group's id
 * @param index - the sample's place in its group, from zero
 * @returns the same id for the same place, in every process
 */
export function nameSample(
  trainer: TrainerId,
  step: StepId,
  group: string,
  index: number,
): SampleId {
  return `${trainer}/${step}/${group}/${index}` as SampleId;
}

/**
 * Writes the body of the request that makes a sample at an engine.
 *
 * @param spec - the sample, with the tokens to go on from
 * @returns the body for the engine's `POST /generate`
 */
export function encodeGenerate(spec: SampleSpec): Uint8Array {
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
