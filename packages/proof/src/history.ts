/** What callers did and saw, kept in memory and written as JSON lines. */
import { mkdir, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';

/** What a caller asked for. */
export type CallKind = 'generate' | 'look-up' | 'order' | 'echo';

/** One call with its answer. Times are in milliseconds of the caller's clock. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly team: string;
  readonly entry: string;
  readonly invokedAt: number;
  readonly returnedAt: number;
  /** The HTTP status; zero when the connection broke. */
  readonly status: number;
  /** Whether the answer came to a clean end. */
  readonly isClean: boolean;
  /** Whether a clean answer with status 200 was the right one. */
  readonly isRight: boolean;
  readonly code?: number;
  readonly run?: string;
  readonly retryAfterMs?: number;
  readonly detail?: string;
}

/** A fault that was brought about. */
export interface FaultRecord {
  readonly at: number;
  readonly fault: string;
  readonly on: string;
}

/** One run's history. */
export interface RunHistory {
  readonly seed: number;
  readonly calls: CallRecord[];
  readonly faults: FaultRecord[];
}

/**
 * Writes a history as JSON lines.
 *
 * @param path - the file
 * @param history - the history
 */
export async function writeHistory(path: string, history: RunHistory): Promise<void> {
  await mkdir(dirname(path), { recursive: true });
  const lines = [
    ...history.faults.map((fault) => JSON.stringify({ type: 'fault', ...fault })),
    ...history.calls.map((call) => JSON.stringify({ type: 'call', ...call })),
  ];
  await writeFile(path, `${lines.join('\n')}\n`);
}
