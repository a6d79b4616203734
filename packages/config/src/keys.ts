/** Creation, hashing and verification of callers' API keys. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

import { type Failure, type KeyId, type TeamId, createFailure } from '@hibiscushill/base';
import { toUndefined } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

import type { ConfigView } from './view';

const SECRET_BYTES = 32;
const ID_LENGTH = 12;
const ID_ALPHABET = 'abcdefghijkmnpqrstuvwxyz23456789';
const AUTHORIZATION_PATTERN = /^Bearer +hk_([A-Za-z0-9]{1,32})_([A-Za-z0-9_-]{1,128})$/i;

// Compared with when the id is unknown, so that the response time doesn't reveal which ids exist.
const UNKNOWN_KEY_HASH = Buffer.alloc(32);

/** A new key. Its secret and token are shown once and stored nowhere. */
export interface CreatedKey {
  readonly id: KeyId;
  readonly secret: string;
  readonly hash: string;
  /** The token that the caller sends in the `Authorization` header, after `Bearer`. */
  readonly token: string;
}

/** The team and the id of a valid key. */
export interface AuthenticatedKey {
  readonly team: TeamId;
  readonly key: KeyId;
}

/**
 * Hashes a key's secret.
 *
 * @param secret - the part of the key after its id
 * @returns a SHA-256 hash in hexadecimal
 */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Creates a key with a random id and secret.
 *
 * @returns the key; its hash is what an operator declares
 */
export function createKey(): CreatedKey {
  const letters = [...randomBytes(ID_LENGTH)].map((byte) => ID_ALPHABET[byte % 32]);
  const id = letters.join('') as KeyId;
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  return { id, secret, hash: hashSecret(secret), token: `hk_${id}_${secret}` };
}

/**
 * Verifies a request's key against a configuration. Results aren't cached, so that a withdrawal
 * takes effect with the view that contains it.
 *
 * @param view - the current configuration
 * @param authorization - the request's `Authorization` header
 * @returns the team and the key's id, or `key_missing`, `key_unknown` or `key_withdrawn`
 */
export function checkKey(
  view: ConfigView,
  authorization: string | undefined,
): Result<AuthenticatedKey, Failure> {
  if (authorization === undefined || authorization === '') return err(createFailure('key_missing'));
  const parts = AUTHORIZATION_PATTERN.exec(authorization);
  if (parts === null) return err(createFailure('key_unknown'));
  const [, id = '', secret = ''] = parts;
  const key = toUndefined(view.findKey(id as KeyId));
  const expected = key === undefined ? UNKNOWN_KEY_HASH : Buffer.from(key.hash, 'hex');
  const isEqual = timingSafeEqual(createHash('sha256').update(secret).digest(), expected);
  if (key === undefined || !isEqual) return err(createFailure('key_unknown'));
  if (key.state === 'withdrawn') return err(createFailure('key_withdrawn'));
  return ok({ team: key.team, key: key.id });
}

/**
 * Checks that a key which was verified earlier is still valid, for queued work and open streams.
 *
 * @param view - the current configuration
 * @param id - the key's id
 * @returns the team and the key's id, or `key_unknown` or `key_withdrawn`
 */
export function checkKeyId(view: ConfigView, id: KeyId): Result<AuthenticatedKey, Failure> {
  const key = toUndefined(view.findKey(id));
  if (key === undefined) return err(createFailure('key_unknown'));
  if (key.state === 'withdrawn') return err(createFailure('key_withdrawn'));
  return ok({ team: key.team, key: key.id });
}
