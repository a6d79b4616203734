/** The files that a run reads and writes. */
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';

import { type Failure, createFailure } from '@hibiscushill/base';
import { ResultAsync } from 'neverthrow';
import { finished } from 'node:stream/promises';

import { renderHtml } from './html-report';
import type { HistoryLine, Report } from './run';
import { type Scenario, parseScenario } from './scenario';

/** The files that a report is written to, by format. A format without a path is not written. */
export interface OutputPaths {
  readonly json?: string;
  readonly html?: string;
}

/** A run's request history as a file with one JSON line per request. */
export class HistoryFile {
  readonly #stream: ReturnType<typeof createWriteStream>;

  /** @param path - the file to write; an existing one is overwritten */
  constructor(path: string) {
    this.#stream = createWriteStream(path);
  }

  /** Appends one request. */
  append(line: HistoryLine): void {
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
 * @returns the scenario, or `request_invalid` when the file can't be read or is invalid
 */
export function readScenario(path: string): ResultAsync<Scenario, Failure> {
  return readText(path).andThen(parseScenario);
}

/**
 * Reads a report that an earlier run wrote as JSON.
 *
 * @param path - the file
 * @returns the report, which is not validated, or `request_invalid` when the file can't be read
 */
export function readReport(path: string): ResultAsync<Report, Failure> {
  return readText(path).map((text) => JSON.parse(text) as Report);
}

/**
 * Writes a report in each format that has a path.
 *
 * @param report - the report
 * @param paths - the file of each format
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
