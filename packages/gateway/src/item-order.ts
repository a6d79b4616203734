/** The order in which waiting items are offered to engines. */
import type { ItemSpec } from './caller-port';
import type { ItemTask } from './item-task';
import type { Submission } from './submission';

/** The sort key of an item, its fields in order of precedence. */
interface ItemRank {
  readonly task: ItemTask;
  readonly hasOutput: boolean;
  /** Whether the trainer can do without the item's group. */
  readonly isOptional: boolean;
  /** Wall time in milliseconds. */
  readonly dueAt: number;
  /** Whether an earlier submission had the same group. */
  readonly isResubmitted: boolean;
  readonly expectedTokens: number;
}

/** A policy for the order in which waiting items should start. */
export abstract class ItemOrder {
  /**
   * Sorts waiting items by urgency.
   *
   * @param tasks - the waiting items
   * @returns the same items, the most urgent first
   */
  abstract sort(tasks: readonly ItemTask[]): ItemTask[];

  /** Registers a submission and its items; must be called before its items are sorted. */
  abstract addSubmission(submission: Submission, items: readonly ItemSpec[]): void;
}

/**
 * Starts the items of the earliest due submission first, the longest of them first, since the
 * longest outputs decide when a training step is complete.
 *
 * Items that have output already come before all others. If a trainer needs only some of its
 * groups, those with the longest expected outputs become optional and come last.
 */
export class LongestFirstOrder extends ItemOrder {
  readonly #optionalGroups = new Set<string>();

  readonly #resubmittedGroups = new Set<string>();

  readonly #seenGroups = new Set<string>();

  override addSubmission(submission: Submission, items: readonly ItemSpec[]): void {
    const tokens = new Map<string, number>();
    items.forEach(({ group, expectedTokens = 0 }) => {
      tokens.set(group, Math.max(tokens.get(group) ?? 0, expectedTokens));
    });
    const isCarried = (group: string): boolean => this.#seenGroups.has(group);
    const own = [...tokens.keys()];
    const wanted = submission.terms.wantedGroups ?? own.length;
    own
      .filter((group) => !isCarried(group))
      .sort((a, b) => (tokens.get(b) ?? 0) - (tokens.get(a) ?? 0))
      .slice(0, Math.max(0, own.length - wanted))
      .forEach((group) => this.#optionalGroups.add(createGroupKey(submission, group)));
    own
      .filter(isCarried)
      .forEach((group) => this.#resubmittedGroups.add(createGroupKey(submission, group)));
    own.forEach((group) => this.#seenGroups.add(group));
  }

  override sort(tasks: readonly ItemTask[]): ItemTask[] {
    return tasks
      .map((task) => this.#createRank(task))
      .sort(compareRanks)
      .map((rank) => rank.task);
  }

  #createRank(task: ItemTask): ItemRank {
    const { terms } = task.submission;
    const key = createGroupKey(task.submission, task.group);
    return {
      task,
      hasOutput: task.hasOutput,
      isOptional: this.#optionalGroups.has(key),
      dueAt: terms.submittedAt + terms.dueMs,
      isResubmitted: this.#resubmittedGroups.has(key),
      expectedTokens: task.spec.expectedTokens ?? 0,
    };
  }
}

function createGroupKey(submission: Submission, group: string): string {
  return `${submission.terms.id} ${group}`;
}

function compareRanks(a: ItemRank, b: ItemRank): number {
  return (
    Number(b.hasOutput) - Number(a.hasOutput) ||
    Number(a.isOptional) - Number(b.isOptional) ||
    a.dueAt - b.dueAt ||
    Number(b.isResubmitted) - Number(a.isResubmitted) ||
    b.expectedTokens - a.expectedTokens
  );
}
