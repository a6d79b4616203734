/** The hibiscusctl program. */
export { runCli } from './cli';
export type { CliStreams } from './cli';

export { COMMANDS } from './commands';
export type { Command, CommandOption } from './commands';

export { EXIT_CODES } from './exit-codes';
export type { ExitCode, ExitName } from './exit-codes';

export { ChangeApplier } from './applying';
export type { ApplyOutcome, ChangeApplierOptions } from './applying';

export { ConfigReader } from './config-reader';

export { createCliPage } from './cli-page';

export { CTL_SETTINGS } from './settings';
