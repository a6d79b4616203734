/** Reads log lines that processes wrote to standard output and that were saved to files. */
import { readFile, readdir, stat } from 'node:fs/promises';
import { basename, join } from 'node:path';

import { z } from 'zod';

/** One saved log line. Its fields are part of the JSON of `explain`. */
export interface SavedLine {
  /** The name of the process that wrote it. */
  readonly process: string;
  /** When it was written, in milliseconds since 1970 by that process's clock. */
  readonly time: number;
  /** The number of the line, counted from the start of the process. */
  readonly sequence: number;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

// The message already begins with the prefix, and the level says nothing about the request.
const OMITTED_FIELDS = new Set(['prefix', 'logLevel']);

const LogLine = z.object({
  context: z.record(z.string(), z.unknown()),
  message: z.string(),
  sequence: z.string(),
  time: z.number(),
});

/**
 * Reads saved logs. If a line has text before its JSON, the last word of that text is taken as the
 * name of the process; otherwise the file's name is.
 *
 * @param path - a file, or a directory of files
 * @returns the lines of all processes, sorted by time; lines that are no log lines are omitted
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

function parseLines(text: string, defaultProcess: string): SavedLine[] {
  return text.split('\n').flatMap((line) => parseLine(line, defaultProcess) ?? []);
}

function parseLine(line: string, defaultProcess: string): SavedLine | undefined {
  const jsonStart = line.indexOf('{');
  if (jsonStart < 0) return undefined;
  const parsed = LogLine.safeParse(parseJson(line.slice(jsonStart)));
  if (!parsed.success) return undefined;
  const { context, message, sequence, time } = parsed.data;
  const shownFields = Object.entries(context).filter(([name]) => !OMITTED_FIELDS.has(name));
  const process = line.slice(0, jsonStart).trim().split(/\s+/).at(-1) || defaultProcess;
  return {
    process,
    time,
    sequence: Number(sequence),
    message,
    fields: Object.fromEntries(shownFields),
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Other output, or a line that was truncated when its process was killed.
    return undefined;
  }
}
