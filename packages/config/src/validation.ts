/** Validation of declarations: the schema, and the consistency between items. */
import { type Result, err, ok } from 'neverthrow';

import { Declarations, type Route } from './declarations';

/** The location of a problem in the declarations, such as `['keys', 3, 'team']`. */
export type ProblemPath = readonly (string | number)[];

/** A reason why declarations are invalid. */
export interface DeclarationProblem {
  readonly path: ProblemPath;
  readonly message: string;
}

/**
 * Validates declarations against the schema and for consistency. The result depends on the argument
 * alone, so that every process accepts the same changes.
 *
 * @param input - the parsed content of a file or a record's payload
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
  const problems = checkConsistency(parsed.data);
  return problems.length > 0 ? err(problems) : ok(parsed.data);
}

/**
 * Checks what the schema of a single item can't express: unique names, references between items,
 * the range of target counts, and routes that can never match.
 *
 * @param declarations - declarations that match the schema
 * @returns every problem found
 */
export function checkConsistency(declarations: Declarations): DeclarationProblem[] {
  return [
    ...checkUniqueNames(declarations),
    ...checkReferencedItems(declarations),
    ...declarations.services.flatMap((_, index) => checkService(declarations, index)),
  ];
}

/**
 * Formats a path.
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

function checkUniqueNames(declarations: Declarations): DeclarationProblem[] {
  return [
    ...findDuplicates('teams', 'name', namesOf(declarations.teams)),
    ...findDuplicates(
      'keys',
      'id',
      declarations.keys.map((key) => key.id),
    ),
    ...findDuplicates('services', 'name', namesOf(declarations.services)),
    ...findDuplicates('trainers', 'name', namesOf(declarations.trainers)),
  ];
}

function checkReferencedItems(declarations: Declarations): DeclarationProblem[] {
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
  const servicePath: ProblemPath = ['services', index];
  const problems: DeclarationProblem[] = [];
  service.zones.forEach((zone, zoneIndex) => {
    if (zone.least <= zone.most) return;
    problems.push({
      path: [...servicePath, 'zones', zoneIndex, 'least'],
      message: 'least must not exceed most',
    });
  });
  const zones = service.zones.map((zone) => zone.zone);
  zones.forEach((zone, zoneIndex) => {
    if (zones.indexOf(zone) === zoneIndex) return;
    problems.push({
      path: [...servicePath, 'zones', zoneIndex, 'zone'],
      message: `${zone} is listed twice`,
    });
  });
  service.routes.forEach((route, routeIndex) => {
    const message = checkRoute(route, service.routes.slice(0, routeIndex));
    if (message !== undefined)
      problems.push({ path: [...servicePath, 'routes', routeIndex], message });
  });
  return problems;
}

function checkRoute(route: Route, earlier: readonly Route[]): string | undefined {
  if (route.path.slice(0, -1).includes('*')) return 'a * is allowed only at the end of a path';
  const cover = earlier.find((other) => covers(other, route));
  if (cover === undefined) return undefined;
  return `never matches: the earlier route ${cover.method} ${cover.path} matches first`;
}

function covers(earlier: Route, later: Route): boolean {
  if (earlier.method !== '*' && earlier.method !== later.method) return false;
  if (!earlier.path.endsWith('*')) return earlier.path === later.path;
  return later.path.startsWith(earlier.path.slice(0, -1));
}

function findDuplicates(
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
