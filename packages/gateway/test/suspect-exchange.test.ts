import {
  type ContentDigest,
  type IncarnationId,
  ManualClock,
  RandomSource,
  type RecordId,
  type ServiceId,
} from '@hibiscushill/base';
import { LogTail, MemoryLog } from '@hibiscushill/log';
import { SuspectRequests } from '@hibiscushill/routing';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { SuspectExchange } from '../src/suspect-exchange';
import { advance, createMetrics, logger } from './support';

const CONTENT = '4.0.a' as ContentDigest;
const SERVICE = 'plain' as ServiceId;
const MAX_MS = 1_000;

interface TestProcess {
  readonly exchange: SuspectExchange;
  readonly tail: LogTail;
}

let clock: ManualClock;
let log: MemoryLog;
let processes: TestProcess[];

function createProcess(name: string): TestProcess {
  const tail = new LogTail({ log, clock, stream: 'usage', random: new RandomSource(1) });
  const exchange = new SuspectExchange({
    incarnation: name as IncarnationId,
    clock,
    metrics: createMetrics(),
    logger,
    log,
    tail,
    suspects: new SuspectRequests(),
    isRepeating: () => name === 'p1',
  });
  tail.start();
  return { exchange, tail };
}

/** Runs the exchange of all processes for a time. */
async function run(ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    processes.forEach(({ exchange }) => exchange.run());
    await advance(clock, 50);
  }
}

function breakAt(process: TestProcess, incarnation: string, trial?: RecordId): void {
  const fact = { type: 'broken', content: CONTENT, incarnation } as const;
  process.exchange.publish(trial === undefined ? fact : { ...fact, trial });
}

function listPermits(): string[] {
  return processes.map(({ exchange }) => exchange.decide(CONTENT));
}

/** Claims a trial in some processes at once. */
async function claim(...claimers: readonly TestProcess[]): Promise<(RecordId | undefined)[]> {
  const claims = Promise.all(
    claimers.map(({ exchange }) => exchange.claim(CONTENT, SERVICE, MAX_MS)),
  );
  await run(500);
  return claims;
}

beforeEach(async () => {
  clock = new ManualClock(100_000);
  log = new MemoryLog({ clock });
  processes = ['p1', 'p2', 'p3'].map(createProcess);
  await run(100);
});

afterEach(async () => {
  const stopped = Promise.all(processes.map(({ tail }) => tail.stop()));
  await advance(clock, 5_000);
  await stopped;
});

describe('the exchange on requests that may crash targets', () => {
  it('adds up what the processes have seen, within one record', async () => {
    processes.forEach((process, index) => breakAt(process, `t${index} 1`));
    await run(100);
    expect(listPermits()).toEqual(['never', 'never', 'never']);
    expect(processes[0]!.exchange.hasShape('4.0')).toBe(true);
    expect(processes[0]!.exchange.hasShape('4.1')).toBe(false);
  });

  it('tells a process that starts later', async () => {
    processes.forEach((process, index) => breakAt(process, `t${index} 1`));
    await run(100);
    processes.push(createProcess('p4'));
    await run(100);
    expect(listPermits()[3]).toBe('never');
  });

  it('grants a trial to one process only, and the next after its end', async () => {
    breakAt(processes[0]!, 't1 1');
    breakAt(processes[1]!, 't2 1');
    await run(100);
    const granted = (await claim(...processes)).filter((trial) => trial !== undefined);
    expect(granted).toHaveLength(1);
    processes[0]!.exchange.publish({ type: 'trial-ended', trial: granted[0]! });
    await run(100);
    expect((await claim(processes[2]!))[0]).toBeDefined();
  });

  it('grants no trial while the log takes no records, and publishes what is new afterwards', async () => {
    breakAt(processes[0]!, 't1 1');
    breakAt(processes[1]!, 't2 1');
    await run(100);
    log.setFaults({ outage: true });
    expect(await claim(processes[0]!)).toEqual([undefined]);
    breakAt(processes[0]!, 't3 1');
    expect(listPermits()).toEqual(['never', 'alone', 'alone']);
    log.setFaults({ outage: false });
    await run(2_000);
    expect(listPermits()).toEqual(['never', 'never', 'never']);
  });

  it('clears a request in all processes once a target has answered it', async () => {
    processes.forEach((process, index) => breakAt(process, `t${index} 1`));
    await run(100);
    processes[2]!.exchange.publish({ type: 'answered', content: CONTENT });
    await run(100);
    expect(listPermits()).toEqual(['free', 'free', 'free']);
    expect(processes[0]!.exchange.hasShape('4.0')).toBe(false);
  });

  it('forgets the break of a target that answers a request that was sent after it', async () => {
    const [first, second] = processes;
    const sentBefore = clock.mono();
    await run(50);
    breakAt(first!, 't1 1');
    await run(100);
    second!.exchange.recordAnswer('t1 1', sentBefore);
    await run(100);
    expect(first!.exchange.isSuspect(CONTENT)).toBe(true);
    second!.exchange.recordAnswer('t1 1', clock.mono());
    await run(100);
    expect(processes.map(({ exchange }) => exchange.isSuspect(CONTENT))).toEqual([
      false,
      false,
      false,
    ]);
  });

  it('counts the break of a target that answers again after the time of a start', async () => {
    breakAt(processes[0]!, 't1 1');
    await run(1_500);
    processes[0]!.exchange.recordAnswer('t1 1', clock.mono());
    await run(100);
    expect(processes[0]!.exchange.isSuspect(CONTENT)).toBe(true);
  });

  it('does not take the answer of a target that has started again for that of an earlier one', async () => {
    breakAt(processes[0]!, 't1 0');
    await run(1_500);
    processes.push(createProcess('p4'));
    await run(100);
    processes[3]!.exchange.recordAnswer('t1 0', clock.mono());
    await run(100);
    expect(processes.map(({ exchange }) => exchange.isSuspect(CONTENT))).toEqual([
      true,
      true,
      true,
      true,
    ]);
  });

  it('repeats what it knows for processes that can no longer read the records', async () => {
    processes.forEach((process, index) => breakAt(process, `t${index} 1`));
    await run(10_100);
    const repeated = (await log.read('usage', 0 as never, { limit: 100 }))
      ._unsafeUnwrap()
      .records.flatMap(({ payload }) => (payload as { facts?: { type: string }[] }).facts ?? [])
      .filter(({ type }) => type === 'known');
    expect(repeated).toHaveLength(1);
  });
});
