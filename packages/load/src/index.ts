/** Load generator, and simulations that compare policies with their baselines. */
export { Arrival, LoadRoute, LoadTeam, Scenario, parseScenario } from './scenario';

export { runScenario } from './run';
export type { HistoryLine, ProcessUsage, Report, RunOptions } from './run';

export type { RequestStats, LatencySummary } from './recorder';

export type { Verdict } from './verify';

export { formatComparison, formatReport } from './compare';

export { renderHtml } from './html-report';

export { createProxy } from './proxy';

export { parseLoopbackUrl } from './loopback';

export { simulatePolicies } from './policies';
