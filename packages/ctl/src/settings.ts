/** The settings of hibiscusctl, from flags and environment variables. */
import {
  type SettingProblem,
  type SettingTable,
  createSetting,
  integerText,
  listText,
} from '@hibiscushill/base';
import { z } from 'zod';

const MOST_WAIT_MS = 600_000;
const DAY_MS = 86_400_000;

/** Settings that every command takes. */
export const CTL_SETTINGS = {
  platformUrl: createSetting(
    'platform-url',
    "Base URL of the platform's services.",
    z.url(),
    'http://127.0.0.1:7700',
  ),
  logUrl: createSetting(
    'log-url',
    "Base URL of the platform's log, where it differs.",
    z.union([z.literal(''), z.url()]),
    '',
  ),
  entries: createSetting(
    'entries',
    'Base URLs of the entries that `status` asks, separated by commas.',
    listText(),
    '',
  ),
  waitMs: createSetting(
    'wait-ms',
    'How long a change goes on finding out what became of it.',
    integerText(1, MOST_WAIT_MS),
    '30000',
  ),
  usageWindowMs: createSetting(
    'usage-window-ms',
    'Length of a usage window; the same as at the entries.',
    integerText(1, DAY_MS),
    '3600000',
  ),
} as const satisfies SettingTable;

/** Writes a refused setting as text. */
export function formatSettingProblem(problem: SettingProblem): string {
  return `--${problem.flag} (${problem.env}): ${problem.message}`;
}
