/** The command line: flags and environment to a command, its report to the streams. */
import { SystemClock, readSettings } from '@hibiscushill/base';
import { HttpLog } from '@hibiscushill/log';
import sade from 'sade';

import { COMMANDS, type Command } from './commands';
import type { CommandContext } from './context';
import { EXIT_CODES } from './exit-codes';
import { type Report, createReport, formatReport } from './report';
import { CTL_SETTINGS, formatSettingProblem } from './settings';

/** Where a run reads its settings and writes its output. */
export interface CliStreams {
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
}

type Options = Readonly<Record<string, string | boolean | undefined>>;

interface Call {
  readonly command: Command;
  readonly args: readonly string[];
  readonly options: Options;
}

/**
 * Runs one command.
 *
 * @param argv - the process's arguments, with the two that Node.js puts first
 * @param streams - the environment and the output
 * @returns the exit code
 */
export async function runCli(argv: readonly string[], streams: CliStreams): Promise<number> {
  const call = parseCall(argv);
  if (call === undefined) return EXIT_CODES.usage.code;
  const report = await runCall(call, streams).catch((error: unknown) =>
    createReport('internal', [String(error)], { error: String(error) }),
  );
  const isJson = call.options.json === true;
  const text = formatReport(report, isJson);
  if (report.exit === 'ok' || isJson) streams.write(text);
  else streams.writeError(text);
  return EXIT_CODES[report.exit].code;
}

function parseCall(argv: readonly string[]): Call | undefined {
  let call: Call | undefined;
  const cli = sade('hibiscusctl').describe('Operates hibiscushill by declarations.');
  cli.option('--json', 'Write one JSON object, for scripts.');
  Object.values(CTL_SETTINGS).forEach((setting) => {
    cli.option(`--${setting.flag}`, `${setting.doc} (${setting.env})`);
  });
  COMMANDS.forEach((command) => {
    const entry = cli.command(command.usage, command.doc);
    command.options.forEach((option) => entry.option(`--${option.flag}`, option.doc));
    entry.action((...values: unknown[]) => {
      const options = values.pop() as Options;
      call = { command, args: values.map(String), options };
    });
  });
  const texts = Object.values(CTL_SETTINGS).map((setting) => setting.flag);
  cli.parse([...argv], { string: [...texts, 'expect', 'logs', '_'], boolean: ['json'] } as never);
  return call;
}

async function runCall(call: Call, streams: CliStreams): Promise<Report> {
  const { command, args, options } = call;
  const texts = toTexts(options);
  const settings = readSettings('hibiscusctl', CTL_SETTINGS, toArgv(texts), streams.env);
  if (settings.isErr()) return createReport('usage', settings.error.map(formatSettingProblem));
  const { platformUrl, logUrl, entries, waitMs, usageWindowMs } = settings.value;
  const log = new HttpLog({ url: logUrl === '' ? platformUrl : logUrl });
  const clock = new SystemClock();
  const context: CommandContext = { log, clock, waitMs, usageWindowMs, entries };
  try {
    return await command.run(context, args, texts);
  } finally {
    await log.close();
  }
}

function toTexts(options: Options): Record<string, string | undefined> {
  return Object.fromEntries(
    Object.entries(options)
      .filter(([, value]) => typeof value === 'string')
      .map(([name, value]) => [name, String(value)]),
  );
}

function toArgv(texts: Record<string, string | undefined>): string[] {
  const flags = Object.values(CTL_SETTINGS)
    .filter((setting) => texts[setting.flag] !== undefined)
    .map((setting) => `--${setting.flag}=${texts[setting.flag] ?? ''}`);
  return ['node', 'hibiscusctl', ...flags];
}
