/** Fencing numbers read from a trainer's stream. */
import { ManualClock, createId, type RecordId } from '@hibiscushill/base';
import { DUTY_KINDS } from '@hibiscushill/control';
import { MemoryLog } from '@hibiscushill/log';
import { expect, test } from 'vitest';

import { formatDutyName, formatStreamName, readHighestFencing } from '../src';
import { TRAINER } from './support';

const STREAM = formatStreamName(TRAINER.name);

async function append(log: MemoryLog, kind: string, payload: object): Promise<void> {
  const records = [{ id: createId<RecordId>(), kind, payload }];
  (await log.append(STREAM, records))._unsafeUnwrap();
}

function createDutyPayload(fields: object): object {
  return { duty: formatDutyName(TRAINER.name), holder: 'entry-1', incarnation: 'i1', ...fields };
}

test('the current claim is the highest fencing number, also in a trimmed stream', async () => {
  const log = new MemoryLog({ clock: new ManualClock() });
  expect((await readHighestFencing(log, TRAINER.name))._unsafeUnwrap()).toBe(-1);
  await append(log, DUTY_KINDS.claim, createDutyPayload({ after: -1, through: 0 }));
  await append(log, 'step.done', {});
  await append(log, DUTY_KINDS.claim, createDutyPayload({ after: 0, through: 2 }));
  await append(log, DUTY_KINDS.claim, createDutyPayload({ after: 0, through: 2 }));
  expect((await readHighestFencing(log, TRAINER.name))._unsafeUnwrap()).toBe(2);
  await append(log, DUTY_KINDS.renew, createDutyPayload({ claim: 2, through: 4 }));
  log.trim(STREAM, 4);
  expect((await readHighestFencing(log, TRAINER.name))._unsafeUnwrap()).toBe(2);
});

test('reading the fencing number fails while the log is down', async () => {
  const log = new MemoryLog({ clock: new ManualClock() });
  log.setFaults({ outage: true });
  expect((await readHighestFencing(log, TRAINER.name))._unsafeUnwrapErr().code).toBe(
    'platform_down',
  );
});
