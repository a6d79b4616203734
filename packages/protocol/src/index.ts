/** The gRPC protocol between entries and agents, and among entries. */
export { LinkClient } from './link-client';
export type {
  LinkClientOptions,
  LinkHandlers,
  EntryFramePayload,
  AgentFramePayload,
} from './link-client';

export { LinkServer, LinkSession } from './link-server';
export type { LinkServerHandlers, LinkServerOptions } from './link-server';

export { PeerClient, PeerServer } from './peer';
export type { PeerHandlers } from './peer';

export { DEFAULT_HEARTBEAT_OPTIONS, HeartbeatTracker } from './heartbeat';
export type { HeartbeatOptions } from './heartbeat';

export type {
  AgentHello,
  Attach,
  ConfigOffer,
  End,
  EntryHello,
  ForwardedCall,
  ForwardedReply,
  Header,
  Heartbeat,
  Load,
  NotRun,
  PeerMessage,
  Run,
  Segment,
  UsageItem,
  WeightOrder,
  WeightQuery,
  WeightReport,
} from './generated/link';
