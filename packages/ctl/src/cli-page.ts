/** Generates the page `docs/CLI.md` from the tables of commands, settings and exit codes. */
import { COMMANDS, type Command } from './commands';
import { EXIT_CODES } from './exit-codes';
import { CTL_SETTINGS } from './settings';

/**
 * Generates the page `docs/CLI.md`.
 *
 * @returns the page as Markdown
 */
export function createCliPage(): string {
  return [
    '# hibiscusctl',
    '',
    'Generated from the tables in `packages/ctl/src` by `UPDATE_DOCS=1 npx vitest run packages/ctl`.',
    '',
    'Every command accepts `--json`, which prints one object with `outcome`, `exitCode` and the',
    'fields of the command to standard output. Without it, results go to standard output and',
    'errors go to standard error.',
    '',
    '## Commands',
    '',
    ...COMMANDS.flatMap(describeCommand),
    '## Settings',
    '',
    'A flag takes precedence over its environment variable.',
    '',
    '| flag | variable | default | meaning |',
    '| --- | --- | --- | --- |',
    ...Object.values(CTL_SETTINGS).map(
      (setting) =>
        `| \`--${setting.flag}\` | \`${setting.env}\` | \`${setting.default}\` | ${setting.doc} |`,
    ),
    '',
    '## Exit codes',
    '',
    '| code | `outcome` | meaning |',
    '| --- | --- | --- |',
    ...Object.entries(EXIT_CODES).map(
      ([name, { code, meaning }]) => `| ${code} | \`${name}\` | ${meaning} |`,
    ),
    '',
  ].join('\n');
}

function describeCommand(command: Command): string[] {
  const options = command.options.map((option) => `- \`--${option.flag}\`: ${option.doc}`);
  const exits = ['ok', ...command.exits].map((name) => `\`${name}\``).join(', ');
  return [
    `### hibiscusctl ${command.usage}`,
    '',
    command.doc,
    '',
    ...(options.length > 0 ? [...options, ''] : []),
    `Exits with ${exits}.`,
    '',
  ];
}
