/**
 * The commands of hibiscusctl. The command line and `docs/CLI.md` are generated from this table.
 */
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

/** A command of hibiscusctl. */
export interface Command {
  /** The name and the arguments, such as `plan <dir>`. */
  readonly usage: string;
  readonly doc: string;
  readonly options: readonly CommandOption[];
  /** The possible exit codes besides `ok`, `usage` and `internal`. */
  readonly exits: readonly ExitName[];
  /** Runs the command. Arguments and options are unparsed text. */
  readonly run: (
    context: CommandContext,
    args: readonly string[],
    options: Readonly<Record<string, string | undefined>>,
  ) => Promise<Report>;
}

/** The exit codes of a command that needs the configuration in force. */
const READ_EXITS = ['unavailable', 'detached'] as const;

const EXPECT_OPTION: CommandOption = {
  flag: 'expect',
  doc: 'The version that must be in force, such as the one that `plan` compared with.',
};

const LOGS_OPTION: CommandOption = {
  flag: 'logs',
  doc: 'Saved log output of processes: a file or a directory of files.',
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
    doc: 'Shows what `apply` would add, change and withdraw.',
    options: [],
    exits: ['invalid', ...READ_EXITS],
    run: (context, [directory = '']) => plan(context, directory),
  },
  {
    usage: 'apply <dir>',
    doc: 'Applies the declarations in a directory and reports the outcome.',
    options: [EXPECT_OPTION],
    exits: ['invalid', 'conflict', 'unknown', ...READ_EXITS],
    run: (context, [directory = ''], { expect }) => runApply(context, directory, expect),
  },
  {
    usage: 'outcome <record>',
    doc: 'Determines the outcome of a change for which `apply` reported `unknown`.',
    options: [],
    exits: ['invalid', 'conflict', 'missing', ...READ_EXITS],
    run: (context, [id = '']) => findOutcome(context, id),
  },
  {
    usage: 'restore <dir>',
    doc: 'Restores the configuration from the declarations in a directory, on a log that was trimmed and holds no usable snapshot.',
    options: [],
    exits: ['invalid', 'conflict', 'unknown', 'unavailable'],
    run: (context, [directory = '']) => restore(context, directory),
  },
  {
    usage: 'key create <team>',
    doc: 'Generates a key and prints its declaration and token. The token is not stored and cannot be shown again. The configuration is not changed.',
    options: [],
    exits: [],
    run: (_, [team = '']) => Promise.resolve(createKeyCommand(team)),
  },
  {
    usage: 'key withdraw <id>',
    doc: 'Withdraws a key in the configuration in force at once. Declaration files are not edited.',
    options: [],
    exits: ['conflict', 'unknown', 'missing', ...READ_EXITS],
    run: (context, [id = '']) => withdrawKey(context, id),
  },
  {
    usage: 'status',
    doc: 'Shows the configuration version in force, the version of each process, and the holder of each duty.',
    options: [],
    exits: ['partial'],
    run: (context) => showStatus(context),
  },
  {
    usage: 'usage',
    doc: 'Shows the closed usage windows that the log still holds, and which of them were reported.',
    options: [],
    exits: ['unavailable'],
    run: (context) => showUsage(context),
  },
  {
    usage: 'explain <what>',
    doc: 'Explains a result code, given its number or name. With `--logs`, explains what happened to a request, a submission or an item, given its id.',
    options: [LOGS_OPTION],
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
  return Promise.resolve(createReport('usage', ['--expect: must be a version number']));
}
