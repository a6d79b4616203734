/** An agent that leaves, over real links and a real target. */
import { type Server, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import {
  type IncarnationId,
  type InstanceId,
  Metrics,
  type Offset,
  type RecordId,
  type ServiceId,
  SystemClock,
  type TargetId,
  type WallTime,
  type ZoneId,
  createRandomSource,
} from '@hibiscushill/base';
import { CHANGE_KIND, ConfigStore, NO_VERSION } from '@hibiscushill/config';
import { type AgentFramePayload, LinkClient, LinkServer } from '@hibiscushill/protocol';
import { FifoQueue } from '@hibiscushill/routing';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { Agent } from '../src/agent';
import { AttemptExecutor } from '../src/attempt-executor';
import type { AgentSettings } from '../src/settings';
import { TargetClient } from '../src/target-client';
import { WeightOrderHandler } from '../src/weight-order-handler';
import { RUN } from './support';

const INCARNATION = 'i1' as IncarnationId;
const CONFIG_AGE_MS = 60_000;

const clock = new SystemClock();
const metrics = new Metrics({ prefix: 'test' });

type FrameKind = AgentFramePayload['$case'];

/** An entry's side of a link, which records the frames and which of them say that it leaves. */
class TestEntry {
  readonly frames: AgentFramePayload[] = [];

  readonly leavingKinds = new Set<FrameKind>();

  readonly ages: number[] = [];

  isConnected = false;

  readonly link: LinkClient;

  constructor(address: string, incarnation: string) {
    this.link = new LinkClient({
      address,
      clock,
      random: createRandomSource(),
      hello: () => ({ entry: 'e', incarnation, configVersion: 0 }),
      handlers: {
        onConnected: () => {
          this.isConnected = true;
        },
        onFrame: (frame) => this.frames.push(frame),
        onLeaving: (frame, ageMs) => {
          this.leavingKinds.add(frame.$case);
          if (ageMs !== undefined) this.ages.push(ageMs);
        },
        onConfigVersion: () => undefined,
        onDisconnected: () => undefined,
      },
    });
    void this.link.run();
  }

  count(kind: FrameKind): number {
    return this.frames.filter((frame) => frame.$case === kind).length;
  }

  send(attempt: string): void {
    const run = { ...RUN, attempt, idempotent: true, publicRoute: true, deadlineMs: 20_000 };
    this.link.send({ $case: 'run', value: { ...run, creditBytes: 1_000 } });
  }
}

describe('an agent that leaves', () => {
  const responses: ServerResponse[] = [];
  let target: Server;
  let client: TargetClient;
  let agent: Agent;
  let server: LinkServer;
  let address: string;
  const entries: TestEntry[] = [];

  async function connect(incarnation: string): Promise<TestEntry> {
    const entry = new TestEntry(address, incarnation);
    entries.push(entry);
    await vi.waitFor(() => expect(entry.count('load')).toBe(1));
    return entry;
  }

  beforeEach(async () => {
    target = createServer((_, res) => responses.push(res));
    await new Promise<void>((resolve) => {
      target.listen(0, '127.0.0.1', resolve);
    });
    const { port } = target.address() as AddressInfo;
    client = new TargetClient({ url: `http://127.0.0.1:${port}`, connections: 8 });
    const config = createConfig();
    agent = new Agent({
      clock,
      metrics,
      config,
      settings: createSettings(),
      incarnation: INCARNATION,
      executor: await AttemptExecutor.create({ clock, target: client }),
      weightOrders: new WeightOrderHandler(undefined),
      queue: new FifoQueue({ maxItems: 10, maxTokens: 1_000 }),
      broadcast: (load) => server.broadcast({ $case: 'load', value: load }),
    });
    server = new LinkServer({
      clock,
      handlers: agent,
      hello: () => ({
        target: 't1',
        incarnation: INCARNATION,
        startedMs: 0,
        service: 'desk',
        availabilityZone: 'ba',
        configVersion: config.version,
        leaving: agent.isLeaving,
      }),
    });
    address = `127.0.0.1:${await server.listen('127.0.0.1:0')}`;
  });

  afterEach(async () => {
    entries.splice(0).forEach((entry) => entry.link.close());
    server.close();
    responses.splice(0).forEach((res) => res.destroy());
    await client.close();
    target.close();
  });

  it('says so in every part of the response to what it still runs', async () => {
    const entry = await connect('e1');
    entry.send('a1');
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    agent.startLeaving();
    responses[0]?.end('done');
    await vi.waitFor(() => expect(entry.count('end')).toBe(1));
    expect([...entry.leavingKinds]).toEqual(expect.arrayContaining(['head', 'chunk', 'end']));
  });

  it('says so when it refuses new work and when it answers a revocation', async () => {
    const entry = await connect('e1');
    agent.startLeaving();
    entry.send('a1');
    const value = { attempt: 'a2', incarnation: INCARNATION };
    entry.link.send({ $case: 'revoke', value });
    await vi.waitFor(() => expect(entry.count('revokeResult')).toBe(1));
    expect([...entry.leavingKinds]).toEqual(expect.arrayContaining(['notRun', 'revokeResult']));
    expect(responses).toHaveLength(0);
  });

  it('says so in its failures', async () => {
    const entry = await connect('e1');
    entry.send('a1');
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    agent.startLeaving();
    responses[0]?.destroy();
    await vi.waitFor(() => expect(entry.count('end') + entry.count('notRun')).toBe(1));
    const failure = entry.frames.find(({ $case }) => $case === 'end' || $case === 'notRun');
    expect([...entry.leavingKinds]).toContain(failure?.$case);
  });

  it('says so in the first frames on a link that is opened later', async () => {
    agent.startLeaving();
    const entry = await connect('e2');
    expect([...entry.leavingKinds]).toEqual(expect.arrayContaining(['hello', 'load']));
  });

  it('says for how long it has been leaving', async () => {
    agent.startLeaving();
    await clock.sleep(30);
    const entry = await connect('e2');
    expect(entry.ages[0]).toBeGreaterThanOrEqual(29);
    expect(entry.ages[0]).toBeLessThan(10_000);
  });

  it('says nothing of the kind before it leaves', async () => {
    const entry = await connect('e1');
    entry.send('a1');
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    responses[0]?.end('done');
    await vi.waitFor(() => expect(entry.count('end')).toBe(1));
    expect(entry.leavingKinds.size).toBe(0);
  });
});

function createConfig(): ConfigStore {
  const config = new ConfigStore({ clock });
  config.apply({
    id: 'c0' as RecordId,
    kind: CHANGE_KIND,
    payload: {
      base: NO_VERSION,
      declarations: { teams: [], keys: [], services: [], trainers: [] },
    },
    offset: 0 as Offset,
    appendedAt: 0 as WallTime,
  });
  config.confirm(config.version, clock.mono());
  return config;
}

function createSettings(): AgentSettings {
  return {
    instance: 'agent-1' as InstanceId,
    zone: 'ba' as ZoneId,
    innerListen: '127.0.0.1:0',
    target: 't1' as TargetId,
    service: 'desk' as ServiceId,
    targetUrl: 'http://127.0.0.1:1',
    logUrl: 'http://127.0.0.1:1',
    instancesUrl: 'http://127.0.0.1:1',
    weightsUrl: 'http://127.0.0.1:1',
    slots: 8,
    queueItems: 10,
    queueTokens: 1_000,
    storeBytes: 1_000_000,
    configAgeMs: CONFIG_AGE_MS,
    drainMs: 1_000,
    queue: 'fifo',
    statsdPort: 0,
  };
}
