/** Settings from flags and environment variables, validated before a process starts. */
import { err, ok, type Result } from 'neverthrow';
import sade from 'sade';
import { z } from 'zod';

/** One setting of a program. */
export interface Setting<T> {
  /** The flag without its leading dashes. */
  readonly flag: string;
  /** The environment variable. */
  readonly env: string;
  /** One sentence for `--help` and the documentation. */
  readonly doc: string;
  /** Validates and converts the setting's text. */
  readonly schema: z.ZodType<T>;
  /** The default text; without it the setting is required. */
  readonly default?: string;
}

/** The settings of a program, by their names in its code. */
export type SettingTable = Readonly<Record<string, Setting<unknown>>>;

/** The validated values of a table of settings. */
export type SettingValues<T extends SettingTable> = {
  readonly [K in keyof T]: T[K] extends Setting<infer V> ? V : never;
};

/** A setting whose text is missing or invalid. */
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
 * @param schema - validates and converts the text
 * @param defaultText - the text used if neither the flag nor the variable is given; without it the
 *   setting is required
 * @returns the setting
 * @example listen: createSetting('listen', 'Address to listen on.', z.string(), '127.0.0.1:8080')
 */
export function createSetting<T>(
  flag: string,
  doc: string,
  schema: z.ZodType<T>,
  defaultText?: string,
): Setting<T> {
  const env = `HIBISCUS_${flag.toUpperCase().replaceAll('-', '_')}`;
  return defaultText === undefined
    ? { flag, env, doc, schema }
    : { flag, env, doc, schema, default: defaultText };
}

/**
 * Reads a program's settings. A flag takes precedence over its environment variable.
 *
 * @param program - the program's name, for `--help`
 * @param table - the settings
 * @param argv - the process's arguments, as in `process.argv`
 * @param env - the process's environment
 * @returns the validated values, or every setting that is missing or invalid
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
    else problems.push(createProblem(setting, parsed.error));
  });
  return problems.length > 0 ? err(problems) : ok(values as SettingValues<T>);
}

/** Creates a schema for a required text that is not empty, as a value of type `T`. */
export function requiredText<T = string>(): z.ZodType<T> {
  return z.string({ error: 'is required' }).min(1) as unknown as z.ZodType<T>;
}

/** Creates a schema for a decimal integer from `min` to `max`. */
export function integerText(min: number, max: number): z.ZodType<number> {
  return z
    .string()
    .regex(/^-?\d+$/, 'must be a whole number')
    .transform(Number)
    .pipe(z.number().int().min(min).max(max));
}

/** Creates a schema for a comma-separated list, from which empty items are removed. */
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
    const defaultNote = setting.default === undefined ? 'required' : `default ${setting.default}`;
    cli.option(`--${setting.flag}`, `${setting.doc} (${setting.env}; ${defaultNote})`);
  });
  let flags: Record<string, string | undefined> = {};
  cli.action((options: Record<string, string | undefined>) => {
    flags = options;
  });
  cli.parse([...argv], { string: Object.values(table).map((setting) => setting.flag) } as never);
  return flags;
}

function createProblem(setting: Setting<unknown>, error: z.ZodError): SettingProblem {
  const message = error.issues.map((issue) => issue.message).join('; ');
  return { flag: setting.flag, env: setting.env, message };
}
