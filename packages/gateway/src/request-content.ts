/** What makes two requests the same one, whatever their ids. */
import { createHash } from 'node:crypto';

import type { ContentDigest, TeamId } from '@hibiscushill/base';

/** The parts of a request that stay the same when its caller sends it again. */
export interface RequestContent {
  readonly team: TeamId | undefined;
  readonly host: string;
  readonly method: string;
  /** The path with its query. */
  readonly path: string;
  readonly body: Uint8Array;
}

// 128 bits: no two requests of a deployment have the same digest.
const DIGEST_LENGTH_HEX = 32;

/** Computes the digest of a request's content, which is the same in all processes. */
export function createContentDigest(content: RequestContent): ContentDigest {
  const { team, host, method, path, body } = content;
  // JSON separates the parts, which may contain any character.
  const head = JSON.stringify([team ?? null, host.toLowerCase(), method, path]);
  const hash = createHash('sha256').update(`${head}\n`).update(body).digest('hex');
  return hash.slice(0, DIGEST_LENGTH_HEX) as ContentDigest;
}
