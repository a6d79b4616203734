import type { IncarnationId } from '@hibiscushill/base';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { AgentItem } from '../src';
import { type Entry, UsageBench, findTwoFigures, held } from './usage-harness';

const AGENT = 'agent.1' as IncarnationId;
const RUNS = 25;
const FINAL_MS = 90_000;

interface Event {
  readonly kind:
    'requests' | 'freeze' | 'handover' | 'stop' | 'wake' | 'kill' | 'lose' | 'answer' | 'log';
  readonly entry: number;
  readonly afterMs: number;
}

function createEvents(): fc.Arbitrary<Event[]> {
  const kinds = [
    'requests',
    'freeze',
    'freeze',
    'handover',
    'stop',
    'wake',
    'kill',
    'lose',
    'answer',
  ];
  const event = fc.record({
    kind: fc.constantFrom(...([...kinds, 'log'] as Event['kind'][])),
    entry: fc.integer({ min: 0, max: 2 }),
    afterMs: fc.integer({ min: 1, max: 32 }).map((steps) => steps * 250),
  });
  return fc.array(event, { minLength: 8, maxLength: 20 });
}

/** One agent that keeps its items until they are acknowledged, and hands them to any entry. */
class Agent {
  readonly #items = new Map<number, AgentItem>();

  #served = 0;

  get served(): number {
    return this.#served;
  }

  serve(bench: UsageBench, entry: Entry): void {
    for (let count = 0; count < 4; count += 1) {
      this.#served += 1;
      const item = bench.item(this.#served);
      this.#items.set(this.#served, held(this.#served, item));
      entry.ledger.add(item);
    }
  }

  handOver(entry: Entry): void {
    const given = [...this.#items.keys()];
    const stop = entry.ledger.onAck((_agent, through) => {
      given.filter((seq) => seq <= through).forEach((seq) => this.#items.delete(seq));
    });
    if (!entry.ledger.takeBatch(AGENT, [...this.#items.values()])) stop();
  }
}

async function runSchedule(events: readonly Event[], isNaive: boolean) {
  const bench = new UsageBench({ isNaive });
  const agent = new Agent();
  ['a', 'b', 'c'].forEach((name) => bench.join(name));
  await bench.pass(2_000);
  for (const event of events) {
    applyEvent(bench, agent, event);
    await bench.pass(event.afterMs);
  }
  bench.reports.setFaults({ loseAnswers: false });
  bench.duty.log.setFaults({ loseAnswers: 0, landLate: 0 });
  bench.entries
    .filter((entry) => !bench.isDead(entry))
    .forEach((entry) => entry.member.clock.wake());
  const heir = bench.entries.find((entry) => !bench.isDead(entry));
  if (heir) agent.handOver(heir);
  await bench.pass(FINAL_MS);
  await bench.stop();
  return { bench, served: agent.served };
}

function applyEvent(bench: UsageBench, agent: Agent, event: Event): void {
  const entry = bench.entries[event.entry];
  if (!entry) return;
  const isRunning = !bench.isDead(entry) && !entry.member.gate.isShut;
  const isServing = event.kind === 'requests' || event.kind === 'freeze';
  if (isServing && isRunning) agent.serve(bench, entry);
  if (event.kind === 'freeze' && isRunning) entry.member.gate.shut();
  if (event.kind === 'handover' && isRunning) agent.handOver(entry);
  if (event.kind === 'stop' && !bench.isDead(entry)) entry.member.gate.shut();
  if (event.kind === 'wake' && !bench.isDead(entry)) entry.member.clock.wake();
  const alive = bench.entries.filter((other) => !bench.isDead(other));
  if (event.kind === 'kill' && alive.length > 1) bench.kill(entry);
  if (event.kind === 'lose') bench.reports.setFaults({ loseAnswers: true });
  if (event.kind === 'answer') bench.reports.setFaults({ loseAnswers: false });
  if (event.kind === 'log') bench.duty.log.setFaults({ loseAnswers: 0.5, landLate: 0.2 });
}

describe('usage reports', () => {
  it('finds a recorded window with two figures', () => {
    const figure = { team: 't', service: 's', requests: 1, tokens: 1 };
    const report = (requests: number) => ({
      window: '0',
      report: { reportId: 'x', fencing: 1, figures: [{ ...figure, requests }] } as never,
    });
    expect(findTwoFigures([report(1), report(1)])).toBeUndefined();
    expect(findTwoFigures([report(1), report(2)])).toBe('0');
  });

  it.each([1, 2])('bring each window with one set of figures, whole (seed %i)', async (seed) => {
    const property = fc.asyncProperty(createEvents(), async (events) => {
      const { bench, served } = await runSchedule(events, false);
      expect(findTwoFigures(bench.reports.seen)).toBeUndefined();
      expect(bench.reports.total()).toBe(served);
    });
    await fc.assert(property, { seed, numRuns: RUNS, endOnFailure: true });
  });

  it('bring a window with two figures when each holder reports what it counts itself', async () => {
    const property = fc.asyncProperty(createEvents(), async (events) => {
      const { bench } = await runSchedule(events, true);
      return findTwoFigures(bench.reports.seen) === undefined;
    });
    const details = await fc.check(property, { seed: 1, numRuns: RUNS, endOnFailure: true });
    expect(details.failed).toBe(true);
  });
});
