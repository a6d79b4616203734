/** Load and experiment tool. */
export { Arrival, LoadRoute, LoadTeam, Scenario, parseScenario } from './scenario';

export { runScenario } from './run';
export type { HistoryLine, ProcessUse, Report, RunOptions } from './run';

export type { Figures, LatencySummary } from './recorder';

export type { Verdict } from './verify';

export { formatComparison, formatReport } from './compare';

export { renderHtml } from './html-report';

export { createProxy } from './proxy';

export { parseLoopbackUrl } from './loopback';

export { runPolicies } from './policies';
