/** Generates the pages under `docs/` that list tables of the code. */
import { AGENT_SETTINGS } from '@hibiscushill/agent';
import { type SettingTable, listCodes } from '@hibiscushill/base';
import { ENTRY_SETTINGS } from '@hibiscushill/entry';

/**
 * Creates the page of result codes.
 *
 * @returns the page as Markdown
 */
export function createCodesPage(): string {
  const rows = listCodes().map(
    ({ code, name, status, meaning, action }) =>
      `| ${code} | \`${name}\` | ${status} | ${meaning} | ${action} |`,
  );
  return [
    '# Result codes',
    '',
    'Generated from `packages/base/src/codes.ts`; `npm test` checks that it is up to date. Every refusal and failure carries one of these numbers, `run` (`not-run` or `may-have-run`), and, where a retry makes sense, `retryAfterMs` and the header `Retry-After`. `hibiscusctl explain CODE` prints the row of a code.',
    '',
    '| code | name | HTTP status | meaning | what to do |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

/**
 * Creates the page of settings.
 *
 * @returns the page as Markdown
 */
export function createSettingsPage(): string {
  return [
    '# Settings',
    '',
    'Generated from the settings tables of the programs; `npm test` checks that it is up to date. A flag takes precedence over its environment variable. A program with invalid settings names each of them and exits with code 2.',
    '',
    ...createSettingsTable('hibiscus-entry', ENTRY_SETTINGS),
    ...createSettingsTable('hibiscus-agent', AGENT_SETTINGS),
    '`hibiscusctl` is described in [CLI.md](CLI.md).',
    '',
  ].join('\n');
}

function createSettingsTable(program: string, table: SettingTable): string[] {
  const rows = Object.values(table).map(
    ({ flag, env, doc, default: defaultText }) =>
      `| \`--${flag}\` | \`${env}\` | ${defaultText === undefined ? 'required' : `\`${defaultText}\``} | ${doc} |`,
  );
  return [
    `## ${program}`,
    '',
    '| flag | variable | default | what it sets |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ];
}
