/** Order schedules over several keepers, and the check of what reached the platform. */
import fc from 'fast-check';
import { isSome } from 'fp-ts/Option';

import { DutyBench, type Member } from './duty-harness';

const ORDER_DEADLINE_MS = 1_000;
const STEP_MS = 100;
const MEMBERS = 2;

/** What the platform saw, in the order in which it came. */
export interface SeenOrder {
  readonly fencing: number;
  readonly at: number;
}

/** One thing that happens. */
export interface Event {
  readonly kind: 'stop' | 'wake' | 'cut' | 'heal' | 'outage' | 'back' | 'late' | 'prompt' | 'lose';
  readonly member: number;
  readonly afterMs: number;
}

/** Which safeguards are switched off, to see the check fail. */
export interface Weakness {
  readonly margin?: boolean;
  readonly sameTick?: boolean;
}

/** Makes schedules of events. */
export function createEvents(): fc.Arbitrary<Event[]> {
  const event = fc.record({
    kind: fc.constantFrom<Event['kind'][]>(
      ...([
        'stop',
        'stop',
        'wake',
        'wake',
        'cut',
        'heal',
        'outage',
        'back',
        'late',
        'prompt',
        'lose',
      ] as const),
    ),
    member: fc.integer({ min: 0, max: MEMBERS - 1 }),
    afterMs: fc.integer({ min: 1, max: 120 }).map((steps) => steps * STEP_MS),
  });
  return fc.array(event, { minLength: 6, maxLength: 14 });
}

/**
 * Runs a schedule while every holder writes orders as often as it may. An order reaches the
 * platform at once when its writer isn't cut from it, else at its deadline at the latest.
 *
 * @returns what the platform saw
 */
export async function runSchedule(
  events: readonly Event[],
  weakness: Weakness = {},
): Promise<SeenOrder[]> {
  const bench = new DutyBench();
  const keeper = weakness.margin
    ? { orderDeadlineMs: 0, driftMs: 0, rankStepMs: 0 }
    : { orderDeadlineMs: ORDER_DEADLINE_MS };
  [0.98, 1.02].forEach((rate, index) => bench.join(`p${index}`, { rate, keeper }));
  const orders = new OrderTraffic(bench, weakness);
  for (const event of events) {
    applyEvent(bench, event);
    for (let passed = 0; passed < event.afterMs; passed += STEP_MS) {
      await bench.pass(STEP_MS, STEP_MS);
      orders.step();
    }
  }
  bench.log.setFaults({ landLate: 0, loseAnswers: 0 });
  await bench.stop();
  return orders.seen();
}

/** Finds the first order of an older holder that came after one of a newer holder. */
export function findOlderAfterNewer(seen: readonly SeenOrder[]): SeenOrder | undefined {
  let highest = -1;
  return seen.find((order) => {
    const isOlder = order.fencing < highest;
    highest = Math.max(highest, order.fencing);
    return isOlder;
  });
}

class OrderTraffic {
  readonly #seen: SeenOrder[] = [];

  readonly #checked = new Map<Member, number>();

  constructor(
    readonly bench: DutyBench,
    readonly weakness: Weakness,
  ) {}

  step(): void {
    this.bench.members
      .filter((member) => !member.gate.isShut)
      .forEach((member) => {
        this.#write(member);
      });
  }

  seen(): SeenOrder[] {
    return [...this.#seen].sort((a, b) => a.at - b.at || a.fencing - b.fencing);
  }

  #write(member: Member): void {
    const fencing = this.weakness.sameTick ? this.#checkLater(member) : check(member);
    if (fencing === undefined) return;
    const now = this.bench.clock.mono();
    this.#seen.push({ fencing, at: now });
    // The bytes are in the kernel: they may still arrive until the deadline destroys the socket.
    this.#seen.push({ fencing, at: now + ORDER_DEADLINE_MS * 0.97 });
  }

  // A queue between check and write: what was checked one step ago is written now.
  #checkLater(member: Member): number | undefined {
    const before = this.#checked.get(member);
    const present = check(member);
    if (present === undefined) this.#checked.delete(member);
    else this.#checked.set(member, present);
    return before;
  }
}

function check(member: Member): number | undefined {
  const { lease } = member.keeper;
  return isSome(lease) && lease.value.covers(ORDER_DEADLINE_MS) ? lease.value.fencing : undefined;
}

function applyEvent(bench: DutyBench, event: Event): void {
  const member = bench.members[event.member];
  if (!member) return;
  if (event.kind === 'stop') member.gate.isShut = true;
  if (event.kind === 'wake') member.clock.wake();
  if (event.kind === 'cut') member.log.isCut = true;
  if (event.kind === 'heal') member.log.isCut = false;
  if (event.kind === 'outage') bench.log.setFaults({ outage: true });
  if (event.kind === 'back') bench.log.setFaults({ outage: false });
  if (event.kind === 'late') bench.log.setFaults({ landLate: 0.4, landLateMs: 4_000 });
  if (event.kind === 'prompt') bench.log.setFaults({ landLate: 0, loseAnswers: 0 });
  if (event.kind === 'lose') bench.log.setFaults({ loseAnswers: 0.5 });
}
