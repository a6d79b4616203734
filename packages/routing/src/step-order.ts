/** Which groups of training steps go first when not all of them can be in time. */
import type { Millis, WallTime } from '@hibiscushill/base';

/** A group of items that isn't complete. */
export interface StepGroup {
  readonly id: string;
  /** The expected output tokens that each of its unfinished items still needs. */
  readonly tokens: readonly number[];
}

/** A step of a trainer, which goes on once it has enough complete groups. */
export interface TrainingStep {
  readonly id: string;
  readonly dueAt: WallTime;
  /** How many complete groups its trainer waits for. */
  readonly wantedGroups: number;
  readonly completeGroups: number;
  readonly groups: readonly StepGroup[];
}

/** The engines for which steps compete. */
export interface StepEngines {
  readonly slots: number;
  /** The recent time between two events of a stream at the fastest engine. */
  readonly fastestMsPerEvent: Millis;
  /** The same, averaged over all engines. */
  readonly averageMsPerEvent: Millis;
}

/**
 * When a group starts: for a step that can be in time (`in-time`), as one of a later step that can
 * still be complete when due (`possible`), though it will be late (`late`), or as one that its
 * trainer can do without (`spare`).
 */
export type GroupClass = 'in-time' | 'possible' | 'late' | 'spare';

/** The groups in the order in which they start. */
export interface RankedGroup {
  readonly step: string;
  readonly group: string;
  readonly class: GroupClass;
}

/** What is known of a step when its groups are ranked. */
interface StepPlan {
  readonly step: TrainingStep;
  readonly missing: number;
  /** Those that can be complete when due, the ones with the least work first. */
  readonly possible: readonly StepGroup[];
  readonly impossible: readonly StepGroup[];
  /** How long all engines together take for the missing groups. */
  readonly workMs: Millis;
}

const CLASSES: readonly GroupClass[] = ['in-time', 'possible', 'late', 'spare'];
// A step that is later than this goes first, so that steps that can be in time don't starve it.
const MAX_LATENESS_MS = 10_000;

/**
 * Orders the groups of competing steps. Load pattern: several trainers need more of a service's
 * engines than there are, so that by due time alone most steps become late.
 *
 * Of the steps that can't all be in time, those with the most work for their missing groups are put
 * off, which leaves as many steps in time as possible (Moore and Hodgson's rule); the others go by
 * due time. A step that can't reach its wanted groups any more comes after them, its groups with the
 * least work first. Every group is ranked, so that no engine is idle while one waits.
 */
export class StepOrder {
  /**
   * Ranks groups.
   *
   * @param now - the current time
   * @param steps - the open steps of all trainers that compete for the engines
   * @returns the groups, the first to start first; undefined if everything can be in time
   */
  rank(
    now: WallTime,
    steps: readonly TrainingStep[],
    engines: StepEngines,
  ): RankedGroup[] | undefined {
    const plans = steps
      .map((step) => createPlan(step, now, engines))
      .sort((a, b) => a.step.dueAt - b.step.dueAt);
    const starved = plans.filter(({ step }) => now - step.dueAt > MAX_LATENESS_MS);
    const reachable = plans.filter(
      (plan) => !starved.includes(plan) && plan.possible.length >= plan.missing,
    );
    const inTime = listInTime(reachable, now, sumWork(starved));
    const isAllInTime =
      inTime.length === plans.length && plans.every(({ impossible }) => impossible.length === 0);
    if (isAllInTime) return undefined;
    const first = new Set([...starved, ...inTime]);
    const ranked = plans.flatMap((plan) => rankGroups(plan, first.has(plan)));
    const starvedIds = new Set(starved.map(({ step }) => step.id));
    return ranked.sort(
      (a, b) =>
        CLASSES.indexOf(a.class) - CLASSES.indexOf(b.class) ||
        Number(starvedIds.has(b.step)) - Number(starvedIds.has(a.step)),
    );
  }
}

function createPlan(
  step: TrainingStep,
  now: WallTime,
  { slots, fastestMsPerEvent, averageMsPerEvent }: StepEngines,
): StepPlan {
  const isPossible = ({ tokens }: StepGroup): boolean =>
    now + Math.max(0, ...tokens) * fastestMsPerEvent <= step.dueAt;
  const sorted = [...step.groups].sort((a, b) => countTokens(a) - countTokens(b));
  const possible = sorted.filter(isPossible);
  const impossible = sorted.filter((group) => !isPossible(group));
  const missing = Math.max(0, step.wantedGroups - step.completeGroups);
  const needed = [...possible, ...impossible].slice(0, missing);
  const tokens = needed.reduce((sum, group) => sum + countTokens(group), 0);
  return { step, missing, possible, impossible, workMs: (tokens * averageMsPerEvent) / slots };
}

/** Lists the steps that are in time if they go first, by due time; as many as possible. */
function listInTime(plans: readonly StepPlan[], now: WallTime, busyMs: Millis): StepPlan[] {
  const inTime: StepPlan[] = [];
  plans.forEach((plan) => {
    inTime.push(plan);
    if (now + busyMs + sumWork(inTime) <= plan.step.dueAt || plan.missing === 0) return;
    const [largest] = [...inTime].sort((a, b) => b.workMs - a.workMs);
    inTime.splice(inTime.indexOf(largest!), 1);
  });
  return inTime;
}

function rankGroups(plan: StepPlan, isFirst: boolean): RankedGroup[] {
  const { step, missing, possible, impossible } = plan;
  return [...possible, ...impossible].map((group, index) => {
    const isPossible = index < possible.length;
    const later: GroupClass = isPossible ? 'possible' : 'late';
    const wanted: GroupClass = isFirst ? 'in-time' : later;
    return { step: step.id, group: group.id, class: index < missing ? wanted : 'spare' };
  });
}

function sumWork(plans: readonly StepPlan[]): Millis {
  return plans.reduce((sum, { workMs }) => sum + workMs, 0);
}

function countTokens({ tokens }: StepGroup): number {
  return tokens.reduce((sum, count) => sum + count, 0);
}
