/** What the samples of a step are made from. */
import type { Trainer } from '@hibiscushill/config';

import { nameSample, type SampleSpec } from './samples';
import type { StepHistory } from './step-history';

/**
 * Lists the samples of a step.
 *
 * @param history - the step
 * @param trainer - the trainer as it is declared
 * @returns one specification a sample, in the order of the groups
 */
export function listSpecs(history: StepHistory, trainer: Trainer): SampleSpec[] {
  return history.groups.flatMap((group) =>
    Array.from({ length: group.count }, (_, index) => ({
      trainer: trainer.name,
      team: trainer.team,
      service: trainer.service,
      step: history.step,
      group: group.id,
      index,
      sample: nameSample(trainer.name, history.step, group.id, index),
      prompt: group.prompt,
      maxTokens: group.maxTokens,
      priority: 0,
      ...(group.seed === undefined ? {} : { seed: group.seed + index }),
    })),
  );
}
