/** The agent: the program's parts that documents and tests use. */
export { AGENT_SETTINGS } from './settings';
export type { AgentSettings } from './settings';
