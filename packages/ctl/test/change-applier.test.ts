import { RandomSource, type RecordId, SystemClock, createId } from '@hibiscushill/base';
import { Declarations } from '@hibiscushill/config';
import { MemoryLog } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { type ApplyOutcome, ChangeApplier, ConfigReader } from '../src';

const clock = new SystemClock();

function createDeclarations(rate: number): Declarations {
  const bounds = { requestsPerSecond: rate, tokensPerSecond: 1, inFlight: 1 };
  return Declarations.parse({ teams: [{ name: 'stalls', bounds }] });
}

function createLog(): MemoryLog {
  return new MemoryLog({ clock, random: new RandomSource(7) });
}

function apply(log: MemoryLog, rate: number, waitMs = 2_000): Promise<ApplyOutcome> {
  return new ChangeApplier({ log, clock, waitMs }).apply(createDeclarations(rate));
}

describe('ChangeApplier', () => {
  it('reports the accepted version, and reports an unchanged configuration the second time', async () => {
    const log = createLog();
    expect(await apply(log, 1)).toMatchObject({ type: 'accepted', version: 0 });
    expect(await apply(log, 1)).toEqual({ type: 'unchanged', version: 0 });
  });

  it('reports a conflict to the second of two changes, with what the first one changed', async () => {
    const log = createLog();
    await apply(log, 1);
    const outcomes = await Promise.all([apply(log, 2), apply(log, 3)]);
    expect(outcomes.map((outcome) => outcome.type).sort()).toEqual(['accepted', 'conflict']);
    const conflict = outcomes.find((outcome) => outcome.type === 'conflict');
    expect(conflict).toMatchObject({ winner: 1, changes: [{ name: 'stalls', change: 'changed' }] });
  });

  it('reports a conflict if the expected version is not in force', async () => {
    const log = createLog();
    await apply(log, 1);
    const outcome = await new ChangeApplier({ log, clock, waitMs: 100 }).apply(
      createDeclarations(2),
      5,
    );
    expect(outcome).toMatchObject({ type: 'conflict', winner: 0 });
  });

  it('finds its record on the log if the response to the append was lost', async () => {
    const log = createLog();
    log.setFaults({ loseAnswers: 1 });
    expect(await apply(log, 1)).toMatchObject({ type: 'accepted', version: 0 });
  });

  it('reports a conflict if its append is stored after the change of another operator', async () => {
    const log = createLog();
    await apply(log, 1);
    log.setFaults({ landLate: 1, landLateMs: 300 });
    const lateChange = apply(log, 2);
    await clock.sleep(50);
    log.setFaults({ landLate: 0 });
    expect(await apply(log, 3)).toMatchObject({ type: 'accepted', version: 1 });
    expect(await lateChange).toMatchObject({ type: 'conflict', winner: 1 });
  });

  it('reports an unknown outcome while the append may still be stored', async () => {
    const log = createLog();
    log.setFaults({ landLate: 1, landLateMs: 1_000 });
    const outcome = await apply(log, 1, 250);
    expect(outcome).toMatchObject({ type: 'unknown', base: -1 });
    const { record } = outcome as { record: RecordId };
    await clock.sleep(1_100);
    const reader = new ConfigReader(log);
    await reader.catchUp();
    expect(reader.effectOf(record)).toEqual({ type: 'accepted', version: 0 });
  });

  it('reports that the log is unavailable, or that it was trimmed and has no snapshot', async () => {
    const log = createLog();
    log.setFaults({ outage: true });
    expect(await apply(log, 1, 100)).toMatchObject({ type: 'unavailable' });
    log.setFaults({ outage: false });
    await log.append('config', [{ id: createId<RecordId>(), kind: 'other', payload: null }]);
    log.trim('config', 1);
    expect(await apply(log, 1)).toEqual({ type: 'detached' });
  });

  it('accepts one change for each base version when operators race on a log with lost responses and late appends', async () => {
    const log = createLog();
    log.setFaults({ loseAnswers: 0.3, landLate: 0.2, landLateMs: 40 });
    let rate = 0;
    const runOperator = async (): Promise<ApplyOutcome[]> => {
      const outcomes: ApplyOutcome[] = [];
      for (let count = 0; count < 15; count += 1) {
        rate += 1;
        outcomes.push(await apply(log, rate));
      }
      return outcomes;
    };
    const outcomes = (await Promise.all([runOperator(), runOperator(), runOperator()])).flat();
    const versions = outcomes.flatMap((each) => (each.type === 'accepted' ? each.version : []));
    const reader = new ConfigReader(log);
    await reader.catchUp();
    expect(new Set(versions).size).toBe(versions.length);
    expect(Math.max(...versions)).toBe(reader.version);
    const otherOutcomes = outcomes.filter(
      (outcome) => outcome.type !== 'accepted' && outcome.type !== 'conflict',
    );
    expect(otherOutcomes).toEqual([]);
  });
});
