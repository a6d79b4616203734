/** The record of a case and its verdict. */
import { writeFileSync } from 'node:fs';

/**
 * The exit code of each verdict. A script that fails by itself ends with 1, so that another code
 * reports a broken rule; `run-case.sh` translates it.
 */
export const EXIT_CODES = { held: 0, broken: 10, 'could-not-run': 2 } as const;

export type Verdict = keyof typeof EXIT_CODES;

/** Collects what was sent, answered and run, with the time since the start in milliseconds. */
export class CaseRecord {
  readonly #path: string;

  readonly #startedAt = Date.now();

  readonly #lines: string[] = [];

  /** @param path - the file that `write` writes */
  constructor(path: string) {
    this.#path = path;
  }

  /** Milliseconds since the start of the case. */
  get elapsedMs(): number {
    return Date.now() - this.#startedAt;
  }

  /** Adds a line; `who` is the client, process or stand-in that saw it. */
  add(who: string, text: string): void {
    this.#lines.push(`${`${this.elapsedMs}`.padStart(7)} ${who.padEnd(12)} ${text}`);
  }

  write(): void {
    writeFileSync(this.#path, `${this.#lines.join('\n')}\n`);
  }
}
