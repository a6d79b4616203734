/** The entry point of hibiscusctl. */
import { runCli } from './cli';

process.exitCode = await runCli(process.argv, {
  env: process.env,
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
