/** Stand-ins for the platform, engines and plain services. */
export { Cutter, createCutterAdmin } from './cutter';
export type { CutterOptions } from './cutter';

export { FakeEngine } from './engine/engine';
export { EngineSettings } from './engine/settings';
export { countPromptTokens, createToken, createTokens, hashText } from './engine/tokens';

export { FakeInstances } from './instances';
export { FakeLog } from './log';
export { FakeOrders } from './orders';
export type { FakeOrdersOptions, TargetChange } from './orders';
export { FakePlain, countStock } from './plain';
export { FakeUsage } from './usage';
export { FakeWeights, createWeights } from './weights';

export { History } from './history';
export type { HistoryEntry } from './history';
export { FakeServer } from './server';
export type { FakeServerOptions } from './server';
export { StandIn } from './stand-in';
export type { StandInOptions } from './stand-in';
export { ROLES, createRole } from './roles';
