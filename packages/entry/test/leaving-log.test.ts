/** The log lines and counters of a target that leaves and starts again, over a real link. */
import { ROARR } from 'roarr';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';

import { FakeAgent, TestEntry } from './support';

interface LogLine {
  readonly message: string;
  readonly context: { readonly prefix: string };
}

// Loggers read it when their modules are loaded.
vi.hoisted(() => vi.stubEnv('ROARR_LOG', 'true'));

const lines: string[] = [];
const agents: FakeAgent[] = [];
let entry: TestEntry;

async function startAgent(incarnation: string, port = 0): Promise<FakeAgent> {
  const agent = await FakeAgent.start({ target: 't1', incarnation, port });
  agents.push(agent);
  return agent;
}

function readLines(): LogLine[] {
  return lines
    .map((line) => JSON.parse(line) as LogLine)
    .filter(({ context }) => context.prefix === 'entry.leaving');
}

beforeEach(() => {
  lines.splice(0);
  ROARR.write = (line) => lines.push(line);
});

afterEach(() => {
  entry.close();
  agents.splice(0).forEach((agent) => agent.close());
});

it('logs and counts once that a target leaves, and once that it has started again', async () => {
  const agent = await startAgent('i1');
  agent.onRun = (session, run) => agent.say(() => agent.respond(session, run), 7);
  entry = await TestEntry.start([agent]);
  await entry.send();
  agent.leavingAgeMs = 900;
  await entry.clock.sleep(600);
  expect(entry.metrics.counts()).toMatchObject({ 'leaving.learnt': 1 });
  agent.close();
  await startAgent('i3', agent.port);
  await vi.waitFor(() => expect(entry.metrics.counts()['leaving.ended']).toBe(1), 5_000);
  const [learnt, ended, ...others] = readLines().map(({ context }) => context);
  const { attempt } = agent.runs[0] ?? {};
  const incarnation = { target: 't1', incarnation: 'i1' };
  expect(learnt).toMatchObject({ ...incarnation, attempt, request: 'r1', ageMs: 7, frame: 'head' });
  expect(ended).toMatchObject({ target: 't1', incarnation: 'i3', earlierIncarnation: 'i1' });
  expect(others).toHaveLength(0);
});

it('logs nothing of targets that serve', async () => {
  entry = await TestEntry.start([await startAgent('i1')]);
  await entry.sendMany(3);
  expect(readLines()).toHaveLength(0);
  expect(entry.metrics.counts()).not.toHaveProperty('leaving.learnt');
});
