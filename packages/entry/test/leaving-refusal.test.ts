/** What a caller gets from an entry without log and list whose targets are leaving. */
import {
  type InstanceId,
  type Offset,
  RESULT_CODES,
  type RecordId,
  SystemClock,
  type WallTime,
  type ZoneId,
} from '@hibiscushill/base';
import { CHANGE_KIND, ConfigStore, NO_VERSION } from '@hibiscushill/config';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { Entry } from '../src/entry';
import type { EntrySettings } from '../src/settings';
import { FakeAgent, ListServer, SERVICE } from './support';

const UNREACHABLE_URL = 'http://127.0.0.1:1';

describe('an entry that is cut off from the log and the list', () => {
  const agents: FakeAgent[] = [];
  let config: ConfigStore;
  let entry: Entry;

  beforeEach(async () => {
    config = createConfig();
    for (const target of ['t1', 't2', 't3']) {
      agents.push(await FakeAgent.start({ target, incarnation: `${target}/1`, config }));
    }
    const list = new ListServer();
    list.agents = agents;
    entry = await Entry.start(createSettings(await list.listen()));
    await vi.waitFor(async () => expect((await get()).status).toBe(200), 10_000);
    await list.cut();
  });

  afterEach(async () => {
    agents.splice(0).forEach((agent) => agent.close());
    await entry.stop();
  });

  function get(): Promise<Response> {
    return fetch(`http://${entry.addresses.listening}/s/${SERVICE}/things`);
  }

  async function readStatus() {
    const status = await fetch(`http://${entry.addresses.listening}/status`);
    return (await status.json()) as {
      targets: { leaving: boolean; incarnation: string }[];
      counts: Record<string, number>;
    };
  }

  function leave(agent: FakeAgent): void {
    const { code } = RESULT_CODES.target_leaving;
    // eslint-disable-next-line no-param-reassign
    agent.onRun = (session, { attempt }) => {
      const value = { attempt, code, retryAfterMs: 100, detail: '' };
      agent.say(() => session.send({ $case: 'notRun', value }));
    };
  }

  it('serves callers at the target that does not leave', async () => {
    const [first, ...others] = agents as [FakeAgent, FakeAgent, FakeAgent];
    leave(first);
    first.runs.splice(0);
    for (let i = 0; i < 20; i += 1) expect((await get()).status).toBe(200);
    expect(first.runs.length).toBeLessThanOrEqual(1);
    expect(others.flatMap(({ runs }) => runs).length).toBeGreaterThanOrEqual(20);
  });

  it('uses a new incarnation at once, though the link to the earlier one was lost', async () => {
    const [first] = agents as [FakeAgent];
    leave(first);
    // A request of the preparation may have reached it before.
    first.runs.splice(0);
    while (first.runs.length === 0) await get();
    const { port, target } = first;
    first.close();
    const next = await FakeAgent.start({ target, incarnation: 't1/2', port, config });
    agents.push(next);
    await vi.waitFor(async () => {
      const { targets } = await readStatus();
      const found = targets.find(({ incarnation }) => incarnation === 't1/2');
      expect(found).toMatchObject({ up: true, ready: true, leaving: false });
    }, 5_000);
    for (let i = 0; i < 30; i += 1) expect((await get()).status).toBe(200);
    expect(next.runs.length).toBeGreaterThan(0);
  });

  it('refuses callers with a code of its own and the time to come back when all leave', async () => {
    agents.forEach(leave);
    const first = await get();
    const { code } = RESULT_CODES.targets_leaving;
    const refusal = { code, name: 'targets_leaving', run: 'not-run' };
    expect(first.status).toBe(503);
    expect(await first.json()).toMatchObject(refusal);
    agents.forEach(({ runs }) => runs.splice(0));
    const second = await get();
    expect(second.status).toBe(503);
    expect(second.headers.get('retry-after')).toBe('1');
    expect(await second.json()).toMatchObject(refusal);
    expect(agents.flatMap(({ runs }) => runs)).toHaveLength(0);
    const { targets, counts } = await readStatus();
    expect(targets.map(({ leaving }) => leaving)).toEqual([true, true, true]);
    expect(counts).toMatchObject({ 'leaving.learnt': 3, 'refused.targets_leaving': 2 });
  });
});

function createConfig(): ConfigStore {
  const clock = new SystemClock();
  const config = new ConfigStore({ clock });
  const service = {
    name: SERVICE,
    kind: 'plain',
    routes: [{ method: 'GET', path: '/*', public: true, idempotent: true }],
    deadlineMs: 5_000,
    zones: [{ zone: 'ba', least: 0, most: 2 }],
  };
  config.apply({
    id: 'c0' as RecordId,
    kind: CHANGE_KIND,
    payload: {
      base: NO_VERSION,
      declarations: { teams: [], keys: [], services: [service], trainers: [] },
    },
    offset: 0 as Offset,
    appendedAt: 0 as WallTime,
  });
  config.confirm(config.version, clock.mono());
  return config;
}

function createSettings(instancesUrl: string): EntrySettings {
  return {
    instance: 'e1' as InstanceId,
    zone: 'ba' as ZoneId,
    listen: '127.0.0.1:0',
    innerListen: '127.0.0.1:0',
    logUrl: UNREACHABLE_URL,
    ordersUrl: UNREACHABLE_URL,
    usageUrl: UNREACHABLE_URL,
    instancesUrl,
    peers: [],
    subsetSize: 64,
    configAgeMs: 2_500,
    bodyBytes: 1_000,
    headerBytes: 16_384,
    targetPolicy: 'random',
    admission: 'bounded',
    hedging: 'none',
    usageWindowMs: 3_600_000,
    usageGraceMs: 30_000,
    drainMs: 1_000,
    statsdPort: 0,
  };
}
