/** Validation of declarations: the schema and the references between items. */
import { type Result, err, ok } from 'neverthrow';

import { Declarations, type Route } from './declarations';

/** Where a problem stands inside the declarations, such as `['keys', 3, 'team']`. */
export type ProblemPath = readonly (string | number)[];

/** Something that makes declarations invalid. */
export interface DeclarationProblem {
  readonly path: ProblemPath;
  readonly message: string;
}

/**
 * Checks declarations against the schema and against one another. The verdict depends on the
 * argument alone, so that every process reaches the same one.
 *
 * @param input - what was read from a file or a record
 * @returns the declarations with defaults filled in, or every problem found
 */
export function parseDeclarations(input: unknown): Result<Declarations, DeclarationProblem[]> {
  const parsed = Declarations.safeParse(input);
  if (!parsed.success) {
    return err(
      parsed.error.issues.map((issue) => ({
        path: issue.path.filter((part) => typeof part !== 'symbol'),
        message: issue.message,
      })),
    );
  }
  const problems = checkReferences(parsed.data);
  return problems.length > 0 ? err(problems) : ok(parsed.data);
}

/**
 * Checks what the schema of a single item can't: unique names, references, bounds, routes.
 *
 * @param declarations - declarations that fit the schema
 * @returns every problem found
 */
export function checkReferences(declarations: Declarations): DeclarationProblem[] {
  return [
    ...checkUnique(declarations),
    ...checkOwners(declarations),
    ...declarations.services.flatMap((_, index) => checkService(declarations, index)),
  ];
}

/**
 * Writes a path as text.
 *
 * @param path - the path
 * @returns text such as `keys[3].team`
 */
export function formatPath(path: ProblemPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? part : `${text}.${part}`;
  }, '');
}

function checkUnique(declarations: Declarations): DeclarationProblem[] {
  return [
    ...findRepeats('teams', 'name', namesOf(declarations.teams)),
    ...findRepeats(
      'keys',
      'id',
      declarations.keys.map((key) => key.id),
    ),
    ...findRepeats('services', 'name', namesOf(declarations.services)),
    ...findRepeats('trainers', 'name', namesOf(declarations.trainers)),
  ];
}

function checkOwners(declarations: Declarations): DeclarationProblem[] {
  const teams = new Set<string>(namesOf(declarations.teams));
  const services = new Map<string, string>(
    declarations.services.map((service) => [service.name, service.kind]),
  );
  const problems: DeclarationProblem[] = [];
  declarations.keys.forEach((key, index) => {
    if (teams.has(key.team)) return;
    problems.push({ path: ['keys', index, 'team'], message: `no team is named ${key.team}` });
  });
  declarations.trainers.forEach((trainer, index) => {
    if (!teams.has(trainer.team)) {
      const path = ['trainers', index, 'team'];
      problems.push({ path, message: `no team is named ${trainer.team}` });
    }
    if (services.get(trainer.service) !== 'model') {
      const path = ['trainers', index, 'service'];
      problems.push({ path, message: `no model service is named ${trainer.service}` });
    }
  });
  return problems;
}

function checkService(declarations: Declarations, index: number): DeclarationProblem[] {
  const service = declarations.services[index];
  if (service === undefined) return [];
  const base: ProblemPath = ['services', index];
  const problems: DeclarationProblem[] = [];
  service.zones.forEach((zone, at) => {
    if (zone.least <= zone.most) return;
    problems.push({ path: [...base, 'zones', at, 'least'], message: 'least is above most' });
  });
  const zones = service.zones.map((zone) => zone.zone);
  zones.forEach((zone, at) => {
    if (zones.indexOf(zone) === at) return;
    problems.push({ path: [...base, 'zones', at, 'zone'], message: `${zone} is listed twice` });
  });
  service.routes.forEach((route, at) => {
    const message = checkRoute(route, service.routes.slice(0, at));
    if (message !== undefined) problems.push({ path: [...base, 'routes', at], message });
  });
  return problems;
}

function checkRoute(route: Route, earlier: readonly Route[]): string | undefined {
  if (route.path.slice(0, -1).includes('*')) return 'a * may stand at the end of a path only';
  const cover = earlier.find((other) => covers(other, route));
  if (cover === undefined) return undefined;
  return `never matches: ${cover.method} ${cover.path} stands before it`;
}

function covers(earlier: Route, later: Route): boolean {
  if (earlier.method !== '*' && earlier.method !== later.method) return false;
  if (!earlier.path.endsWith('*')) return earlier.path === later.path;
  return later.path.startsWith(earlier.path.slice(0, -1));
}

function findRepeats(
  section: string,
  field: string,
  names: readonly string[],
): DeclarationProblem[] {
  const seen = new Set<string>();
  const problems: DeclarationProblem[] = [];
  names.forEach((name, index) => {
    if (seen.has(name)) {
      problems.push({ path: [section, index, field], message: `${name} is declared twice` });
    }
    seen.add(name);
  });
  return problems;
}

function namesOf<T extends string>(items: readonly { readonly name: T }[]): T[] {
  return items.map((item) => item.name);
}
