/** The specifications of a step's samples. */
import type { Trainer } from '@hibiscushill/config';

import { formatSampleId, type SampleSpec } from './sample-runner';
import type { StepState } from './step-state';

/**
 * Lists the specifications of a step's samples.
 *
 * @param step - the step
 * @param trainer - the declaration of its trainer
 * @returns one specification per sample, in the order of the groups
 */
export function listSampleSpecs(step: StepState, trainer: Trainer): SampleSpec[] {
  return step.groups.flatMap((group) =>
    Array.from({ length: group.count }, (_, index) => ({
      trainer: trainer.name,
      team: trainer.team,
      service: trainer.service,
      step: step.stepId,
      group: group.id,
      index,
      sample: formatSampleId(trainer.name, step.stepId, group.id, index),
      prompt: group.prompt,
      maxTokens: group.maxTokens,
      priority: 0,
      ...(group.seed === undefined ? {} : { seed: group.seed + index }),
    })),
  );
}
