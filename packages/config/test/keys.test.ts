import type { ConfigVersion } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { ConfigView, Declarations, checkKey, checkKeyId, createKey } from '../src';
import { sample } from './samples';

const KEY = createKey();

function viewWith(state: 'active' | 'withdrawn'): ConfigView {
  const declared = { id: KEY.id, team: 'stalls', hash: KEY.hash, state };
  const declarations = Declarations.parse({ ...sample(), keys: [declared] });
  return new ConfigView(0 as ConfigVersion, declarations);
}

function codeOf(header: string | undefined, state: 'active' | 'withdrawn' = 'active'): string {
  return checkKey(viewWith(state), header).match(
    (holder) => holder.team,
    (failure) => failure.code,
  );
}

describe('checkKey', () => {
  it('gives the team of a valid key', () => {
    expect(codeOf(`Bearer ${KEY.token}`)).toBe('stalls');
    expect(codeOf(`bearer ${KEY.token}`)).toBe('stalls');
  });

  it('tells missing, unknown and withdrawn keys apart', () => {
    expect(codeOf(undefined)).toBe('key_missing');
    expect(codeOf(`Bearer hk_${KEY.id}_wrong`)).toBe('key_unknown');
    expect(codeOf(`Bearer ${createKey().token}`)).toBe('key_unknown');
    expect(codeOf(`Basic ${KEY.token}`)).toBe('key_unknown');
    expect(codeOf(`Bearer ${KEY.token}`, 'withdrawn')).toBe('key_withdrawn');
  });

  it('does not tell a wrong secret that its key was withdrawn', () => {
    expect(codeOf(`Bearer hk_${KEY.id}_wrong`, 'withdrawn')).toBe('key_unknown');
  });

  it('checks a key that was accepted before by its id', () => {
    expect(checkKeyId(viewWith('active'), KEY.id).isOk()).toBe(true);
    expect(checkKeyId(viewWith('withdrawn'), KEY.id)._unsafeUnwrapErr().code).toBe('key_withdrawn');
  });
});
