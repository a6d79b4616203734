/** Starts small deployments as child processes, such as the example deployment of the proofs. */
export { Child, programPath } from './child';
export type { ProgramName, ReadyLine } from './child';

export { Cluster, getJson, postJson, sleep, waitFor } from './cluster';
export type { ClusterPlan, EntryPlan, RunningTarget, TargetPlan } from './cluster';

export { EXAMPLE_TEAMS, createExamplePlan } from './example';
export type { ExampleOptions } from './example';
