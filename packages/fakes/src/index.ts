/** Fakes of the platform, of engines and of plain services, and a TCP proxy with faults. */
export { FaultProxy, createFaultProxyAdmin } from './fault-proxy';
export type { FaultProxyOptions } from './fault-proxy';

export { FakeEngine } from './engine/engine';
export { EngineSettings } from './engine/settings';
export { countPromptTokens, createToken, createTokens, hashText } from './engine/tokens';

export { FakeInstances } from './instances';
export { FakeLog } from './log';
export { FakeOrders } from './orders';
export type { FakeOrdersOptions, TargetChange } from './orders';
export { FakePlainService, computeStock } from './plain-service';
export { FakeUsage } from './usage';
export { FakeWeights, createWeights } from './weights';

export { History } from './history';
export type { HistoryEntry } from './history';
export { FakeServer } from './server';
export type { FakeServerOptions } from './server';
export { FakeService } from './fake-service';
export type { FakeServiceOptions } from './fake-service';
export { ROLES, createFakes } from './roles';
