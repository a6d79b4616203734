/** The command `status`: the processes' versions, and who holds which duty. */
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

/** An entry's answer, or why there is none. */
interface Asked {
  readonly url: string;
  readonly answer: Result<EntryStatus, string>;
}

/** Shows the configuration in force, each process's version and the duties' holders. */
export async function showStatus(context: CommandContext): Promise<Report> {
  const reader = new ConfigReader(context.log);
  const read = await reader.catchUp();
  const version = read.isOk() && reader.isAttached ? reader.version : undefined;
  const asked = await Promise.all(context.entries.map(askEntry));
  const trainers = reader.state?.declarations.trainers ?? [];
  const duties = await readDuties(
    context.log,
    trainers.map((trainer) => trainer.name),
  );
  const isWhole = read.isOk() && duties.isOk() && asked.every(({ answer }) => answer.isOk());
  const rows = duties.unwrapOr([]);
  const lines = [
    `Version in force: ${describeVersion(version)}`,
    ...formatProcesses(asked, version),
    ...formatDuties(rows),
  ];
  const processes = asked.map(({ url, answer }) =>
    answer.match(
      (status) => ({ url, ...status }),
      (error) => ({ url, error }),
    ),
  );
  return createReport(isWhole ? 'ok' : 'partial', lines, { version, processes, duties: rows });
}

async function askEntry(url: string): Promise<Asked> {
  try {
    const res = await request(new URL('/status', url), {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const parsed = EntryStatus.safeParse(await res.body.json());
    if (res.statusCode === HTTP_OK && parsed.success) return { url, answer: ok(parsed.data) };
    return { url, answer: err(`HTTP ${res.statusCode}`) };
  } catch (error) {
    return { url, answer: err(error instanceof Error ? error.message : String(error)) };
  }
}

function formatProcesses(asked: readonly Asked[], version: number | undefined): string[] {
  if (asked.length === 0) return ['No entries were asked: give --entries.'];
  const rows = asked.flatMap(({ url, answer }) =>
    answer.match(
      (status) => describeEntry(status, version),
      (error) => [[url, '', '', '', `no answer: ${error}`]],
    ),
  );
  return formatTable([['PROCESS', 'ZONE', 'ROLE', 'VERSION', 'STATE'], ...rows]);
}

function describeEntry(status: EntryStatus, version: number | undefined): string[][] {
  const state = status.ready === false ? 'not ready' : compare(status.configVersion, version);
  const head = [status.instance, status.zone, 'entry', `${status.configVersion}`, state];
  const targets = status.targets.map((target) => [
    `  ${target.target ?? '?'}`,
    '',
    'agent',
    `${target.configVersion ?? '?'}`,
    describeTarget(target, version),
  ]);
  return [head, ...targets];
}

function describeTarget(target: z.infer<typeof TargetStatus>, version: number | undefined): string {
  if (target.up === false) return 'down';
  return target.configVersion === undefined ? '' : compare(target.configVersion, version);
}

function compare(has: number, version: number | undefined): string {
  if (version === undefined || has === version) return 'ok';
  return has < version ? 'behind' : 'ahead of what was read';
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
