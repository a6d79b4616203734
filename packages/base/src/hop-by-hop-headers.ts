/** HTTP headers that apply to a single connection, which a proxy must not forward. */
export const HOP_BY_HOP_HEADERS: readonly string[] = [
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];
