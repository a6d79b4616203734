/** Headers that concern one connection only and are never passed on. */
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
