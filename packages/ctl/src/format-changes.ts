/** Formats differences between declarations, and problems in them, as lines of text. */
import {
  type DeclarationProblem,
  type FieldChange,
  type ItemChange,
  formatPath,
} from '@hibiscushill/config';

/** The marks of added, changed and withdrawn items, as in a diff. */
const CHANGE_SIGNS = { added: '+', changed: '~', withdrawn: '-' } as const;

/** The name of an item of each section. */
const ITEM_NAMES = {
  teams: 'team',
  keys: 'key',
  services: 'service',
  trainers: 'trainer',
} as const;

/**
 * Formats differences: a line for each item and an indented line for each field that differs.
 *
 * @param changes - the differences
 * @returns the lines, with a summary at the end
 */
export function formatChanges(changes: readonly ItemChange[]): string[] {
  if (changes.length === 0) return ['Nothing differs.'];
  return [...changes.flatMap(formatItem), summarise(changes)];
}

/**
 * Formats problems, one per line.
 *
 * @param problems - the problems
 * @returns the lines
 */
export function formatProblems(problems: readonly DeclarationProblem[]): string[] {
  return problems.map(({ path, message }) => `${formatPath(path)}: ${message}`);
}

function formatItem(item: ItemChange): string[] {
  const head = `${CHANGE_SIGNS[item.change]} ${ITEM_NAMES[item.section]} ${item.name}`;
  if (item.change === 'withdrawn') return [head];
  const fields = item.fields.filter((field) => field.field !== 'name' && field.field !== 'id');
  return [head, ...fields.map((field) => `    ${formatField(item, field)}`)];
}

function formatField(item: ItemChange, change: FieldChange): string {
  const after = JSON.stringify(change.after) ?? 'none';
  if (item.change === 'added') return `${change.field}: ${after}`;
  return `${change.field}: ${JSON.stringify(change.before) ?? 'none'} -> ${after}`;
}

function summarise(changes: readonly ItemChange[]): string {
  const count = (kind: ItemChange['change']): number =>
    changes.filter((change) => change.change === kind).length;
  return `${count('added')} added, ${count('changed')} changed, ${count('withdrawn')} withdrawn.`;
}
