/**
 * The command `status`: shows the configuration version of each process and the holders of duties.
 */
import { type Result, err, ok } from 'neverthrow';
import { request } from 'undici';
import { z } from 'zod';

import { ConfigReader } from './config-reader';
import type { CommandContext } from './context';
import { type DutyRow, readDuties } from './duties';
import { type Report, createReport, formatTable } from './report';

const TIMEOUT_MS = 2_000;
const HTTP_OK = 200;

const TargetStatus = z.looseObject({
  target: z.string().optional(),
  configVersion: z.number().optional(),
  up: z.boolean().optional(),
});

const EntryStatus = z.looseObject({
  instance: z.string(),
  zone: z.string(),
  ready: z.boolean().optional(),
  configVersion: z.number(),
  targets: z.array(TargetStatus).default([]),
});

type EntryStatus = z.infer<typeof EntryStatus>;

/** The status that an entry responded with, or why there is none. */
interface EntryResponse {
  readonly url: string;
  readonly status: Result<EntryStatus, string>;
}

/** Reports the version in force, the version of each process, and the holder of each duty. */
export async function showStatus(context: CommandContext): Promise<Report> {
  const reader = new ConfigReader(context.log);
  const read = await reader.catchUp();
  const version = read.isOk() && reader.isComplete ? reader.version : undefined;
  const responses = await Promise.all(context.entries.map(queryEntry));
  const trainers = reader.state?.declarations.trainers ?? [];
  const duties = await readDuties(
    context.log,
    trainers.map((trainer) => trainer.name),
  );
  const isComplete = read.isOk() && duties.isOk() && responses.every(({ status }) => status.isOk());
  const rows = duties.unwrapOr([]);
  const lines = [
    `Version in force: ${describeVersion(version)}`,
    ...formatProcesses(responses, version),
    ...formatDuties(rows),
  ];
  const processes = responses.map(({ url, status }) =>
    status.match(
      (fields) => ({ url, ...fields }),
      (error) => ({ url, error }),
    ),
  );
  return createReport(isComplete ? 'ok' : 'partial', lines, { version, processes, duties: rows });
}

async function queryEntry(url: string): Promise<EntryResponse> {
  try {
    const res = await request(new URL('/status', url), {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const parsed = EntryStatus.safeParse(await res.body.json());
    if (res.statusCode === HTTP_OK && parsed.success) return { url, status: ok(parsed.data) };
    return { url, status: err(`HTTP ${res.statusCode}`) };
  } catch (error) {
    return { url, status: err(error instanceof Error ? error.message : String(error)) };
  }
}

function formatProcesses(
  responses: readonly EntryResponse[],
  version: number | undefined,
): string[] {
  if (responses.length === 0) return ['No entries were queried. Set --entries.'];
  const rows = responses.flatMap(({ url, status }) =>
    status.match(
      (entry) => describeEntry(entry, version),
      (error) => [[url, '', '', '', `no response: ${error}`]],
    ),
  );
  return formatTable([['PROCESS', 'ZONE', 'ROLE', 'VERSION', 'STATE'], ...rows]);
}

function describeEntry(status: EntryStatus, version: number | undefined): string[][] {
  const state = status.ready === false ? 'not ready' : describeLag(status.configVersion, version);
  const entryRow = [status.instance, status.zone, 'entry', `${status.configVersion}`, state];
  const targetRows = status.targets.map((target) => [
    `  ${target.target ?? '?'}`,
    '',
    'agent',
    `${target.configVersion ?? '?'}`,
    describeTarget(target, version),
  ]);
  return [entryRow, ...targetRows];
}

function describeTarget(target: z.infer<typeof TargetStatus>, version: number | undefined): string {
  if (target.up === false) return 'down';
  return target.configVersion === undefined ? '' : describeLag(target.configVersion, version);
}

function describeLag(processVersion: number, version: number | undefined): string {
  if (version === undefined || processVersion === version) return 'ok';
  return processVersion < version ? 'behind' : 'ahead of the version read';
}

function formatDuties(rows: readonly DutyRow[]): string[] {
  if (rows.length === 0) return ['No duty is claimed.'];
  const cells = rows.map((row) => [row.duty, row.holder, `${row.fencing}`, row.state]);
  return formatTable([['DUTY', 'HOLDER', 'FENCING', 'STATE'], ...cells]);
}

function describeVersion(version: number | undefined): string {
  if (version === undefined) return 'unknown';
  return version < 0 ? 'none' : `${version}`;
}
