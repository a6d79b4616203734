/** The command `explain` for a result code. */
import { type CodeName, RESULT_CODES, findCodeName } from '@hibiscushill/base';

import { type Report, createReport } from './report';

/**
 * Explains a result code.
 *
 * @param text - the number or the name of the code
 * @returns its HTTP status, its meaning and the advised action
 */
export function explain(text: string): Report {
  const name = /^\d+$/.test(text) ? findCodeName(Number(text)) : text;
  if (name === undefined || !Object.hasOwn(RESULT_CODES, name)) {
    return createReport('missing', [`No result code has the number or name ${text}.`], {
      code: text,
    });
  }
  const entry = RESULT_CODES[name as CodeName];
  const { code, status, meaning, action } = entry;
  const lines = [`${code} ${name} (HTTP ${status})`, meaning, `What to do: ${action}`];
  return createReport('ok', lines, { name, ...entry });
}
