import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { EXIT_CODES, runCli } from '../src';

let folder: string;

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'hibiscus-logs-'));
});

afterEach(async () => {
  await rm(folder, { recursive: true, force: true });
});

type Fields = Readonly<Record<string, unknown>>;

function createLine(time: number, sequence: number, message: string, fields: Fields = {}): string {
  const context = { prefix: 'part', ...fields, logLevel: 30 };
  return JSON.stringify({ context, message, sequence: `${sequence}`, time, version: '2.0.0' });
}

async function save(file: string, lines: readonly string[]): Promise<void> {
  await writeFile(join(folder, file), lines.join('\n'));
}

async function run(...args: string[]): Promise<{ code: number; out: string; problem: string }> {
  let out = '';
  let problem = '';
  const code = await runCli(['node', 'hibiscusctl', 'explain', ...args, '--logs', folder], {
    env: {},
    write: (text) => {
      out += text;
    },
    writeError: (text) => {
      problem += text;
    },
  });
  return { code, out, problem };
}

describe('hibiscusctl explain with saved logs', () => {
  it('tells why a request was refused, and that its process had lost the log before', async () => {
    await save('n1.log', [
      createLine(1_000, 0, '[log.keyed.keyed.op] Lost contact with the log.', {
        code: 'platform_down',
      }),
      createLine(5_800, 3, '[gateway.request] A request was refused.', {
        id: 'r1',
        code: 'config_stale',
        run: 'not-run',
        detail: 'The key was not confirmed recently.',
        proofAgeMs: 4_600,
        omittedLines: 2,
      }),
    ]);
    await save('n2.log', [
      createLine(5_000, 0, '[gateway.node] The gateway process started.'),
      createLine(5_500, 1, '[control.duty.control] Gained the duty.', { fencing: 7 }),
    ]);
    expect(await run('r1')).toMatchSnapshot();
  });

  it('shows what is known of the content of a refused request, from all processes', async () => {
    await save('n1.log', [
      createLine(60_000, 0, '[gateway.request] A request was refused.', {
        id: 'r9',
        code: 'request_crashes_targets',
        run: 'not-run',
        content: '4.0.abc',
      }),
    ]);
    const broken = '[gateway.request] A connection ended while a target ran a request.';
    const counts = '[gateway.suspects] A request counts as one that crashes its targets.';
    await save('n2.log', [
      createLine(1_000, 0, broken, { id: 'r1', content: '4.0.abc', target: 't1' }),
      createLine(1_100, 1, broken, { id: 'r2', content: '4.0.other', target: 't1' }),
      createLine(2_000, 2, counts, { content: '4.0.abc', breaks: 3 }),
    ]);
    const { out } = await run('r9');
    expect(out).toContain('id=r1');
    expect(out).toContain('breaks=3');
    expect(out).not.toContain('id=r2');
    expect((await run('4.0.abc')).out).toContain('id=r9');
  });

  it('shows when the log was lost, and when it was regained', async () => {
    await save('n1.log', [
      createLine(1_000, 0, '[log.keyed.keyed.op] Lost contact with the log.'),
      createLine(2_000, 1, '[log.keyed.keyed.op] Regained contact with the log.'),
      createLine(2_100, 2, '[gateway.request] A request was answered.', { id: 'r1', status: 200 }),
    ]);
    const { out } = await run('r1');
    expect(out).toContain('Lost contact with the log.');
    expect(out).toContain('Regained contact with the log.');
  });

  it('names the targets at which attempts failed', async () => {
    await save('n1.log', [
      createLine(1_000, 0, '[gateway.request] An attempt failed.', {
        id: 'r1',
        target: 't1',
        ageMs: 250,
        reason: 'silent',
      }),
      createLine(1_100, 1, '[gateway.request] A request was answered.', {
        id: 'r1',
        status: 200,
        tookMs: 290,
      }),
    ]);
    const { out } = await run('r1');
    expect(out).toContain('Answered with 200 after 290 ms.');
    expect(out).toContain('t1: silent after 250 ms');
  });

  it('names the item of a submission that completed last', async () => {
    const ended = (time: number, sequence: number, id: string, outcome: string): string =>
      createLine(time, sequence, '[gateway.work] A run ended.', {
        id,
        target: 't1',
        outcome,
        events: 9,
        tookMs: 400,
      });
    // Lines of several processes in one file, each preceded by the name of its process.
    await save('all.txt', [
      `12.5 n1 ${createLine(1_000, 0, '[gateway.submission] A submission was received.', { id: 's1' })}`,
      `13.1 n2 ${ended(1_600, 4, 's1/i1', 'complete')}`,
      `13.3 n2 ${ended(1_800, 5, 's1/i2', 'silent')}`,
      `13.9 n2 ${ended(2_400, 6, 's1/i2', 'complete')}`,
      'not a log line',
    ]);
    const { out } = await run('s1');
    expect(out).toContain('Completed last: s1/i2 at t1, 9 events in 400 ms.');
    expect((await run('i1')).out).toContain('Runs: 1 complete.');
    const { lines } = JSON.parse((await run('s1', '--json')).out) as { lines: unknown[] };
    expect(lines).toHaveLength(4);
  });

  it('tells why items were abandoned, and by which configuration', async () => {
    await save('n1.log', [
      createLine(1_000, 0, '[gateway.work] A run ended.', { id: 's1/i1', outcome: 'complete' }),
      createLine(1_100, 1, '[gateway.reward] A scoring call failed.', {
        id: 'score-i1',
        item: 's1/i1',
        reason: 'status 500',
      }),
      createLine(1_200, 2, '[gateway.work] An item was abandoned.', {
        id: 's1/i1',
        reason: 'scoring-errors',
        serverErrors: 0,
        scoringErrors: 4,
        configVersion: 7,
        configProofAgeMs: 300,
      }),
      createLine(1_300, 3, '[gateway.work] An item was abandoned.', {
        id: 's1/i2',
        reason: 'route-withdrawn',
        configVersion: 8,
        configProofAgeMs: 20,
      }),
    ]);
    expect(await run('s1')).toMatchSnapshot();
    expect((await run('i1')).out).toContain('A scoring call failed.');
  });

  it('shows what targets had said of leaving before a request was refused for it', async () => {
    const refusal = { id: 'r1', code: 'targets_leaving', run: 'not-run', detail: 'none' };
    const left = '[gateway.targets] A target said in a response that it is leaving.';
    await save('n1.log', [
      createLine(1_000, 0, left, { target: 't1', request: 'r0', ageMs: 12 }),
      createLine(2_000, 1, '[gateway.request] A request was refused.', refusal),
    ]);
    await save('n2.log', [createLine(1_500, 0, left, { target: 't2', request: 'r9', ageMs: 3 })]);
    const { out } = await run('r1');
    expect(out).toContain('target=t1');
    expect(out).not.toContain('target=t2');
    expect(out).toContain('All targets of the service are leaving.');
  });

  it('says when no line names the id, or the logs do not exist', async () => {
    await save('n1.log', [createLine(1_000, 0, '[gateway.node] The gateway process started.')]);
    expect((await run('r9')).code).toBe(EXIT_CODES.missing.code);
    expect((await run('r9')).problem).toContain('No line names r9 among 1 lines of 1 processes.');
    await rm(folder, { recursive: true });
    expect((await run('r9')).code).toBe(EXIT_CODES.missing.code);
  });
});
