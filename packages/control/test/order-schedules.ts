/** Random schedules of faults while two processes send orders, and a check of what arrived. */
import fc from 'fast-check';
import { isSome } from 'fp-ts/Option';

import { DutyCluster, type TestProcess } from './duty-harness';

const ORDER_DEADLINE_MS = 1_000;
const STEP_MS = 100;
const PROCESSES = 2;

/** An order that reached the platform, with its time of arrival in milliseconds. */
export interface ReceivedOrder {
  readonly fencing: number;
  readonly at: number;
}

/**
 * A fault or its end, the process that it concerns, and the time until the next event. A process is
 * paused or resumed, or goes offline or online. For all processes, the log has an outage or
 * recovers, appends some records late or all on time, or loses some of its responses.
 */
export interface ScheduleEvent {
  readonly kind:
    'pause' | 'resume' | 'offline' | 'online' | 'outage' | 'recover' | 'late' | 'on-time' | 'lose';
  readonly process: number;
  readonly afterMs: number;
}

/** The safeguards that are switched off, to show that the check fails without them. */
export interface DisabledSafeguards {
  /**
   * Candidates wait for the end of the lease only, without the orders' deadline and clock drift.
   */
  readonly waitMargin?: boolean;
  /** Orders are written a step after the lease was checked, not in the same tick. */
  readonly sameTickWrite?: boolean;
}

/** Creates an arbitrary of schedules. */
export function createEvents(): fc.Arbitrary<ScheduleEvent[]> {
  const event = fc.record({
    kind: fc.constantFrom<ScheduleEvent['kind'][]>(
      ...([
        'pause',
        'pause',
        'resume',
        'resume',
        'offline',
        'online',
        'outage',
        'recover',
        'late',
        'on-time',
        'lose',
      ] as const),
    ),
    process: fc.integer({ min: 0, max: PROCESSES - 1 }),
    afterMs: fc.integer({ min: 1, max: 120 }).map((steps) => steps * STEP_MS),
  });
  return fc.array(event, { minLength: 6, maxLength: 14 });
}

/**
 * Runs a schedule while each process writes an order at every step in which its lease allows it.
 * Each order is recorded twice: as arriving at once and as arriving just before its deadline.
 *
 * @returns the orders that reached the platform, by time of arrival
 */
export async function runSchedule(
  events: readonly ScheduleEvent[],
  disabled: DisabledSafeguards = {},
): Promise<ReceivedOrder[]> {
  const cluster = new DutyCluster();
  const elector = disabled.waitMargin
    ? { orderDeadlineMs: 0, driftMs: 0, rankStepMs: 0 }
    : { orderDeadlineMs: ORDER_DEADLINE_MS };
  [0.98, 1.02].forEach((rate, index) => cluster.addProcess(`p${index}`, { rate, elector }));
  const orders = new OrderTraffic(cluster, disabled);
  for (const event of events) {
    applyEvent(cluster, event);
    for (let passed = 0; passed < event.afterMs; passed += STEP_MS) {
      await cluster.advance(STEP_MS, STEP_MS);
      orders.step();
    }
  }
  cluster.log.setFaults({ landLate: 0, loseAnswers: 0 });
  await cluster.stop();
  return orders.listReceived();
}

/** Finds the first order of an earlier holder that arrived after one of a later holder. */
export function findOlderAfterNewer(received: readonly ReceivedOrder[]): ReceivedOrder | undefined {
  let highest = -1;
  return received.find((order) => {
    const isOlder = order.fencing < highest;
    highest = Math.max(highest, order.fencing);
    return isOlder;
  });
}

class OrderTraffic {
  readonly #received: ReceivedOrder[] = [];

  readonly #checkedFencing = new Map<TestProcess, number>();

  constructor(
    readonly cluster: DutyCluster,
    readonly disabled: DisabledSafeguards,
  ) {}

  step(): void {
    this.cluster.processes
      .filter((process) => !process.gate.isClosed)
      .forEach((process) => {
        this.#write(process);
      });
  }

  listReceived(): ReceivedOrder[] {
    return [...this.#received].sort((a, b) => a.at - b.at || a.fencing - b.fencing);
  }

  #write(process: TestProcess): void {
    const fencing = this.disabled.sameTickWrite
      ? this.#checkLater(process)
      : findCoveredFencing(process);
    if (fencing === undefined) return;
    const now = this.cluster.clock.mono();
    this.#received.push({ fencing, at: now });
    // The kernel may hold the bytes and deliver them until the socket is destroyed at the deadline.
    this.#received.push({ fencing, at: now + ORDER_DEADLINE_MS * 0.97 });
  }

  // Simulates a queue between check and write: returns the fencing number checked one step before.
  #checkLater(process: TestProcess): number | undefined {
    const previous = this.#checkedFencing.get(process);
    const current = findCoveredFencing(process);
    if (current === undefined) this.#checkedFencing.delete(process);
    else this.#checkedFencing.set(process, current);
    return previous;
  }
}

/** Returns the fencing number of a lease that lasts beyond an order's deadline. */
function findCoveredFencing(process: TestProcess): number | undefined {
  const { lease } = process.elector;
  return isSome(lease) && lease.value.covers(ORDER_DEADLINE_MS) ? lease.value.fencing : undefined;
}

function applyEvent(cluster: DutyCluster, event: ScheduleEvent): void {
  const process = cluster.processes[event.process];
  if (!process) return;
  if (event.kind === 'pause') process.gate.isClosed = true;
  if (event.kind === 'resume') process.clock.resume();
  if (event.kind === 'offline') process.log.isDisconnected = true;
  if (event.kind === 'online') process.log.isDisconnected = false;
  if (event.kind === 'outage') cluster.log.setFaults({ outage: true });
  if (event.kind === 'recover') cluster.log.setFaults({ outage: false });
  if (event.kind === 'late') cluster.log.setFaults({ landLate: 0.4, landLateMs: 4_000 });
  if (event.kind === 'on-time') cluster.log.setFaults({ landLate: 0, loseAnswers: 0 });
  if (event.kind === 'lose') cluster.log.setFaults({ loseAnswers: 0.5 });
}
