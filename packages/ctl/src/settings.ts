/** The settings of hibiscusctl, from flags and environment variables. */
import {
  type SettingProblem,
  type SettingTable,
  createSetting,
  integerText,
  listText,
} from '@hibiscushill/base';
import { z } from 'zod';

const MAX_WAIT_MS = 600_000;
const DAY_MS = 86_400_000;

/** The settings that every command accepts. */
export const CTL_SETTINGS = {
  platformUrl: createSetting(
    'platform-url',
    "Base URL of the platform's services.",
    z.url(),
    'http://127.0.0.1:7700',
  ),
  logUrl: createSetting(
    'log-url',
    "Base URL of the platform's log, if it differs from the platform URL.",
    z.union([z.literal(''), z.url()]),
    '',
  ),
  entries: createSetting(
    'entries',
    'Base URLs of the entries that `status` queries, separated by commas.',
    listText(),
    '',
  ),
  waitMs: createSetting(
    'wait-ms',
    'How long a command keeps trying to learn the outcome of a change, in milliseconds.',
    integerText(1, MAX_WAIT_MS),
    '30000',
  ),
  usageWindowMs: createSetting(
    'usage-window-ms',
    'Length of a usage window, in milliseconds. Must equal the setting of the entries.',
    integerText(1, DAY_MS),
    '3600000',
  ),
} as const satisfies SettingTable;

/** Formats an invalid setting as a line of text that names its flag and environment variable. */
export function formatSettingProblem(problem: SettingProblem): string {
  return `--${problem.flag} (${problem.env}): ${problem.message}`;
}
