/** Parses the command line, runs the command and prints its report. */
import { SystemClock, readSettings } from '@hibiscushill/base';
import { HttpLog } from '@hibiscushill/log';
import sade from 'sade';

import { COMMANDS, type Command } from './commands';
import type { CommandContext } from './context';
import { EXIT_CODES } from './exit-codes';
import { type Report, createReport, formatReport } from './report';
import { CTL_SETTINGS, formatSettingProblem } from './settings';

/** The environment variables that a run reads and the outputs that it writes to. */
export interface CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
}

type Options = Readonly<Record<string, string | boolean | undefined>>;

/** A parsed command line. */
interface Invocation {
  readonly command: Command;
  readonly args: readonly string[];
  readonly options: Options;
}

/**
 * Runs one command.
 *
 * @param argv - the process's arguments, including the two leading ones that Node.js adds
 * @param io - the environment and the outputs
 * @returns the exit code
 */
export async function runCli(argv: readonly string[], io: CliIo): Promise<number> {
  const invocation = parseArgv(argv);
  if (invocation === undefined) return EXIT_CODES.usage.code;
  const report = await runInvocation(invocation, io).catch((error: unknown) =>
    createReport('internal', [String(error)], { error: String(error) }),
  );
  const isJson = invocation.options.json === true;
  const output = formatReport(report, isJson);
  if (report.exit === 'ok' || isJson) io.write(output);
  else io.writeError(output);
  return EXIT_CODES[report.exit].code;
}

function parseArgv(argv: readonly string[]): Invocation | undefined {
  let invocation: Invocation | undefined;
  const cli = sade('hibiscusctl').describe('Configures and inspects hibiscushill.');
  cli.option('--json', 'Print one JSON object, for scripts.');
  Object.values(CTL_SETTINGS).forEach((setting) => {
    cli.option(`--${setting.flag}`, `${setting.doc} (${setting.env})`);
  });
  COMMANDS.forEach((command) => {
    const subcommand = cli.command(command.usage, command.doc);
    command.options.forEach((option) => subcommand.option(`--${option.flag}`, option.doc));
    subcommand.action((...values: unknown[]) => {
      const options = values.pop() as Options;
      invocation = { command, args: values.map(String), options };
    });
  });
  const settingFlags = Object.values(CTL_SETTINGS).map((setting) => setting.flag);
  cli.parse([...argv], {
    string: [...settingFlags, 'expect', 'logs', '_'],
    boolean: ['json'],
  } as never);
  return invocation;
}

async function runInvocation(invocation: Invocation, io: CliIo): Promise<Report> {
  const { command, args, options } = invocation;
  const stringOptions = pickStringOptions(options);
  const settings = readSettings('hibiscusctl', CTL_SETTINGS, toSettingArgv(stringOptions), io.env);
  if (settings.isErr()) return createReport('usage', settings.error.map(formatSettingProblem));
  const { platformUrl, logUrl, entries, waitMs, usageWindowMs } = settings.value;
  const log = new HttpLog({ url: logUrl === '' ? platformUrl : logUrl });
  const clock = new SystemClock();
  const context: CommandContext = { log, clock, waitMs, usageWindowMs, entries };
  try {
    return await command.run(context, args, stringOptions);
  } finally {
    await log.close();
  }
}

function pickStringOptions(options: Options): Record<string, string | undefined> {
  return Object.fromEntries(
    Object.entries(options)
      .filter(([, value]) => typeof value === 'string')
      .map(([name, value]) => [name, String(value)]),
  );
}

function toSettingArgv(options: Record<string, string | undefined>): string[] {
  const flags = Object.values(CTL_SETTINGS)
    .filter((setting) => options[setting.flag] !== undefined)
    .map((setting) => `--${setting.flag}=${options[setting.flag] ?? ''}`);
  return ['node', 'hibiscusctl', ...flags];
}
