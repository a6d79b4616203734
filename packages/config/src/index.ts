/**
 * The configuration: declarations, the rule by which changes on the log are accepted, and the
 * propagation of versions between processes.
 */
export {
  API_VERSION,
  Declarations,
  Key,
  Route,
  Service,
  ServiceZone,
  StalenessBound,
  Team,
  TeamBounds,
  Trainer,
} from './declarations';

export { checkConsistency, formatPath, parseDeclarations } from './validation';
export type { DeclarationProblem, ProblemPath } from './validation';

export { formatProblem, formatYaml, loadDeclarations, readDeclarations } from './loading';
export type { FileProblem, SourceFile } from './loading';

export { SECTIONS, compareDeclarations } from './difference';
export type { FieldChange, ItemChange, Section } from './difference';

export { toCanonical } from './canonical';

export {
  CHANGE_KIND,
  ConfigProjection,
  NO_VERSION,
  SNAPSHOT_KIND,
  parseSnapshot,
  createSnapshotPayload,
} from './projection';
export type {
  ConfigChange,
  ConfigSnapshot,
  ConfigState,
  AppliedRecord,
  RecordEffect,
} from './projection';

export { ConfigStore } from './store';
export type { ChangeListener, ConfigStoreOptions } from './store';

export { ConfigFollower } from './follower';
export type { ConfigFollowerOptions } from './follower';

export { DelayPolicy, ExponentialDelay, SnapshotRenewal, UniformDelay } from './snapshot-renewal';
export type { SnapshotRenewalOptions } from './snapshot-renewal';

export { checkKey, checkKeyId, createKey, hashSecret } from './keys';
export type { CreatedKey, AuthenticatedKey } from './keys';

export { ConfigSync } from './sync';
export type { ConfigFrame, ConfigConnection } from './sync';

export { ConfigView } from './view';
