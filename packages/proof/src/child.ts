/** Starts a program of the workspace as a child process and waits for its ready line. */
import { type ChildProcess, spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import type { Millis } from '@hibiscushill/base';

const START_TIMEOUT_MS: Millis = 20_000;
const MAX_KEPT_STDERR_CHARS = 4000;

/** A program of the workspace. */
export type ProgramName =
  'hibiscus-entry' | 'hibiscus-agent' | 'hibiscus-fakes' | 'hibiscus-load' | 'hibiscusctl';

/** The fields of the JSON line that a program prints to standard output once it is ready. */
export type ReadyLine = Readonly<Record<string, string>>;

/** A child process that runs a program of the workspace. */
export class Child {
  /** What the process is called in error messages. */
  readonly name: string;

  readonly readyLine: ReadyLine;

  readonly #childProcess: ChildProcess;

  /** The exit code once the process has ended; null if a signal ended it. */
  readonly #exitCode: Promise<number | null>;

  private constructor(name: string, readyLine: ReadyLine, childProcess: ChildProcess) {
    this.name = name;
    this.readyLine = readyLine;
    this.#childProcess = childProcess;
    this.#exitCode = new Promise((resolve) => {
      childProcess.once('exit', (code) => resolve(code));
    });
  }

  /**
   * Starts a program and waits for its ready line.
   *
   * @param name - what the process is called in error messages
   * @param program - the program
   * @param args - its arguments
   * @param startTimeoutMs - after which it is killed if it is not ready
   * @returns the process, once it is ready
   */
  static async start(
    name: string,
    program: ProgramName,
    args: readonly string[],
    startTimeoutMs: Millis = START_TIMEOUT_MS,
  ): Promise<Child> {
    const childProcess = spawn(process.execPath, [programPath(program), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, ROARR_LOG: process.env.ROARR_LOG },
    });
    const readyLine = await readReadyLine(name, childProcess, startTimeoutMs);
    return new Child(name, readyLine, childProcess);
  }

  /** The process id. */
  get pid(): number {
    return this.#childProcess.pid ?? 0;
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    return this.#childProcess.exitCode !== null || this.#childProcess.signalCode !== null;
  }

  /** Sends a signal to this process, not to its children; does nothing once it has ended. */
  signal(signal: NodeJS.Signals): void {
    if (!this.hasEnded) this.#childProcess.kill(signal);
  }

  /**
   * Ends the process, also one that `SIGSTOP` has paused, and waits until it has ended.
   *
   * @param signal - `SIGTERM` shuts it down gracefully, `SIGKILL` does not
   * @returns its exit code; null if a signal ended it
   */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    if (this.hasEnded) return this.#childProcess.exitCode;
    this.signal('SIGCONT');
    this.signal(signal);
    return this.#exitCode;
  }
}

/**
 * Finds a built program.
 *
 * @param program - its name
 * @returns the path of its bundle
 */
export function programPath(program: ProgramName): string {
  const isBundle = import.meta.url.endsWith('.mjs');
  const folder = isBundle ? './' : '../../../dist/';
  return fileURLToPath(new URL(`${folder}${program}.mjs`, import.meta.url));
}

function readReadyLine(
  name: string,
  childProcess: ChildProcess,
  startTimeoutMs: Millis,
): Promise<ReadyLine> {
  return new Promise((resolve, reject) => {
    let stdout = '';
    let stderr = '';
    const fail = (reason: string): void => reject(new Error(`${name}: ${reason}\n${stderr}`));
    const timer = setTimeout(() => {
      childProcess.kill('SIGKILL');
      fail(`process ${childProcess.pid} printed no ready line in time and was killed`);
    }, startTimeoutMs);
    childProcess.stderr?.on('data', (data: Buffer) => {
      stderr = (stderr + data.toString()).slice(-MAX_KEPT_STDERR_CHARS);
      if (process.env.HIBISCUS_SHOW_STDERR) process.stderr.write(`${name}: ${data.toString()}`);
    });
    childProcess.once('exit', (code) => {
      clearTimeout(timer);
      fail(`exited with code ${code} before it was ready`);
    });
    childProcess.stdout?.on('data', (data: Buffer) => {
      if (process.env.ROARR_LOG) process.stdout.write(data);
      stdout += data.toString();
      const line = stdout.split('\n').find((text) => /^\{"(listening|inner)"/.test(text));
      if (line === undefined || !stdout.includes(`${line}\n`)) return;
      clearTimeout(timer);
      resolve(JSON.parse(line) as ReadyLine);
    });
  });
}
