/** The order in which waiting items start. */
import type { ItemSpec } from './caller-port';
import type { ItemTask } from './item-task';
import type { Submission } from './submission';

/** What the order of an item depends on. */
interface Rank {
  readonly task: ItemTask;
  readonly isBegun: boolean;
  readonly isSpare: boolean;
  readonly dueAt: number;
  readonly isCarried: boolean;
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
  abstract note(submission: Submission, items: readonly ItemSpec[]): void;
}

/**
 * Answers steps whose trainer waits for most of their groups but not all, with streams of very
 * unlike length, of which the longest decide when the step is whole: begun texts first, then the
 * step that is due first, and in it the longest items; the groups that the trainer can do without
 * are those that are expected to take longest, and come after all others.
 */
export class LongestFirst extends WorkOrder {
  readonly #spare = new Set<string>();

  readonly #carried = new Set<string>();

  readonly #seen = new Set<string>();

  override note(submission: Submission, items: readonly ItemSpec[]): void {
    const tokens = new Map<string, number>();
    items.forEach(({ group, expectedTokens = 0 }) => {
      tokens.set(group, Math.max(tokens.get(group) ?? 0, expectedTokens));
    });
    const isCarried = (group: string): boolean => this.#seen.has(group);
    const own = [...tokens.keys()];
    const wanted = submission.terms.wantedGroups ?? own.length;
    own
      .filter((group) => !isCarried(group))
      .sort((a, b) => (tokens.get(b) ?? 0) - (tokens.get(a) ?? 0))
      .slice(0, Math.max(0, own.length - wanted))
      .forEach((group) => this.#spare.add(groupKey(submission, group)));
    own.filter(isCarried).forEach((group) => this.#carried.add(groupKey(submission, group)));
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
      isSpare: this.#spare.has(key),
      dueAt: terms.submittedAt + terms.dueMs,
      isCarried: this.#carried.has(key),
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
    Number(a.isSpare) - Number(b.isSpare) ||
    a.dueAt - b.dueAt ||
    Number(b.isCarried) - Number(a.isCarried) ||
    b.tokens - a.tokens
  );
}
