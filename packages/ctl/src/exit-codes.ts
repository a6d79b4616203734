/** The exit codes of hibiscusctl. `docs/CLI.md` is made from them. */

/** What an exit code means. */
export interface ExitCode {
  readonly code: number;
  readonly meaning: string;
}

/** Every exit code, by name. */
export const EXIT_CODES = {
  ok: { code: 0, meaning: 'Done; for a change: accepted, or in force already.' },
  usage: { code: 1, meaning: 'The command line is wrong.' },
  invalid: { code: 2, meaning: 'The declarations are invalid. Nothing was changed.' },
  conflict: {
    code: 3,
    meaning: 'Another change was accepted first. This one was not and never will be.',
  },
  unknown: {
    code: 4,
    meaning: 'It is not known whether the change was or will be accepted. Run `outcome`.',
  },
  unavailable: { code: 5, meaning: 'The log did not answer. Nothing was changed.' },
  detached: {
    code: 6,
    meaning: 'The log holds no configuration that can be relied on. Nothing was changed.',
  },
  missing: { code: 7, meaning: 'The named key, result code or record is not there.' },
  partial: { code: 8, meaning: 'Some processes did not answer; the rest is shown.' },
  internal: { code: 70, meaning: 'An error inside the program.' },
} as const satisfies Record<string, ExitCode>;

/** The name of an exit code. */
export type ExitName = keyof typeof EXIT_CODES;
