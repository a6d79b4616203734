/** Settings of `hibiscus-agent`, for the generated settings page and for tests. */
export { AGENT_SETTINGS } from './settings';
export type { AgentSettings } from './settings';
