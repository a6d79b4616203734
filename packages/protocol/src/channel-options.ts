/** Options of the gRPC channels between the system's processes. */
import type { ChannelOptions } from '@grpc/grpc-js';

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const FLOW_CONTROL_WINDOW_BYTES = 8 * 1024 * 1024;
const KEEPALIVE_MS = 10_000;
const KEEPALIVE_TIMEOUT_MS = 5_000;

/** Options for clients: an own connection for each channel, and no retries by the library. */
export const CLIENT_OPTIONS: ChannelOptions = {
  // Without it a new channel to the same address would share a connection that went silent.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc-node.flow_control_window': FLOW_CONTROL_WINDOW_BYTES,
};

/** Options for servers. */
export const SERVER_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc-node.flow_control_window': FLOW_CONTROL_WINDOW_BYTES,
};
