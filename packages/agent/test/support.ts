/** A run frame for tests. */
import type { Run } from '@hibiscushill/protocol';

/** A request of the team `valley` with the key `k1`. */
export const RUN: Run = {
  attempt: 'a1',
  incarnation: 'i1',
  request: 'r1',
  service: 'desk',
  team: 'valley',
  key: 'k1',
  configVersion: 0,
  method: 'POST',
  path: '/orders',
  headers: [],
  hasBody: false,
  idempotent: false,
  deadlineMs: 1000,
  priority: 1,
  costTokens: 1,
  idempotencyKey: '',
  creditBytes: 8,
  publicRoute: false,
  body: Buffer.alloc(0),
  bodyComplete: true,
  trainer: '',
  retain: false,
  billable: true,
  model: false,
};
