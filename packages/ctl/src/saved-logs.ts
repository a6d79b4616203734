/** Lines that processes wrote to standard output, read back from files. */
import { readFile, readdir, stat } from 'node:fs/promises';
import { basename, join } from 'node:path';

import { z } from 'zod';

/** One line of a process. */
export interface SavedLine {
  /** The process that wrote it. */
  readonly process: string;
  /** Milliseconds since 1970, by that process's clock. */
  readonly time: number;
  /** The line's number since the start of the process. */
  readonly sequence: number;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

// The message begins with the prefix already, and the level says nothing about the request.
const WRITER_FIELDS = new Set(['prefix', 'logLevel']);

const Line = z.object({
  context: z.record(z.string(), z.unknown()),
  message: z.string(),
  sequence: z.string(),
  time: z.number(),
});

/**
 * Reads saved logs. A line may have other text before its JSON; its last word then names the
 * process, which otherwise is the file's name.
 *
 * @param path - a file, or a directory of files
 * @returns the lines of all processes by time; text that is no line is left out
 */
export async function readSavedLogs(path: string): Promise<SavedLine[]> {
  const isDirectory = (await stat(path)).isDirectory();
  const names = isDirectory ? await readdir(path) : [];
  const files = isDirectory ? names.sort().map((name) => join(path, name)) : [path];
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8')));
  return texts
    .flatMap((text, index) => parseLines(text, basename(files[index] ?? '', '.log')))
    .sort((a, b) => a.time - b.time || a.sequence - b.sequence);
}

function parseLines(text: string, file: string): SavedLine[] {
  return text.split('\n').flatMap((raw) => parseLine(raw, file) ?? []);
}

function parseLine(raw: string, file: string): SavedLine | undefined {
  const start = raw.indexOf('{');
  if (start < 0) return undefined;
  const parsed = Line.safeParse(parseJson(raw.slice(start)));
  if (!parsed.success) return undefined;
  const { context, message, sequence, time } = parsed.data;
  const shown = Object.entries(context).filter(([name]) => !WRITER_FIELDS.has(name));
  const process = raw.slice(0, start).trim().split(/\s+/).at(-1) || file;
  return { process, time, sequence: Number(sequence), message, fields: Object.fromEntries(shown) };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Output of other writers, or a line that was cut when its process was killed.
    return undefined;
  }
}
