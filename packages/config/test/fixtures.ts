/** Declarations and records for the tests of this package. */
import type { Offset, RecordId, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { Declarations } from '../src';

/** Creates declarations with one team and some keys; they differ between variants. */
export function createDeclarations(variant = 1, keys: readonly string[] = ['k1']): Declarations {
  return Declarations.parse({
    teams: [
      { name: 'stalls', bounds: { requestsPerSecond: variant, tokensPerSecond: 1, inFlight: 1 } },
    ],
    keys: keys.map((id) => ({ id, team: 'stalls', hash: 'ab'.repeat(32) })),
  });
}

/** Creates a record of the stream `config`. */
export function createRecord(
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

/** Creates the record of a change. */
export function createChange(
  offset: number,
  base: number,
  declarations: unknown = createDeclarations(offset + 1),
) {
  return createRecord(offset, 'config.change', { base, declarations });
}

/** Creates the record of a snapshot. */
export function createSnapshot(offset: number, through: number, asOf: number, state: unknown) {
  return createRecord(offset, 'config.snapshot', { through, asOf, state });
}
