/** One started program: its ready line, its signals, its end. */
import { type ChildProcess, spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const START_TIMEOUT_MS = 20_000;
const MOST_KEPT_STDERR = 4000;

/** A program of the workspace. */
export type ProgramName =
  'hibiscus-entry' | 'hibiscus-agent' | 'hibiscus-fakes' | 'hibiscus-load' | 'hibiscusctl';

/** The fields of a program's ready line. */
export type ReadyLine = Readonly<Record<string, string>>;

/** A program that is running. */
export class Child {
  readonly name: string;

  readonly ready: ReadyLine;

  readonly #process: ChildProcess;

  readonly #ended: Promise<number | null>;

  private constructor(name: string, ready: ReadyLine, started: ChildProcess) {
    this.name = name;
    this.ready = ready;
    this.#process = started;
    this.#ended = new Promise((resolve) => {
      started.once('exit', (code) => resolve(code));
    });
  }

  /**
   * Starts a program and waits for its ready line.
   *
   * @param name - what the process is called in reports
   * @param program - the program
   * @param args - its arguments
   * @returns the child
   */
  static async start(name: string, program: ProgramName, args: readonly string[]): Promise<Child> {
    const started = spawn(process.execPath, [programPath(program), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, ROARR_LOG: process.env.ROARR_LOG },
    });
    const ready = await readReadyLine(name, started);
    return new Child(name, ready, started);
  }

  /** The process id. */
  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    return this.#process.exitCode !== null || this.#process.signalCode !== null;
  }

  /** Sends a signal to this process alone. */
  signal(signal: NodeJS.Signals): void {
    if (!this.hasEnded) this.#process.kill(signal);
  }

  /**
   * Ends the process.
   *
   * @param signal - `SIGTERM` shuts it down gracefully, `SIGKILL` does not
   * @returns its exit code
   */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    if (this.hasEnded) return this.#process.exitCode;
    this.signal('SIGCONT');
    this.signal(signal);
    return this.#ended;
  }
}

/**
 * Finds a built program.
 *
 * @param program - its name
 * @returns the path
 */
export function programPath(program: ProgramName): string {
  const isBundle = import.meta.url.endsWith('.mjs');
  const folder = isBundle ? './' : '../../../dist/';
  return fileURLToPath(new URL(`${folder}${program}.mjs`, import.meta.url));
}

function readReadyLine(name: string, started: ChildProcess): Promise<ReadyLine> {
  return new Promise((resolve, reject) => {
    let stdout = '';
    let stderr = '';
    const fail = (reason: string): void => reject(new Error(`${name}: ${reason}\n${stderr}`));
    const timer = setTimeout(() => fail('is not ready in time'), START_TIMEOUT_MS);
    started.stderr?.on('data', (data: Buffer) => {
      stderr = (stderr + data.toString()).slice(-MOST_KEPT_STDERR);
      if (process.env.HIBISCUS_SHOW_STDERR) process.stderr.write(`${name}: ${data.toString()}`);
    });
    started.once('exit', (code) => fail(`ended with ${code}`));
    started.stdout?.on('data', (data: Buffer) => {
      if (process.env.ROARR_LOG) process.stdout.write(data);
      stdout += data.toString();
      const line = stdout.split('\n').find((text) => /^\{"(listening|inner)"/.test(text));
      if (line === undefined || !stdout.includes(`${line}\n`)) return;
      clearTimeout(timer);
      resolve(JSON.parse(line) as ReadyLine);
    });
  });
}
