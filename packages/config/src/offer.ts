/** Offers: the encoding of a configuration between processes, in full or as deltas. */
import type { ConfigVersion } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';
import { z } from 'zod';

import { computeDigest, toCanonical } from './canonical';
import type { Declarations } from './declarations';
import { type Delta, applyDelta } from './difference';
import type { ConfigState } from './projection';
import { formatPath, parseDeclarations } from './validation';

/** The delta between two consecutive versions. */
export interface VersionDelta {
  readonly from: number;
  readonly to: number;
  readonly delta: Delta;
}

/** The body of an offer: the full state, or the deltas after the receiver's version `from`. */
export interface OfferBody {
  readonly state?: unknown;
  readonly from?: number;
  readonly deltas?: readonly Delta[];
}

const Names = z.array(z.string()).optional();
const Items = z.array(z.looseObject({})).optional();

const DeltaPayload = z.strictObject({
  set: z.strictObject({ teams: Items, keys: Items, services: Items, trainers: Items }),
  drop: z.strictObject({ teams: Names, keys: Names, services: Names, trainers: Names }),
});

const OfferPayload = z.strictObject({
  version: z.number().int().min(0),
  asOf: z.number().int().min(0),
  digest: z.string(),
  state: z.unknown().optional(),
  from: z.number().int().optional(),
  deltas: z.array(DeltaPayload).optional(),
});

type OfferPayload = z.infer<typeof OfferPayload>;

/**
 * Encodes an offer.
 *
 * @param state - the current configuration
 * @param digest - the digest of its canonical declarations
 * @param body - the offer's body as a JSON object
 * @returns the offer as JSON in UTF-8
 */
export function encodeOffer(state: ConfigState, digest: string, body: string): Uint8Array {
  const head = { version: state.version, asOf: state.asOf, digest };
  return Buffer.from(`${JSON.stringify(head).slice(0, -1)},${body.slice(1)}`);
}

/**
 * Decodes an offer, and validates its declarations and their digest.
 *
 * @param bytes - the received bytes
 * @param current - the receiver's configuration, to which deltas are applied
 * @returns the offered state, or why the offer is refused
 */
export function decodeOffer(
  bytes: Uint8Array,
  current: ConfigState | undefined,
): Result<ConfigState, string> {
  return parseOffer(bytes).andThen((offer) =>
    resolveDeclarations(offer, current).andThen((input) => validateOffer(offer, input)),
  );
}

/**
 * Parses an offer without validating its declarations.
 *
 * @param bytes - the received bytes
 * @returns the offer, or why it is refused
 */
export function parseOffer(bytes: Uint8Array): Result<OfferPayload, string> {
  try {
    const parsed = OfferPayload.safeParse(JSON.parse(Buffer.from(bytes).toString('utf8')));
    return parsed.success ? ok(parsed.data) : err('the offer is malformed');
  } catch {
    return err('the offer is not JSON');
  }
}

/**
 * Tells whether an offer consists of deltas.
 *
 * @param bytes - the received bytes
 * @returns false for a full state and for a malformed offer
 */
export function hasDeltas(bytes: Uint8Array): boolean {
  return parseOffer(bytes).match(
    (offer) => offer.deltas !== undefined,
    () => false,
  );
}

function resolveDeclarations(
  offer: OfferPayload,
  current: ConfigState | undefined,
): Result<unknown, string> {
  if (offer.deltas === undefined) return ok(offer.state);
  if (current === undefined || current.version !== offer.from) {
    return err('the deltas start from a version that this process does not have');
  }
  const base = current.declarations;
  return ok(
    offer.deltas.reduce<Declarations>(
      (state, delta) => applyDelta(state, delta as Delta) as never,
      base,
    ),
  );
}

function validateOffer(offer: OfferPayload, input: unknown): Result<ConfigState, string> {
  if (offer.asOf < offer.version) return err('the offset asOf is lower than the offered version');
  const parsed = parseDeclarations(input);
  if (parsed.isErr()) {
    const [first] = parsed.error;
    return err(first === undefined ? 'invalid' : `${formatPath(first.path)}: ${first.message}`);
  }
  const declarations = toCanonical(parsed.value);
  if (computeDigest(JSON.stringify(declarations)) !== offer.digest)
    return err('the declarations do not match the digest');
  return ok({ version: offer.version as ConfigVersion, asOf: offer.asOf, declarations });
}
