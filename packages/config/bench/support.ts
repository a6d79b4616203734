/** Declarations of a given size, and helpers of the benchmarks. */
import { createHash } from 'node:crypto';

import type { Offset, RecordId, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { Declarations } from '../src';

/** The numbers of teams and keys. */
export interface Size {
  readonly teams: number;
  readonly keys: number;
}

/** Creates declarations; variants differ in one team's request rate. */
export function createDeclarations(size: Size, variant = 1): Declarations {
  return Declarations.parse({
    teams: Array.from({ length: size.teams }, (_, index) => ({
      name: `team-${index}`,
      bounds: {
        requestsPerSecond: index === 0 ? variant : 100,
        tokensPerSecond: 10_000,
        inFlight: 50,
      },
    })),
    keys: Array.from({ length: size.keys }, (_, index) => ({
      id: `key${index}`,
      team: `team-${index % size.teams}`,
      hash: createHash('sha256').update(`${index}`).digest('hex'),
    })),
  });
}

/** Creates the record of a change. */
export function createChange(offset: number, base: number, declarations: unknown): LogRecord {
  return {
    offset: offset as Offset,
    id: `r${offset}` as RecordId,
    kind: 'config.change',
    payload: { base, declarations },
    appendedAt: 0 as WallTime,
  };
}

/** Fits a line to points by least squares; returns its slope and its value at zero. */
export function fitLine(points: readonly (readonly [number, number])[]): [number, number] {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return [slope, meanY - slope * meanX];
}

/** Prints a line. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
