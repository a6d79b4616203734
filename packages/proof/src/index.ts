/** Launcher, fault schedules, histories and checkers. */
export { Child, programPath } from './child';
export type { ProgramName, ReadyLine } from './child';

export { Cluster, getJson, pause, postJson, waitFor } from './cluster';
export type { ClusterPlan, EntryPlan, RunningTarget, TargetPlan } from './cluster';

export { EXAMPLE_TEAMS, createExamplePlan } from './example';
export type { ExampleOptions } from './example';
