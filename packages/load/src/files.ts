/** The files that a run reads and writes. */
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';

import { type Failure, createFailure } from '@hibiscushill/base';
import { ResultAsync } from 'neverthrow';
import { finished } from 'node:stream/promises';

import { renderHtml } from './html-report';
import type { HistoryLine, Report } from './run';
import { type Scenario, parseScenario } from './scenario';

/** Where a run's results go. */
export interface OutputPaths {
  readonly json?: string;
  readonly html?: string;
}

/** A file of JSON lines. */
export class HistoryFile {
  readonly #stream: ReturnType<typeof createWriteStream>;

  /** @param path - the file, which is replaced */
  constructor(path: string) {
    this.#stream = createWriteStream(path);
  }

  /** Appends a line. */
  add(line: HistoryLine): void {
    this.#stream.write(`${JSON.stringify(line)}\n`);
  }

  /** Waits until all lines are written. */
  async close(): Promise<void> {
    this.#stream.end();
    await finished(this.#stream);
  }
}

/**
 * Reads a scenario file.
 *
 * @param path - the file
 * @returns the scenario, or why it can't be used
 */
export function readScenario(path: string): ResultAsync<Scenario, Failure> {
  return readText(path).andThen(parseScenario);
}

/**
 * Reads a report that an earlier run wrote.
 *
 * @param path - the file
 * @returns the report
 */
export function readReport(path: string): ResultAsync<Report, Failure> {
  return readText(path).map((text) => JSON.parse(text) as Report);
}

/**
 * Writes a report.
 *
 * @param report - the report
 * @param paths - the files
 */
export async function writeReport(report: Report, paths: OutputPaths): Promise<void> {
  if (paths.json) await writeFile(paths.json, `${JSON.stringify(report, undefined, 2)}\n`);
  if (paths.html) await writeFile(paths.html, renderHtml(report));
}

function readText(path: string): ResultAsync<string, Failure> {
  return ResultAsync.fromPromise(readFile(path, 'utf8'), (error) =>
    createFailure('request_invalid', { detail: String(error) }),
  );
}
