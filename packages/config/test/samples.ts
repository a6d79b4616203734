/** Declarations and records for the tests of this package. */
import type { Offset, RecordId, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { Declarations } from '../src';

/** Makes declarations with one team and some keys, which differ by the tag. */
export function sample(tag = 1, keys: readonly string[] = ['k1']): Declarations {
  return Declarations.parse({
    teams: [
      { name: 'stalls', bounds: { requestsPerSecond: tag, tokensPerSecond: 1, inFlight: 1 } },
    ],
    keys: keys.map((id) => ({ id, team: 'stalls', hash: 'ab'.repeat(32) })),
  });
}

/** Makes a record of the stream `config`. */
export function record(
  offset: number,
  kind: string,
  payload: unknown,
  id = `r${offset}`,
): LogRecord {
  return {
    offset: offset as Offset,
    id: id as RecordId,
    kind,
    payload,
    appendedAt: (offset * 1000) as WallTime,
  };
}

/** Makes a change. */
export function change(offset: number, base: number, declarations: unknown = sample(offset + 1)) {
  return record(offset, 'config.change', { base, declarations });
}

/** Makes a snapshot. */
export function snapshot(offset: number, through: number, asOf: number, state: unknown) {
  return record(offset, 'config.snapshot', { through, asOf, state });
}
