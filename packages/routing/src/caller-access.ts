/** By what right a caller is served, and which team its work belongs to. */
import type { TeamId } from '@hibiscushill/base';

/** What is known of a call when it arrives. */
export interface AccessFacts {
  /** Whether the configuration has teams, which hold keys. */
  readonly hasTeams: boolean;
  /** Whether the route of the call needs no key. */
  readonly isPublic: boolean;
  readonly hasKey: boolean;
  /** The team that holds the key by the newest configuration that was read. */
  readonly holder: TeamId | undefined;
  /** Whether the withdrawal of a key would be known. */
  readonly canTrustKeys: boolean;
}

/**
 * Why a call is served: anything is (`open`), its route needs no key (`public`), or by its key.
 * Only the last has to be checked again before the call runs.
 */
export type AccessBasis = 'open' | 'public' | 'key';

/** The team that a call belongs to, undefined for none, and why the call is served. */
export interface CallerAccess {
  readonly team: TeamId | undefined;
  readonly basis: AccessBasis;
}

/** The access of a call, or why it has none. */
export type AccessDecision =
  | { readonly type: 'granted'; readonly access: CallerAccess }
  | {
      readonly type: 'denied';
      readonly reason: 'key_missing' | 'key_unknown' | 'keys_unconfirmed';
    };

/**
 * Decides whether a call is served, and to which team it belongs. Order of events: work is taken on
 * a route, which may be public, and is read, resumed and ended by later calls, which may name no
 * route; the route may have become public or private in between. So that they agree, the team is
 * always the one that holds the call's key, whether or not the route needs a key.
 */
export function decideAccess(facts: AccessFacts): AccessDecision {
  const { hasTeams, isPublic, hasKey, holder, canTrustKeys } = facts;
  if (!hasTeams) return grant(undefined, 'open');
  if (isPublic) return grant(holder, 'public');
  if (!canTrustKeys) return { type: 'denied', reason: 'keys_unconfirmed' };
  if (!hasKey) return { type: 'denied', reason: 'key_missing' };
  if (holder === undefined) return { type: 'denied', reason: 'key_unknown' };
  return grant(holder, 'key');
}

/**
 * Decides whether a caller may read and end work. Work that was taken on a public route without a
 * key belongs to no team: any caller that names it may.
 *
 * @param owner - the team that the work belongs to; undefined if it belongs to none
 */
export function mayAccessWork(owner: TeamId | undefined, { team, basis }: CallerAccess): boolean {
  return basis === 'open' || owner === undefined || owner === team;
}

function grant(team: TeamId | undefined, basis: AccessBasis): AccessDecision {
  return { type: 'granted', access: { team, basis } };
}
