/** Pages of the documentation that are made from tables in code. */
import { AGENT_SETTINGS } from '@hibiscushill/agent';
import { type SettingTable, listCodes } from '@hibiscushill/base';
import { ENTRY_SETTINGS } from '@hibiscushill/entry';

/**
 * Makes the page of result codes.
 *
 * @returns Markdown
 */
export function createCodesPage(): string {
  const rows = listCodes().map(
    ({ code, name, status, meaning, action }) =>
      `| ${code} | \`${name}\` | ${status} | ${meaning} | ${action} |`,
  );
  return [
    '# Result codes',
    '',
    'Made from `packages/base/src/codes.ts`; `npm test` checks it. Every refusal and failure carries one of these numbers, `run` (`not-run` or `may-have-run`), and, where coming back makes sense, `retryAfterMs` and the header `Retry-After`. `hibiscusctl explain CODE` prints a row.',
    '',
    '| code | name | HTTP status | meaning | what to do |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

/**
 * Makes the page of settings.
 *
 * @returns Markdown
 */
export function createSettingsPage(): string {
  return [
    '# Settings',
    '',
    'Made from the settings tables of the programs; `npm test` checks it. A flag goes before its environment variable. A program with a wrong setting names every one that it refused and ends with exit code 2.',
    '',
    ...createSettingsTable('hibiscus-entry', ENTRY_SETTINGS),
    ...createSettingsTable('hibiscus-agent', AGENT_SETTINGS),
    '`hibiscusctl` is described in [CLI.md](CLI.md).',
    '',
  ].join('\n');
}

function createSettingsTable(program: string, table: SettingTable): string[] {
  const rows = Object.values(table).map(
    ({ flag, env, doc, default: fallback }) =>
      `| \`--${flag}\` | \`${env}\` | ${fallback === undefined ? 'required' : `\`${fallback}\``} | ${doc} |`,
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
