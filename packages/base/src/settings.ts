/** Settings from flags and environment variables, checked before a process starts. */
import { err, ok, type Result } from 'neverthrow';
import sade from 'sade';
import { z } from 'zod';

/** One setting of a program. */
export interface Setting<T> {
  readonly flag: string;
  readonly env: string;
  readonly doc: string;
  readonly schema: z.ZodType<T>;
  readonly default?: string;
}

/** The settings of a program, by the names that its code uses. */
export type SettingTable = Readonly<Record<string, Setting<unknown>>>;

/** The checked values of a table of settings. */
export type SettingValues<T extends SettingTable> = {
  readonly [K in keyof T]: T[K] extends Setting<infer V> ? V : never;
};

/** A setting whose value was refused. */
export interface SettingProblem {
  readonly flag: string;
  readonly env: string;
  readonly message: string;
}

/**
 * Declares a setting.
 *
 * @param flag - the flag without dashes; the environment variable is derived from it
 * @param doc - one sentence for `--help` and the documentation
 * @param schema - checks and converts the text
 * @param fallback - the text used when neither flag nor variable is given; without it the
 *   setting is required
 * @returns the setting
 * @example listen: createSetting('listen', 'Address to listen on.', z.string(), '127.0.0.1:8080')
 */
export function createSetting<T>(
  flag: string,
  doc: string,
  schema: z.ZodType<T>,
  fallback?: string,
): Setting<T> {
  const env = `HIBISCUS_${flag.toUpperCase().replaceAll('-', '_')}`;
  return fallback === undefined
    ? { flag, env, doc, schema }
    : { flag, env, doc, schema, default: fallback };
}

/**
 * Reads a program's settings. A flag goes before its environment variable.
 *
 * @param program - the program's name, for `--help`
 * @param table - the settings
 * @param argv - the process's arguments, with the two that Node.js puts first
 * @param env - the process's environment
 * @returns the checked values, or every setting that was refused
 */
export function readSettings<T extends SettingTable>(
  program: string,
  table: T,
  argv: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): Result<SettingValues<T>, SettingProblem[]> {
  const flags = parseFlags(program, table, argv);
  const problems: SettingProblem[] = [];
  const values: Record<string, unknown> = {};
  Object.entries(table).forEach(([name, setting]) => {
    const text = flags[setting.flag] ?? env[setting.env] ?? setting.default;
    const parsed = setting.schema.safeParse(text === undefined ? undefined : String(text));
    if (parsed.success) values[name] = parsed.data;
    else problems.push(toProblem(setting, parsed.error));
  });
  return problems.length > 0 ? err(problems) : ok(values as SettingValues<T>);
}

/** A text that is required and not empty, as a value of the wanted brand. */
export function requiredText<T = string>(): z.ZodType<T> {
  return z.string({ error: 'is required' }).min(1) as unknown as z.ZodType<T>;
}

/** A whole number in text, within bounds. */
export function integerText(least: number, most: number): z.ZodType<number> {
  return z
    .string()
    .regex(/^-?\d+$/, 'must be a whole number')
    .transform(Number)
    .pipe(z.number().int().min(least).max(most));
}

/** A comma-separated list in text; an empty text is an empty list. */
export function listText(): z.ZodType<string[]> {
  return z.string().transform((text) => text.split(',').filter((item) => item !== ''));
}

function parseFlags(
  program: string,
  table: SettingTable,
  argv: readonly string[],
): Record<string, string | undefined> {
  const cli = sade(program, true);
  Object.values(table).forEach((setting) => {
    const fallback = setting.default === undefined ? 'required' : `default ${setting.default}`;
    cli.option(`--${setting.flag}`, `${setting.doc} (${setting.env}; ${fallback})`);
  });
  let flags: Record<string, string | undefined> = {};
  cli.action((options: Record<string, string | undefined>) => {
    flags = options;
  });
  cli.parse([...argv], { string: Object.values(table).map((setting) => setting.flag) } as never);
  return flags;
}

function toProblem(setting: Setting<unknown>, error: z.ZodError): SettingProblem {
  const message = error.issues.map((issue) => issue.message).join('; ');
  return { flag: setting.flag, env: setting.env, message };
}
