/** The command `explain` for a request: what became of it, from saved logs alone. */
import { type CodeName, RESULT_CODES } from '@hibiscushill/base';

import { type Report, createReport } from './report';
import { type SavedLine, readSavedLogs } from './saved-logs';

// What happened to a process's dependencies this long before a request may still matter to it: an
// outage of the log shows in refusals until the proof of a configuration has run out.
const BEFORE_MS = 6_000;
const AFTER_MS = 200;

/** Parts of lines about who runs submissions, which concern every process. */
const DUTY_LINES = [
  'Gained the duty.',
  'Lost the duty.',
  'Runs submissions.',
  'No longer runs submissions.',
  'Unfinished texts',
];

/** Parts of lines about what one process could reach, and how long it ran. */
const PROCESS_LINES = [
  'Started.',
  'Stops',
  'Lost the log.',
  'Regained the log.',
  'The history was dropped',
  'Reaches the log',
];

/**
 * Explains what became of a request, a submission or an item.
 *
 * @param id - its id
 * @param path - the saved logs: a file, or a directory of files
 */
export async function explainRequest(id: string, path: string): Promise<Report> {
  const lines = await readSavedLogs(path).catch((error: unknown) => String(error));
  if (typeof lines === 'string') return createReport('missing', [`The logs: ${lines}`]);
  const own = lines.filter((line) => isAbout(line, id));
  const [first] = own;
  const last = own.at(-1);
  if (!first || !last) {
    const told = `No line names ${id} among ${lines.length} lines of ${listProcesses(lines).length} processes.`;
    return createReport('missing', [
      told,
      'Its process was killed before it wrote, or its lines were left out.',
    ]);
  }
  const near = lines.filter(
    ({ time }) => time >= first.time - BEFORE_MS && time <= last.time + AFTER_MS,
  );
  const processes = listProcesses(own);
  const around = near.filter((line) => isCircumstance(line, processes));
  const missing = describeMissing(near, processes);
  const conclusion = conclude(own);
  const shown = [...own, ...around].sort((a, b) => a.time - b.time);
  return createReport(
    'ok',
    [...shown.map((line) => formatLine(line, first.time)), ...missing, ...conclusion],
    { id, lines: own, around, missing, conclusion },
  );
}

function isAbout({ fields }: SavedLine, id: string): boolean {
  const named = typeof fields.id === 'string' ? fields.id : '';
  return named === id || named.split('/').includes(id);
}

function isCircumstance({ process, message }: SavedLine, processes: readonly string[]): boolean {
  const lines = processes.includes(process) ? [...DUTY_LINES, ...PROCESS_LINES] : DUTY_LINES;
  return lines.some((text) => message.includes(text));
}

function listProcesses(lines: readonly SavedLine[]): string[] {
  return [...new Set(lines.map(({ process }) => process))];
}

/** Tells which lines of the processes are not there, so that silence isn't taken for calm. */
function describeMissing(near: readonly SavedLine[], processes: readonly string[]): string[] {
  return processes.flatMap((process) => {
    const own = near.filter((line) => line.process === process);
    const omitted = own.reduce((sum, { fields }) => sum + Number(fields.omittedLines ?? 0), 0);
    const gaps = own.filter((line, index) => {
      const before = own[index - 1];
      return before !== undefined && line.sequence > before.sequence + 1;
    });
    return [
      ...(omitted > 0 ? [`Missing: ${process} left out ${omitted} lines to keep its bound.`] : []),
      ...(gaps.length > 0 ? [`Missing: ${process} has ${gaps.length} gaps in its numbering.`] : []),
    ];
  });
}

function conclude(own: readonly SavedLine[]): string[] {
  const refusal = own.findLast(({ message }) => message.includes('A request was refused.'));
  const answer = own.findLast(({ message }) => message.includes('A request was answered.'));
  const failures = own.filter(({ message }) => message.includes('An attempt brought no answer.'));
  const runs = own.filter(({ message }) => message.includes('A run ended.'));
  const attempts = failures.map(
    ({ fields }) => `${show(fields.target)}: ${show(fields.reason)} after ${show(fields.ageMs)} ms`,
  );
  const tried = attempts.length > 0 ? [`Attempts without an answer: ${attempts.join('; ')}.`] : [];
  if (refusal) return [`Refused: ${describeRefusal(refusal)}`, ...tried];
  if (answer) {
    const { status, tookMs } = answer.fields;
    return [`Answered with ${show(status)} after ${show(tookMs)} ms.`, ...tried];
  }
  return runs.length > 0 ? [describeRuns(runs)] : tried;
}

function describeRefusal({ fields }: SavedLine): string {
  const name = show(fields.code);
  const meaning = Object.hasOwn(RESULT_CODES, name) ? RESULT_CODES[name as CodeName].meaning : '';
  const age = typeof fields.proofAgeMs === 'number' ? ` ${describeAge(fields.proofAgeMs)}` : '';
  return `${name}, ${show(fields.run)}. ${meaning} ${show(fields.detail)}${age}`;
}

function describeAge(proofAgeMs: number): string {
  return `The configuration was confirmed ${proofAgeMs} ms before.`;
}

/** Names the item that was whole last, since it decides when a step is. */
function describeRuns(runs: readonly SavedLine[]): string {
  const outcomes = new Map<string, number>();
  runs.forEach(({ fields }) => {
    const outcome = show(fields.outcome);
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  });
  const told = [...outcomes].map(([outcome, count]) => `${count} ${outcome}`).join(', ');
  const last = runs.findLast(({ fields }) => fields.outcome === 'complete');
  if (!last) return `Runs: ${told}; none was whole.`;
  const { id, tookMs, events, target } = last.fields;
  return `Runs: ${told}. Whole last: ${show(id)} at ${show(target)}, ${show(events)} events in ${show(tookMs)} ms.`;
}

function formatLine({ process, time, message, fields }: SavedLine, from: number): string {
  const values = Object.entries(fields).map(([name, value]) => `${name}=${show(value)}`);
  const at = `${time - from >= 0 ? '+' : ''}${time - from} ms`;
  return [at, process, message, ...values].join('  ');
}

function show(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
