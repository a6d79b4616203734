/** Differences between two sets of declarations, by item and field. */
import { itemName } from './canonical';
import type { Declarations, Key, Service, Team, Trainer } from './declarations';

/** The sections of declarations. */
export const SECTIONS = ['teams', 'keys', 'services', 'trainers'] as const;

/** The name of a section. */
export type Section = (typeof SECTIONS)[number];

/** An item of any section. */
export type Item = Team | Key | Service | Trainer;

/** A field whose value differs. A side is undefined where it lacks the field. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** An item that was added, changed or withdrawn. */
export interface ItemChange {
  readonly section: Section;
  readonly name: string;
  readonly change: 'added' | 'changed' | 'withdrawn';
  readonly fields: readonly FieldChange[];
}

/** What turns one set of declarations into another. */
export interface Delta {
  readonly set: Partial<Record<Section, readonly Item[]>>;
  readonly drop: Partial<Record<Section, readonly string[]>>;
}

/**
 * Lists what differs, in the order of sections and names.
 *
 * @param before - the declarations in force
 * @param after - the declarations to compare with them
 * @returns one entry for each item that differs
 */
export function compareDeclarations(before: Declarations, after: Declarations): ItemChange[] {
  return SECTIONS.flatMap((section) => {
    const old = indexItems(before[section]);
    const fresh = indexItems(after[section]);
    const names = [...new Set([...old.keys(), ...fresh.keys()])].sort();
    return names.flatMap((name) => compareItem(section, name, old.get(name), fresh.get(name)));
  });
}

/**
 * Computes the items that differ between two sets of declarations.
 *
 * @param before - the declarations that the receiver has
 * @param after - the declarations that it should get
 * @returns the items to set and the names to drop
 */
export function computeDelta(before: Declarations, after: Declarations): Delta {
  const changes = compareDeclarations(before, after);
  const set: Partial<Record<Section, Item[]>> = {};
  const drop: Partial<Record<Section, string[]>> = {};
  SECTIONS.forEach((section) => {
    const here = changes.filter((change) => change.section === section);
    const gone = here.filter((change) => change.change === 'withdrawn');
    const wanted = new Set(
      here.filter((change) => change.change !== 'withdrawn').map((change) => change.name),
    );
    if (wanted.size > 0) {
      const items: readonly Item[] = after[section];
      set[section] = items.filter((item) => wanted.has(itemName(item)));
    }
    if (gone.length > 0) drop[section] = gone.map((change) => change.name);
  });
  return { set, drop };
}

/**
 * Applies a delta. The result is not yet validated.
 *
 * @param before - what the delta starts from
 * @param delta - the delta
 * @returns the declarations after it, with items in no particular order
 */
export function applyDelta(before: Declarations, delta: Delta): Record<Section, Item[]> {
  const sections = SECTIONS.map((section): [Section, Item[]] => {
    const items = indexItems(before[section]);
    (delta.drop[section] ?? []).forEach((name) => items.delete(name));
    (delta.set[section] ?? []).forEach((item) => items.set(itemName(item), item));
    return [section, [...items.values()]];
  });
  return Object.fromEntries(sections) as Record<Section, Item[]>;
}

function compareItem(
  section: Section,
  name: string,
  before: Item | undefined,
  after: Item | undefined,
): ItemChange[] {
  const fields = compareFields(before ?? {}, after ?? {});
  if (before === undefined) return [{ section, name, change: 'added', fields }];
  if (after === undefined) return [{ section, name, change: 'withdrawn', fields }];
  return fields.length === 0 ? [] : [{ section, name, change: 'changed', fields }];
}

function compareFields(before: object, after: object): FieldChange[] {
  const old = flatten(before);
  const fresh = flatten(after);
  const names = [...new Set([...old.keys(), ...fresh.keys()])];
  return names
    .filter((name) => JSON.stringify(old.get(name)) !== JSON.stringify(fresh.get(name)))
    .map((field) => ({ field, before: old.get(field), after: fresh.get(field) }));
}

function flatten(value: object, prefix = ''): Map<string, unknown> {
  const fields = new Map<string, unknown>();
  Object.entries(value).forEach(([name, inner]) => {
    if (typeof inner === 'object' && inner !== null && !Array.isArray(inner)) {
      flatten(inner, `${prefix}${name}.`).forEach((deep, path) => fields.set(path, deep));
    } else fields.set(`${prefix}${name}`, inner);
  });
  return fields;
}

function indexItems(items: readonly Item[]): Map<string, Item> {
  return new Map(items.map((item) => [itemName(item), item]));
}
