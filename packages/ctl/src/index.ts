/** The hibiscusctl program: its command line, commands, settings and exit codes. */
export { runCli } from './cli';
export type { CliIo } from './cli';

export { COMMANDS } from './commands';
export type { Command, CommandOption } from './commands';

export { EXIT_CODES } from './exit-codes';
export type { ExitCode, ExitName } from './exit-codes';

export { ChangeApplier } from './change-applier';
export type { ApplyOutcome, ChangeApplierOptions } from './change-applier';

export { ConfigReader } from './config-reader';

export { createCliPage } from './cli-page';

export { CTL_SETTINGS } from './settings';
