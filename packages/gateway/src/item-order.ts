/** The order in which waiting items are offered to engines. */
import type { Clock, Logger, Metrics, MonoTime } from '@hibiscushill/base';
import {
  type GroupClass,
  type RankedGroup,
  type StepEngines,
  StepOrder,
  type TrainingStep,
} from '@hibiscushill/routing';

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

  /**
   * Sorts waiting items into parts, of which each gets the engines that those before it leave free.
   *
   * @returns the parts, the most urgent first, each with its most urgent items first
   */
  sortInParts(tasks: readonly ItemTask[]): ItemTask[][] {
    return [this.sort(tasks)];
  }

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

/** The clock, the engines, and where changes are reported. */
export interface StepAwareOrderOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Describes the engines that run an item's submission; undefined while no speed is known. */
  readonly describeEngines: (task: ItemTask) => CompetedEngines | undefined;
}

/** The engines of a route's services, for which submissions of such routes compete. */
export interface CompetedEngines extends StepEngines {
  /** Equal for routes with the same services. */
  readonly services: string;
}

/** A submission whose items are waited for. */
interface OpenStep {
  readonly submission: Submission;
  readonly itemsByGroup: ReadonlyMap<string, readonly ItemSpec[]>;
}

interface RankedTask {
  readonly task: ItemTask;
  readonly position: number;
}

/** The rank of each group, by submission and group. */
type GroupRanks = ReadonlyMap<string, { readonly class: GroupClass; readonly position: number }>;

// An item that runs has an unknown part of its output; on average, half is left.
const RUNNING_WORK_FRACTION = 0.5;
// Items are placed after each end of a run; ranking 10,000 items takes 20 ms.
const MAX_RANKS_AGE_MS = 100;
// Groups that were not ranked yet go as by due time alone.
const PARTS = ['unranked', 'in-time', 'possible', 'late', 'spare'] as const;

/**
 * The longest-first order, but for submissions that can't all be in time: of these, groups that can
 * be go first, for as many steps in time as possible.
 */
export class StepAwareOrder extends LongestFirstOrder {
  readonly #options: StepAwareOrderOptions;

  readonly #stepOrder = new StepOrder();

  readonly #steps = new Map<SubmissionId, OpenStep>();

  /** Undefined once a submission was added or removed. */
  #ranks: { readonly ranks: GroupRanks; readonly at: MonoTime } | undefined;

  #isShort = false;

  /** @param options - the clock and the engines */
  constructor(options: StepAwareOrderOptions) {
    super();
    this.#options = options;
  }

  override addSubmission(submission: Submission, items: readonly ItemSpec[]): void {
    super.addSubmission(submission, items);
    const itemsByGroup = new Map<string, ItemSpec[]>();
    items.forEach((item) => {
      const others = itemsByGroup.get(item.group) ?? [];
      itemsByGroup.set(item.group, others);
      others.push(item);
    });
    this.#steps.set(submission.terms.id, { submission, itemsByGroup });
    this.#ranks = undefined;
  }

  override removeSubmission(submission: Submission): string[] {
    this.#steps.delete(submission.terms.id);
    this.#ranks = undefined;
    return super.removeSubmission(submission);
  }

  override sortInParts(tasks: readonly ItemTask[]): ItemTask[][] {
    const sorted = this.sort(tasks);
    const ranks = this.#getRanks(tasks);
    if (ranks.size === 0) return [sorted];
    const parts = new Map<GroupClass | 'unranked', RankedTask[]>(PARTS.map((part) => [part, []]));
    sorted.forEach((task) => {
      const rank = ranks.get(createGroupKey(task));
      parts.get(rank?.class ?? 'unranked')!.push({ task, position: rank?.position ?? 0 });
    });
    // In the other parts, the longest items decide when a step is complete, and so go first. The sort
    // is stable: so they do within a group.
    parts.get('possible')!.sort((a, b) => a.position - b.position);
    return [...parts.values()]
      .filter((part) => part.length > 0)
      .map((part) => part.map(({ task }) => task));
  }

  #getRanks(tasks: readonly ItemTask[]): GroupRanks {
    const now = this.#options.clock.mono();
    if (!this.#ranks || now - this.#ranks.at >= MAX_RANKS_AGE_MS) {
      this.#ranks = { ranks: this.#rankGroups(tasks), at: now };
      this.#reportShortage(this.#ranks.ranks.size > 0);
    }
    return this.#ranks.ranks;
  }

  /** Ranks the groups of all services whose submissions can't all be in time. */
  #rankGroups(tasks: readonly ItemTask[]): GroupRanks {
    const byService = new Map<string, { engines: CompetedEngines; tasks: ItemTask[] }>();
    const known = new Map<Submission, CompetedEngines | undefined>();
    tasks.forEach((task) => {
      const { submission } = task;
      if (!known.has(submission)) known.set(submission, this.#options.describeEngines(task));
      const engines = known.get(submission);
      if (!engines) return;
      const entry = byService.get(engines.services) ?? { engines, tasks: [] };
      byService.set(engines.services, entry);
      entry.tasks.push(task);
    });
    const now = this.#options.clock.wall();
    const ranked: RankedGroup[] = [...byService.values()].flatMap((entry) => {
      const steps = this.#createSteps(entry.tasks);
      return this.#stepOrder.rank(now, steps, entry.engines) ?? [];
    });
    return new Map(
      ranked.map(({ step, group, class: rank }, position) => [
        `${step} ${group}`,
        { class: rank, position },
      ]),
    );
  }

  #createSteps(tasks: readonly ItemTask[]): TrainingStep[] {
    const waiting = new Map(tasks.map((task) => [task.spec, task]));
    return [...new Set(tasks.map((task) => task.submission))]
      .map(({ terms }) => this.#steps.get(terms.id))
      .filter((step) => step !== undefined)
      .map((step) => createStep(step, waiting));
  }

  #reportShortage(isShort: boolean): void {
    if (isShort === this.#isShort) return;
    this.#isShort = isShort;
    const { metrics, logger } = this.#options;
    metrics.gauge('items.short', Number(isShort));
    logger.info('Whether all waiting items can be in time has changed.', { canBe: !isShort });
  }
}

function createStep(
  { submission, itemsByGroup }: OpenStep,
  waiting: ReadonlyMap<ItemSpec, ItemTask>,
): TrainingStep {
  const { id, submittedAt, dueMs, wantedGroups } = submission.terms;
  const groups = [...itemsByGroup].map(([group, items]) => ({
    id: group,
    tokens: items
      .filter((item) => !submission.hasResult(item.id))
      .map((item) => countTokensLeft(item, waiting.get(item))),
  }));
  const open = groups.filter(({ tokens }) => tokens.length > 0);
  return {
    id,
    dueAt: (submittedAt + dueMs) as TrainingStep['dueAt'],
    wantedGroups: wantedGroups ?? itemsByGroup.size,
    completeGroups: groups.length - open.length,
    groups: open,
  };
}

/** How many tokens an item still needs; the task is undefined while it runs. */
function countTokensLeft({ expectedTokens = 0 }: ItemSpec, task: ItemTask | undefined): number {
  if (!task) return expectedTokens * RUNNING_WORK_FRACTION;
  return Math.max(0, expectedTokens - (task.begun?.events ?? 0));
}

function createGroupKey({ submission, group }: ItemTask): string {
  return `${submission.terms.id} ${group}`;
}
