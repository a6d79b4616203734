/** The processor time of watched processes. */
import { readFile } from 'node:fs/promises';

// Linux reports processor time in hundredths of a second to programs.
const TICKS_PER_SECOND = 100;
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Processor seconds by process id. */
export type ProcessorSeconds = ReadonlyMap<number, number>;

/**
 * Reads the processor time that processes have used since they started.
 *
 * @param pids - the processes; one that is gone is left out
 * @returns seconds of processor time
 */
export async function readProcessorSeconds(pids: readonly number[]): Promise<ProcessorSeconds> {
  const seconds = new Map<number, number>();
  for (const pid of pids) {
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8').catch(() => undefined);
    if (stat !== undefined) seconds.set(pid, parseStat(stat));
  }
  return seconds;
}

/**
 * Reads the processor time out of a `stat` line.
 *
 * @param stat - the line
 * @returns seconds in user and system mode
 */
export function parseStat(stat: string): number {
  // The process's name stands in parentheses and may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) / TICKS_PER_SECOND;
}
