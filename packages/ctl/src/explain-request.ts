/** The command `explain`: reconstructs from saved log files what became of a request. */
import { type CodeName, RESULT_CODES } from '@hibiscushill/base';

import { type Report, createReport } from './report';
import { type SavedLine, readSavedLogs } from './saved-logs';

// Lines about a process this long before a request are shown too: an outage of the log causes
// refusals only once the configuration was not confirmed for some seconds.
const BEFORE_MS = 6_000;
const AFTER_MS = 200;

/** Parts of lines about which process runs submissions; shown for every process. */
const DUTY_LINES = [
  'Gained the duty.',
  'Lost the duty.',
  'Started running submissions.',
  'Stopped running submissions.',
  'Partial outputs',
];

/** Parts of lines about the dependencies of a process, its start and its end. */
const PROCESS_LINES = [
  'The gateway process',
  'The program is stopping',
  'Lost contact with the log.',
  'Regained contact with the log.',
  'Records were dropped before they were read',
  'Reaches the log',
  'that it is leaving',
  'that was leaving has started again',
  'said how many requests it takes',
];

/**
 * Explains what became of a request, a submission or an item, or of all requests of one content.
 *
 * @param id - its id, or the content
 * @param path - the saved logs: a file, or a directory of files
 * @returns the lines about it, lines that may explain them, and a conclusion
 */
export async function explainRequest(id: string, path: string): Promise<Report> {
  const lines = await readSavedLogs(path).catch((error: unknown) => String(error));
  if (typeof lines === 'string')
    return createReport('missing', [`The saved logs could not be read: ${lines}`]);
  const ownLines = lines.filter((line) => isAbout(line, id));
  const [first] = ownLines;
  const last = ownLines.at(-1);
  if (!first || !last) {
    const message = `No line names ${id} among ${lines.length} lines of ${listProcesses(lines).length} processes.`;
    return createReport('missing', [
      message,
      'Its process may have been killed before it wrote a line, or have omitted the lines.',
    ]);
  }
  const linesInTime = lines.filter(
    ({ time }) => time >= first.time - BEFORE_MS && time <= last.time + AFTER_MS,
  );
  const processes = listProcesses(ownLines);
  const contents: unknown[] = ownLines
    .map(({ fields }) => fields.content)
    .filter((content) => content !== undefined);
  const around = [
    ...linesInTime.filter((line) => isRelated(line, processes)),
    ...lines.filter((line) => !ownLines.includes(line) && contents.includes(line.fields.content)),
  ];
  const missing = describeGaps(linesInTime, processes);
  const conclusion = conclude(ownLines);
  const shown = [...ownLines, ...around].sort((a, b) => a.time - b.time);
  return createReport(
    'ok',
    [...shown.map((line) => formatLine(line, first.time)), ...missing, ...conclusion],
    { id, lines: ownLines, around, missing, conclusion },
  );
}

function isAbout({ fields }: SavedLine, id: string): boolean {
  // The line of a scoring call names the item that it scores beside the call. A content is what all
  // requests of a caller that sends the same one again have in common.
  return [fields.id, fields.item, fields.content]
    .filter((named) => typeof named === 'string')
    .some((named) => named === id || named.split('/').includes(id));
}

function isRelated({ process, message }: SavedLine, processes: readonly string[]): boolean {
  const lines = processes.includes(process) ? [...DUTY_LINES, ...PROCESS_LINES] : DUTY_LINES;
  return lines.some((text) => message.includes(text));
}

function listProcesses(lines: readonly SavedLine[]): string[] {
  return [...new Set(lines.map(({ process }) => process))];
}

/** Lists the processes whose log has gaps, where the absence of a line proves nothing. */
function describeGaps(lines: readonly SavedLine[], processes: readonly string[]): string[] {
  return processes.flatMap((process) => {
    const processLines = lines.filter((line) => line.process === process);
    const omitted = processLines.reduce(
      (sum, { fields }) => sum + Number(fields.omittedLines ?? 0),
      0,
    );
    const gaps = processLines.filter((line, index) => {
      const before = processLines[index - 1];
      return before !== undefined && line.sequence > before.sequence + 1;
    });
    return [
      ...(omitted > 0
        ? [`Missing: ${process} omitted ${omitted} lines because of its log rate limit.`]
        : []),
      ...(gaps.length > 0 ? [`Missing: ${process} has ${gaps.length} gaps in its numbering.`] : []),
    ];
  });
}

function conclude(lines: readonly SavedLine[]): string[] {
  const refusal = lines.findLast(({ message }) => message.includes('A request was refused.'));
  const answer = lines.findLast(({ message }) => message.includes('A request was answered.'));
  const failures = lines.filter(({ message }) => message.includes('An attempt failed.'));
  const runs = lines.filter(({ message }) => message.includes('A run ended.'));
  const attempts = failures.map(
    ({ fields }) => `${show(fields.target)}: ${show(fields.reason)} after ${show(fields.ageMs)} ms`,
  );
  const failed = attempts.length > 0 ? [`Failed attempts: ${attempts.join('; ')}.`] : [];
  if (refusal) return [`Refused: ${describeRefusal(refusal)}`, ...failed];
  if (answer) {
    const { status, tookMs } = answer.fields;
    return [`Answered with ${show(status)} after ${show(tookMs)} ms.`, ...failed];
  }
  const abandoned = lines.filter(({ message }) => message.includes('An item was abandoned.'));
  const ended = runs.length > 0 ? [describeRuns(runs)] : failed;
  return [...ended, ...abandoned.map(describeAbandonment)];
}

function describeAbandonment({ fields }: SavedLine): string {
  const { id, reason, serverErrors, scoringErrors, configVersion, configProofAgeMs } = fields;
  const errors = `after ${show(serverErrors ?? 0)} failed runs and ${show(scoringErrors ?? 0)} failed scoring calls`;
  const age = typeof configProofAgeMs === 'number' ? describeAge(configProofAgeMs) : '';
  return `Abandoned: ${show(id)}, ${show(reason)}, ${errors}, by configuration ${show(configVersion ?? 'none')}. ${age}`;
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

/** Summarizes the runs of items, and names the item that completed last, which ends a step. */
function describeRuns(runs: readonly SavedLine[]): string {
  const outcomes = new Map<string, number>();
  runs.forEach(({ fields }) => {
    const outcome = show(fields.outcome);
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  });
  const counts = [...outcomes].map(([outcome, count]) => `${count} ${outcome}`).join(', ');
  const last = runs.findLast(({ fields }) => fields.outcome === 'complete');
  if (!last) return `Runs: ${counts}; none completed.`;
  const { id, tookMs, events, target } = last.fields;
  return `Runs: ${counts}. Completed last: ${show(id)} at ${show(target)}, ${show(events)} events in ${show(tookMs)} ms.`;
}

function formatLine({ process, time, message, fields }: SavedLine, from: number): string {
  const values = Object.entries(fields).map(([name, value]) => `${name}=${show(value)}`);
  const at = `${time - from >= 0 ? '+' : ''}${time - from} ms`;
  return [at, process, message, ...values].join('  ');
}

function show(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
