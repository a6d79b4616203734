import type { TeamId } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { type AccessFacts, type CallerAccess, decideAccess, mayAccessWork } from '../src';

const TEAM = 'team-a' as TeamId;
const OTHER = 'team-b' as TeamId;

/** What is known of calls, by what their callers sent. */
const CALLS = {
  'no key': { hasKey: false, holder: undefined },
  'a key of no team': { hasKey: true, holder: undefined },
  'a key': { hasKey: true, holder: TEAM },
};

function decide(changes: Partial<AccessFacts>): string {
  const facts = { hasTeams: true, isPublic: false, canTrustKeys: true, ...CALLS['a key'] };
  const decision = decideAccess({ ...facts, ...changes });
  if (decision.type === 'denied') return decision.reason;
  const { team = 'no team', basis } = decision.access;
  return `${basis}: ${team}`;
}

describe('a call', () => {
  // review/10: on public routes the key was dropped, and submissions belonged to no team.
  it('belongs to the team that holds its key, also on routes that need none', () => {
    const settings = {
      private: {},
      public: { isPublic: true },
      'private, keys unconfirmed': { canTrustKeys: false },
      'public, keys unconfirmed': { isPublic: true, canTrustKeys: false },
      'without teams': { hasTeams: false },
    };
    const rows = Object.entries(settings).map(([name, setting]) => [
      name,
      Object.values(CALLS)
        .map((call) => decide({ ...call, ...setting }))
        .join(', '),
    ]);
    expect(Object.fromEntries(rows)).toMatchInlineSnapshot(`
      {
        "private": "key_missing, key_unknown, key: team-a",
        "private, keys unconfirmed": "keys_unconfirmed, keys_unconfirmed, keys_unconfirmed",
        "public": "public: no team, public: no team, public: team-a",
        "public, keys unconfirmed": "public: no team, public: no team, public: team-a",
        "without teams": "open: no team, open: no team, open: no team",
      }
    `);
  });
});

describe('work', () => {
  it('is read by callers of its team, or by all if it has none or no team exists', () => {
    const callers: CallerAccess[] = [
      { team: TEAM, basis: 'key' },
      { team: OTHER, basis: 'key' },
      { team: undefined, basis: 'public' },
      { team: undefined, basis: 'open' },
    ];
    const readers = (owner: TeamId | undefined): string =>
      callers
        .filter((caller) => mayAccessWork(owner, caller))
        .map(({ team = 'no team', basis }) => `${team} (${basis})`)
        .join(', ');
    expect([TEAM, undefined].map(readers)).toMatchInlineSnapshot(`
      [
        "team-a (key), no team (open)",
        "team-a (key), team-b (key), no team (public), no team (open)",
      ]
    `);
  });
});
