/** The exit codes of hibiscusctl. `docs/CLI.md` is generated from them. */

/** An exit code of the process and its meaning. */
export interface ExitCode {
  readonly code: number;
  readonly meaning: string;
}

/** Every exit code, by name. */
export const EXIT_CODES = {
  ok: { code: 0, meaning: 'Success. A change was accepted, or was in force already.' },
  usage: { code: 1, meaning: 'The command line or a setting is invalid.' },
  invalid: { code: 2, meaning: 'The declarations are invalid. Nothing was changed.' },
  conflict: {
    code: 3,
    meaning: 'Another change was accepted first. This one was not accepted and never will be.',
  },
  unknown: {
    code: 4,
    meaning: 'It is not known whether the change was or will be accepted. Run `outcome`.',
  },
  unavailable: { code: 5, meaning: 'The log is not available. Nothing was changed.' },
  detached: {
    code: 6,
    meaning: 'The log was trimmed and holds no usable snapshot. Nothing was changed.',
  },
  missing: { code: 7, meaning: 'The named key, result code, record or request was not found.' },
  partial: {
    code: 8,
    meaning: 'Some processes or the log did not respond. The report shows the rest.',
  },
  internal: { code: 70, meaning: 'An unexpected error in the program.' },
} as const satisfies Record<string, ExitCode>;

/** The name of an exit code. */
export type ExitName = keyof typeof EXIT_CODES;
