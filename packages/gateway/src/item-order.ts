/** The order in which waiting items are offered to engines. */
import type { ItemSpec } from './caller-port';
import type { ItemTask } from './item-task';
import type { Submission, SubmissionId } from './submission';

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

  /**
   * Forgets a submission, whose items are no longer sorted.
   *
   * @param submission - the submission, which may be unknown
   * @returns those of its groups that no other registered submission has
   */
  abstract removeSubmission(submission: Submission): string[];
}

/** The groups of a submission. */
interface SubmissionGroups {
  readonly all: readonly string[];
  /** Those that its trainer can do without. */
  readonly optional: ReadonlySet<string>;
  /** Those that an earlier submission had. */
  readonly resubmitted: ReadonlySet<string>;
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
  readonly #groupsBySubmission = new Map<SubmissionId, SubmissionGroups>();

  /** How many registered submissions have a group. */
  readonly #submissionCounts = new Map<string, number>();

  /** How many submissions and groups are registered. */
  get size(): number {
    return this.#groupsBySubmission.size + this.#submissionCounts.size;
  }

  override addSubmission(submission: Submission, items: readonly ItemSpec[]): void {
    const { id, wantedGroups } = submission.terms;
    if (this.#groupsBySubmission.has(id)) return;
    const tokensByGroup = new Map<string, number>();
    items.forEach(({ group, expectedTokens = 0 }) => {
      tokensByGroup.set(group, Math.max(tokensByGroup.get(group) ?? 0, expectedTokens));
    });
    const all = [...tokensByGroup.keys()];
    const resubmitted = new Set(all.filter((group) => this.#submissionCounts.has(group)));
    const optional = all
      .filter((group) => !resubmitted.has(group))
      .sort((a, b) => (tokensByGroup.get(b) ?? 0) - (tokensByGroup.get(a) ?? 0))
      .slice(0, Math.max(0, all.length - (wantedGroups ?? all.length)));
    this.#groupsBySubmission.set(id, { all, optional: new Set(optional), resubmitted });
    all.forEach((group) => {
      this.#submissionCounts.set(group, (this.#submissionCounts.get(group) ?? 0) + 1);
    });
  }

  override removeSubmission({ terms: { id } }: Submission): string[] {
    const groups = this.#groupsBySubmission.get(id)?.all ?? [];
    this.#groupsBySubmission.delete(id);
    return groups.filter((group) => {
      const count = (this.#submissionCounts.get(group) ?? 0) - 1;
      if (count > 0) this.#submissionCounts.set(group, count);
      else this.#submissionCounts.delete(group);
      return count <= 0;
    });
  }

  override sort(tasks: readonly ItemTask[]): ItemTask[] {
    return tasks
      .map((task) => this.#createRank(task))
      .sort(compareRanks)
      .map((rank) => rank.task);
  }

  #createRank(task: ItemTask): ItemRank {
    const { terms } = task.submission;
    const groups = this.#groupsBySubmission.get(terms.id);
    return {
      task,
      hasOutput: task.hasOutput,
      isOptional: groups?.optional.has(task.group) ?? false,
      dueAt: terms.submittedAt + terms.dueMs,
      isResubmitted: groups?.resubmitted.has(task.group) ?? false,
      expectedTokens: task.spec.expectedTokens ?? 0,
    };
  }
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
