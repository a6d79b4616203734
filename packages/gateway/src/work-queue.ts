/** The order in which waiting items start. */
import type { ItemTask } from './item-task';
import type { Submission } from './submission';

/** What the order of an item depends on. */
interface Rank {
  readonly task: ItemTask;
  readonly isBegun: boolean;
  readonly dueAt: number;
  readonly isCarried: boolean;
  readonly groupTokens: number;
  readonly tokens: number;
}

/** Puts waiting items in the order in which they should start. */
export abstract class WorkOrder {
  /**
   * Orders waiting items.
   *
   * @param tasks - the waiting items
   * @returns the same items, the most urgent first
   */
  abstract sort(tasks: readonly ItemTask[]): ItemTask[];

  /** Takes note of a submission, before its items are ordered. */
  abstract note(submission: Submission): void;
}

/**
 * Answers steps of many groups of which the trainer waits for most but not all, with streams of
 * unlike length: begun texts first, then the step that is due first, groups that the trainer waits
 * for by name, groups that are expected to be short, and the longest item of a group.
 */
export class ShortGroupsFirst extends WorkOrder {
  readonly #groupTokens = new Map<string, number>();

  readonly #carried = new Set<string>();

  readonly #seen = new Set<string>();

  override note(submission: Submission): void {
    const own = new Set<string>();
    [...submission.items].forEach((item) => {
      const key = groupKey(submission, item.group);
      const tokens = Math.max(this.#groupTokens.get(key) ?? 0, item.expectedTokens ?? 0);
      this.#groupTokens.set(key, tokens);
      if (this.#seen.has(item.group)) this.#carried.add(key);
      own.add(item.group);
    });
    own.forEach((group) => this.#seen.add(group));
  }

  override sort(tasks: readonly ItemTask[]): ItemTask[] {
    return tasks
      .map((task) => this.#rank(task))
      .sort(compare)
      .map((rank) => rank.task);
  }

  #rank(task: ItemTask): Rank {
    const { terms } = task.submission;
    const key = groupKey(task.submission, task.group);
    return {
      task,
      isBegun: task.isBegun,
      dueAt: terms.submittedAt + terms.dueMs,
      isCarried: this.#carried.has(key),
      groupTokens: this.#groupTokens.get(key) ?? 0,
      tokens: task.spec.expectedTokens ?? 0,
    };
  }
}

function groupKey(submission: Submission, group: string): string {
  return `${submission.terms.id} ${group}`;
}

function compare(a: Rank, b: Rank): number {
  return (
    Number(b.isBegun) - Number(a.isBegun) ||
    a.dueAt - b.dueAt ||
    Number(b.isCarried) - Number(a.isCarried) ||
    a.groupTokens - b.groupTokens ||
    b.tokens - a.tokens
  );
}
