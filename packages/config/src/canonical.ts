/** The canonical form of declarations, so that processes can compare them by digest. */
import { createHash } from 'node:crypto';

import { sort } from 'fp-ts/ReadonlyArray';
import { contramap } from 'fp-ts/Ord';
import { pipe } from 'fp-ts/function';
import * as string from 'fp-ts/string';

import type { Declarations } from './declarations';

/** Returns the name of an item in its section: the id of a key, the name of any other item. */
export function itemName(item: { readonly name: string } | { readonly id: string }): string {
  return 'name' in item ? item.name : item.id;
}

/**
 * Sorts the items of each section by name. The order of a service's routes is kept, because the
 * first route that matches a request applies.
 *
 * @param declarations - valid declarations
 * @returns the same declarations in canonical form
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
 * Computes the digest by which processes compare declarations.
 *
 * @param json - canonical declarations as JSON
 * @returns a SHA-256 hash in hexadecimal
 */
export function computeDigest(json: string): string {
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
