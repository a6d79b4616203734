/** Checkers of delivered samples, one for each invariant. */
import type { DeliveredSample } from './trainer-client';
import type { Violation } from './request-checkers';

/** A sample that a trainer received. */
export interface Delivery {
  readonly trainer: string;
  readonly step: string;
  readonly sample: DeliveredSample;
  /** The newest weight version whose publication was confirmed before the sample was requested. */
  readonly newestVersionAtRequest: number;
}

/** Tokens of one weight version in an engine's record, from `from` up to but without `to`. */
export interface EngineSegment {
  /** The weight version. */
  readonly v: number;
  readonly from: number;
  readonly to: number;
}

/** What an engine generated for one request, as it recorded it. */
export interface EngineRun {
  readonly requestId: string;
  readonly segments: readonly EngineSegment[];
}

/** A step that a trainer created. */
export interface ExpectedStep {
  readonly trainer: string;
  readonly step: string;
  /** The number of samples. */
  readonly samples: number;
}

/** What the checkers of a run read. */
export interface SampleEvidence {
  readonly deliveries: readonly Delivery[];
  readonly engineRuns: readonly EngineRun[];
  readonly steps: readonly ExpectedStep[];
  /** How many versions a sample may be behind the newest one at most. */
  readonly maxVersionsBehind: number;
}

/**
 * Runs every checker.
 *
 * @param evidence - the run
 * @returns the violations
 */
export function checkSamples(evidence: SampleEvidence): Violation[] {
  return [checkLabels, checkStaleness, checkDeliveredOnce, checkCompleteSteps].flatMap((check) =>
    check(evidence),
  );
}

function checkLabels({ deliveries, engineRuns }: SampleEvidence): Violation[] {
  const runsByRequest = new Map<string, EngineRun[]>();
  engineRuns.forEach((run) => {
    const runs = runsByRequest.get(run.requestId) ?? [];
    runs.push(run);
    runsByRequest.set(run.requestId, runs);
  });
  return deliveries.flatMap(({ sample }) =>
    sample.tokens
      .map((_, index) => index)
      .filter((index) => !isCorrectLabel(sample, index, runsByRequest.get(sample.id) ?? []))
      .slice(0, 1)
      .map((index) => createViolation('labels match the engine', sample, `token ${index}`)),
  );
}

/** Whether a token has exactly one label, with a version that an engine recorded for it. */
function isCorrectLabel(
  sample: DeliveredSample,
  index: number,
  runs: readonly EngineRun[],
): boolean {
  const labels = sample.segments.filter((segment) => covers(segment, index));
  if (labels.length !== 1) return false;
  const version = labels[0]?.version;
  return runs.some((run) =>
    run.segments.some(
      (segment) => segment.from <= index && index < segment.to && segment.v === version,
    ),
  );
}

function covers(segment: { fromToken: number; toToken: number }, index: number): boolean {
  return segment.fromToken <= index && index < segment.toToken;
}

function checkStaleness({ deliveries, maxVersionsBehind }: SampleEvidence): Violation[] {
  return deliveries
    .filter(({ sample, newestVersionAtRequest }) => {
      const oldest = Math.min(...sample.segments.map((segment) => segment.version));
      return newestVersionAtRequest - oldest > maxVersionsBehind;
    })
    .map(({ sample, newestVersionAtRequest }) =>
      createViolation(
        'bounded staleness',
        sample,
        `the newest version was ${newestVersionAtRequest}`,
      ),
    );
}

function checkDeliveredOnce({ deliveries }: SampleEvidence): Violation[] {
  const seenIds = new Set<string>();
  const lastNumbers = new Map<string, number>();
  return deliveries.flatMap(({ step, trainer, sample }) => {
    const stepKey = `${trainer}/${step}`;
    const isDuplicate = seenIds.has(sample.id) || sample.number <= (lastNumbers.get(stepKey) ?? 0);
    seenIds.add(sample.id);
    lastNumbers.set(stepKey, sample.number);
    return isDuplicate
      ? [createViolation('delivered once and in order', sample, `number ${sample.number}`)]
      : [];
  });
}

function checkCompleteSteps({ deliveries, steps }: SampleEvidence): Violation[] {
  return steps.flatMap(({ trainer, step, samples }) => {
    const delivered = deliveries.filter(
      (delivery) => delivery.trainer === trainer && delivery.step === step,
    );
    if (delivered.length === samples) return [];
    const detail = `${delivered.length} of ${samples} samples`;
    return [{ promise: 'every step completes', request: `${trainer}/${step}`, detail }];
  });
}

function createViolation(invariant: string, sample: DeliveredSample, detail: string): Violation {
  return { promise: invariant, request: sample.id, detail };
}
