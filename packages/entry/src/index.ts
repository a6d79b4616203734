/** Settings of `hibiscus-entry`, for the generated settings page and for tests. */
export { ENTRY_SETTINGS } from './settings';
export type { EntrySettings } from './settings';
