/** Options of the gRPC channels between entries, agents and peers. */
import type { ChannelOptions } from '@grpc/grpc-js';

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const FLOW_CONTROL_WINDOW_BYTES = 8 * 1024 * 1024;
const KEEPALIVE_MS = 10_000;
const KEEPALIVE_TIMEOUT_MS = 5_000;

/** Client options: each channel has its own connection, and the library does not retry calls. */
export const CLIENT_OPTIONS: ChannelOptions = {
  // With the global pool, a new channel to the same address would reuse an unresponsive connection.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc-node.flow_control_window': FLOW_CONTROL_WINDOW_BYTES,
};

/** Server options. */
export const SERVER_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc-node.flow_control_window': FLOW_CONTROL_WINDOW_BYTES,
};
