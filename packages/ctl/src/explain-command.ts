/** The command `explain`. */
import { type CodeName, RESULT_CODES, findCodeName } from '@hibiscushill/base';

import { type Report, createReport } from './report';

/** Explains a result code by its number or name. */
export function explain(text: string): Report {
  const name = /^\d+$/.test(text) ? findCodeName(Number(text)) : text;
  if (name === undefined || !Object.hasOwn(RESULT_CODES, name)) {
    return createReport('missing', [`No result code is called ${text}.`], { code: text });
  }
  const entry = RESULT_CODES[name as CodeName];
  const { code, status, meaning, action } = entry;
  const lines = [`${code} ${name} (HTTP ${status})`, meaning, `What to do: ${action}`];
  return createReport('ok', lines, { name, ...entry });
}
