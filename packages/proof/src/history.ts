/** The history of a run: its calls with their responses, and its faults; written as JSON lines. */
import { mkdir, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';

/** The kind of request that a caller sends. */
export type CallKind = 'generate' | 'look-up' | 'order' | 'echo';

/** A call and its outcome. Times are in milliseconds of the caller's monotonic clock. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly team: string;
  /** The entry's base URL. */
  readonly entry: string;
  readonly invokedAt: number;
  readonly returnedAt: number;
  /** The HTTP status; zero when no response arrived. */
  readonly status: number;
  /** Whether the response was read to its end. */
  readonly isClean: boolean;
  /** Whether the response was complete, had status 200 and the expected content. */
  readonly isRight: boolean;
  /** This and the following fields are those of a refusal's body. */
  readonly code?: number;
  readonly run?: string;
  readonly retryAfterMs?: number;
  readonly detail?: string;
}

/** An injected fault. */
export interface FaultRecord {
  /** When it began, in milliseconds of the monotonic clock. */
  readonly at: number;
  /** The kind of fault. */
  readonly fault: string;
  /** The target or entry that it affects, or `platform`. */
  readonly on: string;
}

/** Calls in the order in which they returned, and faults in the order in which they began. */
export interface RunHistory {
  readonly seed: number;
  readonly calls: CallRecord[];
  readonly faults: FaultRecord[];
}

/**
 * Writes a history as JSON lines.
 *
 * @param path - the file; its folder is created
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
