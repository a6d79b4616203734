/** The encoding of a configuration between processes: whole, or as the latest changes. */
import type { ConfigVersion } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';
import { z } from 'zod';

import { digestOf, toCanonical } from './canonical';
import { formatPath, parseDeclarations } from './checks';
import type { Declarations } from './declarations';
import { type Delta, applyDelta } from './difference';
import type { ConfigState } from './history';

/** A delta between two versions that follow one another. */
export interface VersionDelta {
  readonly from: number;
  readonly to: number;
  readonly delta: Delta;
}

/** What is sent: the whole state, or the deltas from the receiver's version on. */
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
 * @param state - the configuration in force
 * @param digest - the digest of its canonical declarations
 * @param body - the body as JSON, with its braces
 * @returns the bytes to send
 */
export function encodeOffer(state: ConfigState, digest: string, body: string): Uint8Array {
  const head = { version: state.version, asOf: state.asOf, digest };
  return Buffer.from(`${JSON.stringify(head).slice(0, -1)},${body.slice(1)}`);
}

/**
 * Decodes an offer and checks that it yields the declarations that its digest names.
 *
 * @param bytes - what was received
 * @param current - the receiver's configuration, which deltas start from
 * @returns the offered state, or why it is refused
 */
export function decodeOffer(
  bytes: Uint8Array,
  current: ConfigState | undefined,
): Result<ConfigState, string> {
  return parseOffer(bytes).andThen((offer) =>
    resolveOffer(offer, current).andThen((input) => checkOffer(offer, input)),
  );
}

/**
 * Reads the version of an offer without the rest.
 *
 * @param bytes - what was received
 * @returns the version, or why the offer is refused
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
 * Tells whether an offer starts from a version of the receiver.
 *
 * @param bytes - what was received
 * @returns false for a whole state and for what can't be read
 */
export function hasDeltas(bytes: Uint8Array): boolean {
  return parseOffer(bytes).match(
    (offer) => offer.deltas !== undefined,
    () => false,
  );
}

function resolveOffer(
  offer: OfferPayload,
  current: ConfigState | undefined,
): Result<unknown, string> {
  if (offer.deltas === undefined) return ok(offer.state);
  if (current === undefined || current.version !== offer.from) {
    return err('the deltas start from another version');
  }
  const start = current.declarations;
  return ok(
    offer.deltas.reduce<Declarations>(
      (state, delta) => applyDelta(state, delta as Delta) as never,
      start,
    ),
  );
}

function checkOffer(offer: OfferPayload, input: unknown): Result<ConfigState, string> {
  if (offer.asOf < offer.version) return err('the offer stands before its own version');
  const parsed = parseDeclarations(input);
  if (parsed.isErr()) {
    const [first] = parsed.error;
    return err(first === undefined ? 'invalid' : `${formatPath(first.path)}: ${first.message}`);
  }
  const declarations = toCanonical(parsed.value);
  if (digestOf(JSON.stringify(declarations)) !== offer.digest) return err('the digest differs');
  return ok({ version: offer.version as ConfigVersion, asOf: offer.asOf, declarations });
}
