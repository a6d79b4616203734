/** Reads the processor time of processes from `/proc` on Linux. */
import { readFile } from 'node:fs/promises';

// Linux reports processor time in units of USER_HZ, which is 100 on all common architectures.
const TICKS_PER_SECOND = 100;
// Indexes among the fields of /proc/PID/stat that follow the process name.
const USER_TICKS_INDEX = 11;
const SYSTEM_TICKS_INDEX = 12;

/** Seconds of processor time by process id. */
export type ProcessorSeconds = ReadonlyMap<number, number>;

/**
 * Reads the processor time that processes have used since they started.
 *
 * @param pids - the process ids
 * @returns seconds of processor time by process id, without processes that no longer exist
 */
export async function readProcessorSeconds(pids: readonly number[]): Promise<ProcessorSeconds> {
  const seconds = new Map<number, number>();
  for (const pid of pids) {
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8').catch(() => undefined);
    if (stat !== undefined) seconds.set(pid, parseProcessorSeconds(stat));
  }
  return seconds;
}

/**
 * Parses the processor time of a process.
 *
 * @param stat - the content of `/proc/PID/stat`
 * @returns seconds in user and system mode together
 */
export function parseProcessorSeconds(stat: string): number {
  // The process name is in parentheses and may contain spaces and parentheses itself.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TICKS_INDEX]) + Number(fields[SYSTEM_TICKS_INDEX])) / TICKS_PER_SECOND;
}
