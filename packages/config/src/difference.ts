/** Differences between two sets of declarations, by item and field. */
import { itemName } from './canonical';
import type { Declarations, Key, Service, Team, Trainer } from './declarations';

/** The sections of declarations. */
export const SECTIONS = ['teams', 'keys', 'services', 'trainers'] as const;

/** The name of a section. */
export type Section = (typeof SECTIONS)[number];

/** An item of any section. */
export type Item = Team | Key | Service | Trainer;

/** A field whose value differs; `before` or `after` is undefined where the field is absent. */
export interface FieldChange {
  /** The path of the field in its item, such as `bounds.inFlight`. */
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

/** The items to set and to remove (by name) that turn one set of declarations into another. */
export interface Delta {
  readonly set: Partial<Record<Section, readonly Item[]>>;
  readonly drop: Partial<Record<Section, readonly string[]>>;
}

/**
 * Compares two sets of declarations.
 *
 * @param before - the declarations before the change
 * @param after - the declarations after it
 * @returns one entry for each item that differs, in the order of sections and names
 */
export function compareDeclarations(before: Declarations, after: Declarations): ItemChange[] {
  return SECTIONS.flatMap((section) => {
    const oldItems = indexItems(before[section]);
    const newItems = indexItems(after[section]);
    const names = [...new Set([...oldItems.keys(), ...newItems.keys()])].sort();
    return names.flatMap((name) =>
      compareItem(section, name, oldItems.get(name), newItems.get(name)),
    );
  });
}

/**
 * Computes the delta between two sets of declarations.
 *
 * @param before - the declarations that the receiver has
 * @param after - the declarations that it should have
 * @returns the items to set and the names of the items to remove
 */
export function computeDelta(before: Declarations, after: Declarations): Delta {
  const changes = compareDeclarations(before, after);
  const set: Partial<Record<Section, Item[]>> = {};
  const drop: Partial<Record<Section, string[]>> = {};
  SECTIONS.forEach((section) => {
    const sectionChanges = changes.filter((change) => change.section === section);
    const withdrawn = sectionChanges.filter((change) => change.change === 'withdrawn');
    const namesToSet = new Set(
      sectionChanges.filter((change) => change.change !== 'withdrawn').map((change) => change.name),
    );
    if (namesToSet.size > 0) {
      const items: readonly Item[] = after[section];
      set[section] = items.filter((item) => namesToSet.has(itemName(item)));
    }
    if (withdrawn.length > 0) drop[section] = withdrawn.map((change) => change.name);
  });
  return { set, drop };
}

/**
 * Applies a delta. The result is not validated.
 *
 * @param before - the declarations that the delta was computed from
 * @param delta - the delta
 * @returns the declarations after the delta, with items in no particular order
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
  const oldFields = flatten(before);
  const newFields = flatten(after);
  const names = [...new Set([...oldFields.keys(), ...newFields.keys()])];
  return names
    .filter((name) => JSON.stringify(oldFields.get(name)) !== JSON.stringify(newFields.get(name)))
    .map((field) => ({ field, before: oldFields.get(field), after: newFields.get(field) }));
}

/** Lists the fields of nested objects by their paths, such as `bounds.inFlight`. */
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
