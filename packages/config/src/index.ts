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

export { ConfigView } from './view';
