/** Declarations of a wanted size for the benches. */
import { createHash } from 'node:crypto';

import type { Offset, RecordId, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { Declarations } from '../src';

/** How many items there are. */
export interface Size {
  readonly teams: number;
  readonly keys: number;
}

/** Makes declarations; `tag` differs them in one team. */
export function createDeclarations(size: Size, tag = 1): Declarations {
  return Declarations.parse({
    teams: Array.from({ length: size.teams }, (_, index) => ({
      name: `team-${index}`,
      bounds: { requestsPerSecond: index === 0 ? tag : 100, tokensPerSecond: 10_000, inFlight: 50 },
    })),
    keys: Array.from({ length: size.keys }, (_, index) => ({
      id: `key${index}`,
      team: `team-${index % size.teams}`,
      hash: createHash('sha256').update(`${index}`).digest('hex'),
    })),
  });
}

/** Makes a record of a change. */
export function createChange(offset: number, base: number, declarations: unknown): LogRecord {
  return {
    offset: offset as Offset,
    id: `r${offset}` as RecordId,
    kind: 'config.change',
    payload: { base, declarations },
    appendedAt: 0 as WallTime,
  };
}

/** Fits a line through points by least squares. */
export function fitLine(points: readonly (readonly [number, number])[]): [number, number] {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const top = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const bottom = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = top / bottom;
  return [slope, meanY - slope * meanX];
}

/** Writes a line of output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
