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
const HASH_LENGTH_HEX = 32;

/** The lengths of a request's path and body, which its digest begins with. */
export function getContentShape({ path, body }: RequestContent): string {
  return `${path.length}.${body.length}`;
}

/** The shape of the request that a digest was computed of. */
export function getDigestShape(digest: ContentDigest): string {
  return digest.slice(0, digest.lastIndexOf('.'));
}

/** Computes the digest of a request's content, which is the same in all processes. */
export function createContentDigest(content: RequestContent): ContentDigest {
  const { team, host, method, path, body } = content;
  // JSON separates the parts, which may contain any character.
  const head = JSON.stringify([team ?? null, host.toLowerCase(), method, path]);
  const hash = createHash('sha256').update(`${head}\n`).update(body).digest('hex');
  return `${getContentShape(content)}.${hash.slice(0, HASH_LENGTH_HEX)}` as ContentDigest;
}
