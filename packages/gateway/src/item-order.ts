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
 * Starts the items of the submission that is due first, and of these the longest, since the longest
 * outputs decide when a training step is complete.
 *
 * Items that have output come before all others, and groups that an earlier submission had before
 * the rest of their submission. If a trainer needs only some of its groups, those new ones with the
 * longest expected outputs are optional and come last.
 */
export class LongestFirstOrder extends ItemOrder {
  readonly #optionalGroups = new Set<string>();

  readonly #resubmittedGroups = new Set<string>();

  readonly #seenGroups = new Set<string>();

  override addSubmission(submission: Submission, items: readonly ItemSpec[]): void {
    const tokensByGroup = new Map<string, number>();
    items.forEach(({ group, expectedTokens = 0 }) => {
      tokensByGroup.set(group, Math.max(tokensByGroup.get(group) ?? 0, expectedTokens));
    });
    const isResubmitted = (group: string): boolean => this.#seenGroups.has(group);
    const groups = [...tokensByGroup.keys()];
    const wantedCount = submission.terms.wantedGroups ?? groups.length;
    groups
      .filter((group) => !isResubmitted(group))
      .sort((a, b) => (tokensByGroup.get(b) ?? 0) - (tokensByGroup.get(a) ?? 0))
      .slice(0, Math.max(0, groups.length - wantedCount))
      .forEach((group) => this.#optionalGroups.add(createGroupKey(submission, group)));
    groups
      .filter(isResubmitted)
      .forEach((group) => this.#resubmittedGroups.add(createGroupKey(submission, group)));
    groups.forEach((group) => this.#seenGroups.add(group));
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
