/** The commands of hibiscusctl. The command line and `docs/CLI.md` are made from this table. */
import type { CommandContext } from './context';
import { apply, findOutcome, plan, validate } from './declaration-commands';
import { explain } from './explain-command';
import { explainRequest } from './explain-request';
import type { ExitName } from './exit-codes';
import { createKeyCommand, withdrawKey } from './key-commands';
import { type Report, createReport } from './report';
import { restore } from './restore-command';
import { showStatus } from './status-command';
import { showUsage } from './usage-command';

/** An option of one command. */
export interface CommandOption {
  readonly flag: string;
  readonly doc: string;
}

/** A command. */
export interface Command {
  /** The name and its arguments, such as `plan <dir>`. */
  readonly usage: string;
  readonly doc: string;
  readonly options: readonly CommandOption[];
  /** The exit codes beside `ok`, `usage` and `internal`. */
  readonly exits: readonly ExitName[];
  /** Runs it with its arguments and options as text. */
  readonly run: (
    context: CommandContext,
    args: readonly string[],
    options: Readonly<Record<string, string | undefined>>,
  ) => Promise<Report>;
}

const READ_EXITS = ['unavailable', 'detached'] as const;

const EXPECT: CommandOption = {
  flag: 'expect',
  doc: 'The version that has to be in force, such as the one that `plan` compared with.',
};

const LOGS: CommandOption = {
  flag: 'logs',
  doc: 'Saved output of processes: a file, or a directory of files.',
};

/** Every command. */
export const COMMANDS: readonly Command[] = [
  {
    usage: 'validate <dir>',
    doc: 'Checks the declarations in a directory.',
    options: [],
    exits: ['invalid'],
    run: (context, [directory = '']) => validate(context, directory),
  },
  {
    usage: 'plan <dir>',
    doc: 'Shows what applying a directory would add, change and withdraw.',
    options: [],
    exits: ['invalid', ...READ_EXITS],
    run: (context, [directory = '']) => plan(context, directory),
  },
  {
    usage: 'apply <dir>',
    doc: 'Puts a directory of declarations in force and reports what became of it.',
    options: [EXPECT],
    exits: ['invalid', 'conflict', 'unknown', ...READ_EXITS],
    run: (context, [directory = ''], { expect }) => runApply(context, directory, expect),
  },
  {
    usage: 'outcome <record>',
    doc: 'Finds out what became of a change whose outcome was unknown.',
    options: [],
    exits: ['invalid', 'conflict', 'missing', ...READ_EXITS],
    run: (context, [id = '']) => findOutcome(context, id),
  },
  {
    usage: 'restore <dir>',
    doc: 'Founds a configuration on a log that was trimmed and has lost it.',
    options: [],
    exits: ['invalid', 'conflict', 'unknown', 'unavailable'],
    run: (context, [directory = '']) => restore(context, directory),
  },
  {
    usage: 'key create <team>',
    doc: 'Makes a key and prints its declaration, and its secret this once. Changes nothing.',
    options: [],
    exits: [],
    run: (_, [team = '']) => Promise.resolve(createKeyCommand(team)),
  },
  {
    usage: 'key withdraw <id>',
    doc: 'Withdraws a key in force at once. Edits no file.',
    options: [],
    exits: ['conflict', 'unknown', 'missing', ...READ_EXITS],
    run: (context, [id = '']) => withdrawKey(context, id),
  },
  {
    usage: 'status',
    doc: "Shows the version in force, each process's version, and who holds which duty.",
    options: [],
    exits: ['partial'],
    run: (context) => showStatus(context),
  },
  {
    usage: 'usage',
    doc: 'Shows the closed usage windows that the log still holds, and which are reported.',
    options: [],
    exits: ['unavailable'],
    run: (context) => showUsage(context),
  },
  {
    usage: 'explain <what>',
    doc: 'Explains a result code by its number or name; with saved logs, what became of a request, a submission or an item by its id.',
    options: [LOGS],
    exits: ['missing'],
    run: (_, [what = ''], { logs }) =>
      logs === undefined ? Promise.resolve(explain(what)) : explainRequest(what, logs),
  },
];

function runApply(
  context: CommandContext,
  directory: string,
  expect: string | undefined,
): Promise<Report> {
  if (expect === undefined) return apply(context, directory);
  if (/^-?\d+$/.test(expect)) return apply(context, directory, Number(expect));
  return Promise.resolve(createReport('usage', ['--expect: must be a version']));
}
