import type { IncarnationId } from '@hibiscushill/base';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { AgentItem } from '../src';
import {
  type TestEntry,
  UsageCluster,
  createAgentItem,
  findConflictingWindow,
} from './usage-harness';

const AGENT = 'agent.1' as IncarnationId;
const RUNS = 25;
const FINAL_MS = 90_000;

/**
 * What happens to an entry, and the time until the next event. The entry serves requests, with or
 * without a pause at once, is sent the agent's batch, is paused, resumed or killed. For all
 * entries, the platform's responses to reports are lost or arrive again, or the log starts to fail.
 */
interface ScheduleEvent {
  readonly kind:
    'serve' | 'serve-pause' | 'send' | 'pause' | 'resume' | 'kill' | 'lose' | 'answer' | 'fail-log';
  readonly entry: number;
  readonly afterMs: number;
}

function createEvents(): fc.Arbitrary<ScheduleEvent[]> {
  const kinds = [
    'serve',
    'serve-pause',
    'serve-pause',
    'send',
    'pause',
    'resume',
    'kill',
    'lose',
    'answer',
  ];
  const event = fc.record({
    kind: fc.constantFrom(...([...kinds, 'fail-log'] as ScheduleEvent['kind'][])),
    entry: fc.integer({ min: 0, max: 2 }),
    afterMs: fc.integer({ min: 1, max: 32 }).map((steps) => steps * 250),
  });
  return fc.array(event, { minLength: 8, maxLength: 20 });
}

/** An agent that holds its items until they are acknowledged, and sends them to any entry. */
class FakeAgent {
  readonly #items = new Map<number, AgentItem>();

  #served = 0;

  get served(): number {
    return this.#served;
  }

  serve(cluster: UsageCluster, entry: TestEntry): void {
    for (let count = 0; count < 4; count += 1) {
      this.#served += 1;
      const item = cluster.createItem(this.#served);
      this.#items.set(this.#served, createAgentItem(this.#served, item));
      entry.batcher.add(item);
    }
  }

  /** Sends all items; if the entry refuses them, its acknowledgements are ignored. */
  sendBatch(entry: TestEntry): void {
    const sent = [...this.#items.keys()];
    const stop = entry.batcher.onAck((_agent, through) => {
      sent.filter((seq) => seq <= through).forEach((seq) => this.#items.delete(seq));
    });
    if (!entry.batcher.addAgentBatch(AGENT, [...this.#items.values()])) stop();
  }
}

async function runSchedule(events: readonly ScheduleEvent[], reportsWithoutClose: boolean) {
  const cluster = new UsageCluster({ reportsWithoutClose });
  const agent = new FakeAgent();
  ['a', 'b', 'c'].forEach((name) => cluster.addEntry(name));
  await cluster.advance(2_000);
  for (const event of events) {
    applyEvent(cluster, agent, event);
    await cluster.advance(event.afterMs);
  }
  cluster.reports.setFaults({ loseAnswers: false });
  cluster.dutyCluster.log.setFaults({ loseAnswers: 0, landLate: 0 });
  cluster.entries
    .filter((entry) => !cluster.isKilled(entry))
    .forEach((entry) => entry.process.clock.resume());
  const survivor = cluster.entries.find((entry) => !cluster.isKilled(entry));
  if (survivor) agent.sendBatch(survivor);
  await cluster.advance(FINAL_MS);
  await cluster.stop();
  return { cluster, served: agent.served };
}

function applyEvent(cluster: UsageCluster, agent: FakeAgent, event: ScheduleEvent): void {
  const entry = cluster.entries[event.entry];
  if (!entry) return;
  const isRunning = !cluster.isKilled(entry) && !entry.process.gate.isClosed;
  const isServing = event.kind === 'serve' || event.kind === 'serve-pause';
  if (isServing && isRunning) agent.serve(cluster, entry);
  if (event.kind === 'serve-pause' && isRunning) entry.process.gate.close();
  if (event.kind === 'send' && isRunning) agent.sendBatch(entry);
  if (event.kind === 'pause' && !cluster.isKilled(entry)) entry.process.gate.close();
  if (event.kind === 'resume' && !cluster.isKilled(entry)) entry.process.clock.resume();
  const alive = cluster.entries.filter((other) => !cluster.isKilled(other));
  if (event.kind === 'kill' && alive.length > 1) cluster.kill(entry);
  if (event.kind === 'lose') cluster.reports.setFaults({ loseAnswers: true });
  if (event.kind === 'answer') cluster.reports.setFaults({ loseAnswers: false });
  if (event.kind === 'fail-log')
    cluster.dutyCluster.log.setFaults({ loseAnswers: 0.5, landLate: 0.2 });
}

describe('usage reports', () => {
  it('are checked: a window reported with different figures is found', () => {
    const figure = { team: 't', service: 's', requests: 1, tokens: 1 };
    const report = (requests: number) => ({
      window: '0',
      report: { reportId: 'x', fencing: 1, figures: [{ ...figure, requests }] } as never,
    });
    expect(findConflictingWindow([report(1), report(1)])).toBeUndefined();
    expect(findConflictingWindow([report(1), report(2)])).toBe('0');
  });

  it.each([1, 2])('have one set of complete figures per window (seed %i)', async (seed) => {
    const property = fc.asyncProperty(createEvents(), async (events) => {
      const { cluster, served } = await runSchedule(events, false);
      expect(findConflictingWindow(cluster.reports.received)).toBeUndefined();
      expect(cluster.reports.countRequests()).toBe(served);
    });
    await fc.assert(property, { seed, numRuns: RUNS, endOnFailure: true });
  });

  it('have different figures for a window when each holder reports its own count', async () => {
    const property = fc.asyncProperty(createEvents(), async (events) => {
      const { cluster } = await runSchedule(events, true);
      return findConflictingWindow(cluster.reports.received) === undefined;
    });
    const details = await fc.check(property, { seed: 1, numRuns: RUNS, endOnFailure: true });
    expect(details.failed).toBe(true);
  });
});
