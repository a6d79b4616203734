/** The program `hibiscus-entry`: the HTTP server for callers, trainers and operators. */
import { readSettings } from '@hibiscushill/base';

import { Entry } from './entry';
import { ENTRY_SETTINGS } from './settings';

const EXIT_INVALID_SETTINGS = 2;

const settings = readSettings('hibiscus-entry', ENTRY_SETTINGS, process.argv, process.env);
if (settings.isErr()) {
  settings.error.forEach((problem) =>
    process.stderr.write(`--${problem.flag} (${problem.env}): ${problem.message}\n`),
  );
  process.exitCode = EXIT_INVALID_SETTINGS;
} else {
  const entry = await Entry.start(settings.value);
  process.stdout.write(`${JSON.stringify(entry.addresses)}\n`);
  process.on('SIGTERM', () => {
    void entry.stop().then(() => process.exit(0));
  });
}
