import { existsSync, readFileSync, writeFileSync } from 'node:fs';

import { ManualClock, type RecordId, SystemClock, createId } from '@hibiscushill/base';
import { Declarations, hashSecret, loadDeclarations } from '@hibiscushill/config';
import { MemoryLog } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { COMMANDS, ChangeApplier, EXIT_CODES, createCliPage, runCli } from '../src';

const EXAMPLE_DIRECTORY = new URL('../../../examples/declarations', import.meta.url).pathname;
const CLI_PAGE = new URL('../../../docs/CLI.md', import.meta.url).pathname;
const clock = new SystemClock();

async function run(...args: string[]): Promise<{ code: number; out: string; problem: string }> {
  let out = '';
  let problem = '';
  const code = await runCli(['node', 'hibiscusctl', ...args], {
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

function runOnLog(log: MemoryLog, usage: string, ...args: string[]) {
  const command = COMMANDS.find((each) => each.usage.startsWith(usage));
  if (command === undefined) throw new Error(`no command ${usage}`);
  return command.run({ log, clock, waitMs: 2_000, usageWindowMs: 60_000, entries: [] }, args, {});
}

describe('hibiscusctl', () => {
  it('explains a code by number and by name, and reports an unknown code', async () => {
    expect(await run('explain', '2003')).toMatchSnapshot();
    expect((await run('explain', 'key_withdrawn')).out).toContain('1003');
    expect((await run('explain', '17')).code).toBe(EXIT_CODES.missing.code);
  });

  it('validates the example declarations', async () => {
    expect(await run('validate', EXAMPLE_DIRECTORY)).toMatchSnapshot();
    const { out } = await run('validate', EXAMPLE_DIRECTORY, '--json');
    expect(JSON.parse(out)).toMatchObject({ outcome: 'ok', exitCode: 0 });
  });

  it('exits with the right code for a missing directory and for an invalid setting', async () => {
    expect((await run('validate', '/nowhere')).code).toBe(EXIT_CODES.invalid.code);
    expect((await run('status', '--wait-ms', 'x')).code).toBe(EXIT_CODES.usage.code);
  });

  it('prints a key whose declaration matches its token', async () => {
    const { out } = await run('key', 'create', 'stalls', '--json');
    const { declaration, token } = JSON.parse(out) as {
      declaration: { id: string; hash: string };
      token: string;
    };
    const [, id, secret = ''] = /^hk_([^_]+)_(.+)$/.exec(token) ?? [];
    expect(declaration).toMatchObject({ id, team: 'stalls', hash: hashSecret(secret) });
    expect((await run('key', 'create', 'stalls')).out).toContain('state: active');
  });

  it('plans, applies and withdraws a key', async () => {
    const log = new MemoryLog({ clock });
    expect((await runOnLog(log, 'plan', EXAMPLE_DIRECTORY)).lines).toMatchSnapshot();
    expect((await runOnLog(log, 'apply', EXAMPLE_DIRECTORY)).data).toMatchObject({
      version: 0,
      changed: true,
    });
    expect((await runOnLog(log, 'key withdraw', 'k1')).exit).toBe('missing');
    const declared = (await loadDeclarations(EXAMPLE_DIRECTORY))._unsafeUnwrap();
    const team = declared.teams[0]?.name;
    const keys = [{ id: 'k1', team, hash: 'ab'.repeat(32) }];
    const withKey = Declarations.parse({ ...declared, keys });
    await new ChangeApplier({ log, clock, waitMs: 1_000 }).apply(withKey);
    const withdrawn = await runOnLog(log, 'key withdraw', 'k1');
    expect(withdrawn.lines).toMatchSnapshot();
    expect((await runOnLog(log, 'key withdraw', 'k1')).data).toMatchObject({ changed: false });
  });

  it('restores a configuration only if the log has lost it, and only once', async () => {
    const log = new MemoryLog({ clock });
    await runOnLog(log, 'apply', EXAMPLE_DIRECTORY);
    expect((await runOnLog(log, 'restore', EXAMPLE_DIRECTORY)).exit).toBe('conflict');
    log.trim('config', 1);
    expect((await runOnLog(log, 'plan', EXAMPLE_DIRECTORY)).exit).toBe('detached');
    const restores = [
      runOnLog(log, 'restore', EXAMPLE_DIRECTORY),
      runOnLog(log, 'restore', EXAMPLE_DIRECTORY),
    ];
    const restored = await Promise.all(restores);
    expect(restored.map((report) => report.data)).toContainEqual({ version: 0 });
    expect((await runOnLog(log, 'plan', EXAMPLE_DIRECTORY)).lines[0]).toBe('Nothing differs.');
  });

  it('shows the holder of a duty, and only the windows that the current claim closed', async () => {
    const log = new MemoryLog({ clock: new ManualClock(1_000) });
    const figures = [{ team: 'members', service: 'sales-desk', requests: 3, tokens: 0 }];
    const claim = { duty: 'usage', holder: 'entry-a', incarnation: 'i1', after: -1, through: 0 };
    const close = { window: 0, claim: 0, through: 1, figures, late: [] };
    const records = [
      ['duty.claim', claim],
      ['usage.close', { ...close, claim: -1, through: 0, figures: [] }],
      ['usage.close', close],
      ['usage.close', { ...close, figures: [] }],
      ['usage.reported', { window: 0, claim: 0 }],
      ['usage.close', { ...close, window: 60_000 }],
    ].map(([kind, payload]) => ({ id: createId<RecordId>(), kind: String(kind), payload }));
    await log.append('usage', records);
    expect((await runOnLog(log, 'status')).lines).toMatchSnapshot();
    expect((await runOnLog(log, 'usage')).lines).toMatchSnapshot();
  });

  it('generates docs/CLI.md from the tables', () => {
    if (process.env.UPDATE_DOCS === '1') writeFileSync(CLI_PAGE, createCliPage());
    expect(existsSync(CLI_PAGE) && readFileSync(CLI_PAGE, 'utf8')).toBe(createCliPage());
  });
});
