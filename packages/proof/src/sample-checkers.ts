/** Checkers of delivered samples, one for each promise. */
import type { DeliveredSample } from './trainer-client';
import type { Violation } from './request-checkers';

/** A sample as a trainer got it. */
export interface Delivery {
  readonly trainer: string;
  readonly step: string;
  readonly sample: DeliveredSample;
  /** The newest version whose publication was answered before the samples were asked for. */
  readonly newestBefore: number;
}

/** A run of tokens in an engine's own record: from `from` up to but without `to`. */
export interface EngineSegment {
  readonly v: number;
  readonly from: number;
  readonly to: number;
}

/** What an engine did for one request, by its own record. */
export interface EngineRun {
  readonly requestId: string;
  readonly segments: readonly EngineSegment[];
}

/** A step that a trainer asked for. */
export interface ExpectedStep {
  readonly trainer: string;
  readonly step: string;
  readonly samples: number;
}

/** What the checkers read. */
export interface SampleEvidence {
  readonly deliveries: readonly Delivery[];
  readonly engineRuns: readonly EngineRun[];
  readonly steps: readonly ExpectedStep[];
  /** The most versions that a sample may be behind. */
  readonly versionBound: number;
}

/**
 * Runs every checker.
 *
 * @param evidence - the run
 * @returns what was broken
 */
export function checkSamples(evidence: SampleEvidence): Violation[] {
  return [checkLabels, checkStaleness, checkDelivery, checkSteps].flatMap((check) =>
    check(evidence),
  );
}

function checkLabels({ deliveries, engineRuns }: SampleEvidence): Violation[] {
  const runs = new Map<string, EngineRun[]>();
  engineRuns.forEach((run) => {
    const known = runs.get(run.requestId) ?? [];
    known.push(run);
    runs.set(run.requestId, known);
  });
  return deliveries.flatMap(({ sample }) =>
    sample.tokens
      .map((_, index) => index)
      .filter((index) => !isTrueLabel(sample, index, runs.get(sample.id) ?? []))
      .slice(0, 1)
      .map((index) => violation('true labels', sample, `token ${index}`)),
  );
}

function isTrueLabel(sample: DeliveredSample, index: number, runs: readonly EngineRun[]): boolean {
  const labels = sample.segments.filter((part) => covers(part, index));
  if (labels.length !== 1) return false;
  const version = labels[0]?.version;
  return runs.some((run) =>
    run.segments.some((part) => part.from <= index && index < part.to && part.v === version),
  );
}

function covers(part: { fromToken: number; toToken: number }, index: number): boolean {
  return part.fromToken <= index && index < part.toToken;
}

function checkStaleness({ deliveries, versionBound }: SampleEvidence): Violation[] {
  return deliveries
    .filter(({ sample, newestBefore }) => {
      const oldest = Math.min(...sample.segments.map((part) => part.version));
      return newestBefore - oldest > versionBound;
    })
    .map(({ sample, newestBefore }) => violation('fresh', sample, `newest was ${newestBefore}`));
}

function checkDelivery({ deliveries }: SampleEvidence): Violation[] {
  const seen = new Set<string>();
  const last = new Map<string, number>();
  return deliveries.flatMap(({ step, trainer, sample }) => {
    const cursor = `${trainer}/${step}`;
    const isRepeat = seen.has(sample.id) || sample.number <= (last.get(cursor) ?? 0);
    seen.add(sample.id);
    last.set(cursor, sample.number);
    return isRepeat ? [violation('delivered once', sample, `number ${sample.number}`)] : [];
  });
}

function checkSteps({ deliveries, steps }: SampleEvidence): Violation[] {
  return steps.flatMap(({ trainer, step, samples }) => {
    const own = deliveries.filter((one) => one.trainer === trainer && one.step === step);
    if (own.length === samples) return [];
    const detail = `${own.length} of ${samples} samples`;
    return [{ promise: 'every step completes', request: `${trainer}/${step}`, detail }];
  });
}

function violation(promise: string, sample: DeliveredSample, detail: string): Violation {
  return { promise, request: sample.id, detail };
}
