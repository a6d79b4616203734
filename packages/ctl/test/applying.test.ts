import { RandomSource, type RecordId, SystemClock, createId } from '@hibiscushill/base';
import { Declarations } from '@hibiscushill/config';
import { MemoryLog } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { type ApplyOutcome, ChangeApplier, ConfigReader } from '../src';

const clock = new SystemClock();

function sample(rate: number): Declarations {
  const bounds = { requestsPerSecond: rate, tokensPerSecond: 1, inFlight: 1 };
  return Declarations.parse({ teams: [{ name: 'stalls', bounds }] });
}

function createLog(): MemoryLog {
  return new MemoryLog({ clock, random: new RandomSource(7) });
}

function apply(log: MemoryLog, rate: number, waitMs = 2_000): Promise<ApplyOutcome> {
  return new ChangeApplier({ log, clock, waitMs }).apply(sample(rate));
}

describe('ChangeApplier', () => {
  it('says accepted with the version, and unchanged the second time', async () => {
    const log = createLog();
    expect(await apply(log, 1)).toMatchObject({ type: 'accepted', version: 0 });
    expect(await apply(log, 1)).toEqual({ type: 'unchanged', version: 0 });
  });

  it('says conflict to the one that came second, with what won', async () => {
    const log = createLog();
    await apply(log, 1);
    const outcomes = await Promise.all([apply(log, 2), apply(log, 3)]);
    expect(outcomes.map((outcome) => outcome.type).sort()).toEqual(['accepted', 'conflict']);
    const lost = outcomes.find((outcome) => outcome.type === 'conflict');
    expect(lost).toMatchObject({ winner: 1, changes: [{ name: 'stalls', change: 'changed' }] });
  });

  it('refuses a version that is not in force', async () => {
    const log = createLog();
    await apply(log, 1);
    const outcome = await new ChangeApplier({ log, clock, waitMs: 100 }).apply(sample(2), 5);
    expect(outcome).toMatchObject({ type: 'conflict', winner: 0 });
  });

  it('finds its record when the answer was lost', async () => {
    const log = createLog();
    log.setFaults({ loseAnswers: 1 });
    expect(await apply(log, 1)).toMatchObject({ type: 'accepted', version: 0 });
  });

  it('does not say accepted when its append lands after the change of another', async () => {
    const log = createLog();
    await apply(log, 1);
    log.setFaults({ landLate: 1, landLateMs: 300 });
    const late = apply(log, 2);
    await clock.sleep(50);
    log.setFaults({ landLate: 0 });
    expect(await apply(log, 3)).toMatchObject({ type: 'accepted', version: 1 });
    expect(await late).toMatchObject({ type: 'conflict', winner: 1 });
  });

  it('says unknown when the append may still land', async () => {
    const log = createLog();
    log.setFaults({ landLate: 1, landLateMs: 1_000 });
    const outcome = await apply(log, 1, 250);
    expect(outcome).toMatchObject({ type: 'unknown', base: -1 });
    const { record } = outcome as { record: RecordId };
    await clock.sleep(1_100);
    const reader = new ConfigReader(log);
    await reader.catchUp();
    expect(reader.verdictOf(record)).toEqual({ type: 'accepted', version: 0 });
  });

  it('says that nothing was changed when the log is down, and when its start is missing', async () => {
    const log = createLog();
    log.setFaults({ outage: true });
    expect(await apply(log, 1, 100)).toMatchObject({ type: 'unavailable' });
    log.setFaults({ outage: false });
    await log.append('config', [{ id: createId<RecordId>(), kind: 'other', payload: null }]);
    log.trim('config', 1);
    expect(await apply(log, 1)).toEqual({ type: 'detached' });
  });

  it('has one winner for each base in a race under lost and late answers', async () => {
    const log = createLog();
    log.setFaults({ loseAnswers: 0.3, landLate: 0.2, landLateMs: 40 });
    let rate = 0;
    const operate = async (): Promise<ApplyOutcome[]> => {
      const outcomes: ApplyOutcome[] = [];
      for (let count = 0; count < 15; count += 1) {
        rate += 1;
        outcomes.push(await apply(log, rate));
      }
      return outcomes;
    };
    const outcomes = (await Promise.all([operate(), operate(), operate()])).flat();
    const said = outcomes.flatMap((each) => (each.type === 'accepted' ? each.version : []));
    const reader = new ConfigReader(log);
    await reader.catchUp();
    expect(new Set(said).size).toBe(said.length);
    expect(Math.max(...said)).toBe(reader.version);
    const kinds = outcomes.filter((each) => each.type !== 'accepted' && each.type !== 'conflict');
    expect(kinds).toEqual([]);
  });
});
