/** Declarations, the acceptance rule and the spread of configuration. */
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

export { checkReferences, formatPath, parseDeclarations } from './checks';
export type { DeclarationProblem, ProblemPath } from './checks';

export { formatProblem, formatYaml, loadDeclarations, readDeclarations } from './loading';
export type { FileProblem, SourceFile } from './loading';

export { SECTIONS, compareDeclarations } from './difference';
export type { FieldChange, ItemChange, Section } from './difference';

export { toCanonical } from './canonical';

export {
  CHANGE_KIND,
  ConfigHistory,
  NO_VERSION,
  SNAPSHOT_KIND,
  readSnapshot,
  toSnapshot,
} from './history';
export type { ConfigChange, ConfigSnapshot, ConfigState, Judgement, Verdict } from './history';

export { ConfigStore } from './store';
export type { ChangeListener, ConfigStoreOptions } from './store';

export { ConfigFollower } from './follower';
export type { ConfigFollowerOptions } from './follower';

export { DelayPolicy, ExponentialDelay, SnapshotRenewal, UniformDelay } from './renewal';
export type { RenewalOptions } from './renewal';

export { checkKey, checkKeyId, createKey, hashSecret } from './keys';
export type { CreatedKey, KeyHolder } from './keys';

export { ConfigSync } from './sync';
export type { ConfigFrame, ConfigPeer } from './sync';

export { ConfigView } from './view';
