import type { ConfigVersion } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { ConfigView, Declarations, checkKey, checkKeyId, createKey } from '../src';
import { createDeclarations } from './fixtures';

const KEY = createKey();

function createView(state: 'active' | 'withdrawn'): ConfigView {
  const key = { id: KEY.id, team: 'stalls', hash: KEY.hash, state };
  const declarations = Declarations.parse({ ...createDeclarations(), keys: [key] });
  return new ConfigView(0 as ConfigVersion, declarations);
}

function codeOf(header: string | undefined, state: 'active' | 'withdrawn' = 'active'): string {
  return checkKey(createView(state), header).match(
    (key) => key.team,
    (failure) => failure.code,
  );
}

describe('checkKey', () => {
  it('returns the team of a valid key', () => {
    expect(codeOf(`Bearer ${KEY.token}`)).toBe('stalls');
    expect(codeOf(`bearer ${KEY.token}`)).toBe('stalls');
  });

  it('distinguishes missing, unknown and withdrawn keys', () => {
    expect(codeOf(undefined)).toBe('key_missing');
    expect(codeOf(`Bearer hk_${KEY.id}_wrong`)).toBe('key_unknown');
    expect(codeOf(`Bearer ${createKey().token}`)).toBe('key_unknown');
    expect(codeOf(`Basic ${KEY.token}`)).toBe('key_unknown');
    expect(codeOf(`Bearer ${KEY.token}`, 'withdrawn')).toBe('key_withdrawn');
  });

  it('does not reveal that a key was withdrawn when the secret is wrong', () => {
    expect(codeOf(`Bearer hk_${KEY.id}_wrong`, 'withdrawn')).toBe('key_unknown');
  });

  it('checks a key that was verified earlier by its id', () => {
    expect(checkKeyId(createView('active'), KEY.id).isOk()).toBe(true);
    expect(checkKeyId(createView('withdrawn'), KEY.id)._unsafeUnwrapErr().code).toBe(
      'key_withdrawn',
    );
  });
});
