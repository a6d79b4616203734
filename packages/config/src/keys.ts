/** Callers' keys: how they are made, hashed and checked. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

import { type Failure, type KeyId, type TeamId, createFailure } from '@hibiscushill/base';
import { toUndefined } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

import type { ConfigView } from './view';

const SECRET_BYTES = 32;
const ID_LENGTH = 12;
const ID_ALPHABET = 'abcdefghijkmnpqrstuvwxyz23456789';
const AUTHORIZATION = /^Bearer +hk_([A-Za-z0-9]{1,32})_([A-Za-z0-9_-]{1,128})$/i;

// Compared against when the id is unknown, so that the answer takes as long as for a known id.
const NO_HASH = Buffer.alloc(32);

/** A fresh key. The secret and the token are shown once and kept nowhere. */
export interface CreatedKey {
  readonly id: KeyId;
  readonly secret: string;
  readonly hash: string;
  /** What the caller sends after `Bearer`. */
  readonly token: string;
}

/** Whom a request with a valid key belongs to. */
export interface KeyHolder {
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
 * Makes a key.
 *
 * @returns its id, its secret and the hash to declare
 */
export function createKey(): CreatedKey {
  const letters = [...randomBytes(ID_LENGTH)].map((byte) => ID_ALPHABET[byte % 32]);
  const id = letters.join('') as KeyId;
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  return { id, secret, hash: hashSecret(secret), token: `hk_${id}_${secret}` };
}

/**
 * Checks a request's key against a configuration. Nothing is remembered between calls, so a
 * withdrawal counts from the view that carries it.
 *
 * @param view - the configuration in force
 * @param authorization - the request's `Authorization` header
 * @returns the team and the key's id, or `key_missing`, `key_unknown` or `key_withdrawn`
 */
export function checkKey(
  view: ConfigView,
  authorization: string | undefined,
): Result<KeyHolder, Failure> {
  if (authorization === undefined || authorization === '') return err(createFailure('key_missing'));
  const parts = AUTHORIZATION.exec(authorization);
  if (parts === null) return err(createFailure('key_unknown'));
  const [, id = '', secret = ''] = parts;
  const key = toUndefined(view.findKey(id as KeyId));
  const expected = key === undefined ? NO_HASH : Buffer.from(key.hash, 'hex');
  const isEqual = timingSafeEqual(createHash('sha256').update(secret).digest(), expected);
  if (key === undefined || !isEqual) return err(createFailure('key_unknown'));
  if (key.state === 'withdrawn') return err(createFailure('key_withdrawn'));
  return ok({ team: key.team, key: key.id });
}

/**
 * Checks that a key which was valid earlier still is, for queued work and open streams.
 *
 * @param view - the configuration in force
 * @param id - the key's id
 * @returns the team and the key's id, or `key_unknown` or `key_withdrawn`
 */
export function checkKeyId(view: ConfigView, id: KeyId): Result<KeyHolder, Failure> {
  const key = toUndefined(view.findKey(id));
  if (key === undefined) return err(createFailure('key_unknown'));
  if (key.state === 'withdrawn') return err(createFailure('key_withdrawn'));
  return ok({ team: key.team, key: key.id });
}
