/** The entry: the program's parts that documents and tests use. */
export { ENTRY_SETTINGS } from './settings';
export type { EntrySettings } from './settings';
