/** One form for equal declarations, so that processes can compare them by digest. */
import { createHash } from 'node:crypto';

import { sort } from 'fp-ts/ReadonlyArray';
import { contramap } from 'fp-ts/Ord';
import { pipe } from 'fp-ts/function';
import * as string from 'fp-ts/string';

import type { Declarations } from './declarations';

/** The name under which an item is known in its section. */
export function itemName(item: { readonly name: string } | { readonly id: string }): string {
  return 'name' in item ? item.name : item.id;
}

/**
 * Puts the items of each section in the order of their names. The order of routes inside a
 * service carries meaning and stays.
 *
 * @param declarations - valid declarations
 * @returns the same declarations in canonical order
 */
export function toCanonical(declarations: Declarations): Declarations {
  return {
    teams: sortItems(declarations.teams),
    keys: sortItems(declarations.keys),
    services: sortItems(declarations.services),
    trainers: sortItems(declarations.trainers),
  };
}

/**
 * Computes the digest of declarations.
 *
 * @param json - canonical declarations as JSON
 * @returns a SHA-256 hash in hexadecimal
 */
export function digestOf(json: string): string {
  return createHash('sha256').update(json).digest('hex');
}

function sortItems<T extends { readonly name: string } | { readonly id: string }>(
  items: readonly T[],
): T[] {
  const byName = pipe(
    string.Ord,
    contramap((item: T) => itemName(item)),
  );
  return [...pipe(items, sort(byName))];
}
