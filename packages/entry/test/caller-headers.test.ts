import type { RequestId } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { isKeyExposed, toTargetHeaders } from '../src/caller-headers';

const AUTHORIZATION = 'Bearer hk_k1_s3cret-s3cret';
const EMPTY = Buffer.alloc(0);

describe('toTargetHeaders', () => {
  it('drops the API key, hop-by-hop headers and headers that the connection header names', () => {
    const headers = {
      authorization: AUTHORIZATION,
      connection: 'keep-alive, x-hop',
      'x-hop': '1',
      'transfer-encoding': 'chunked',
      accept: 'text/plain',
      cookie: 'a=b',
    };
    expect(toTargetHeaders(headers, 'r1' as RequestId)).toMatchSnapshot();
  });
});

describe('isKeyExposed', () => {
  it('finds the secret in the query, another header and the body', () => {
    const header = { name: 'cookie', value: 'k=s3cret-s3cret' };
    const body = Buffer.from('{"key":"s3cret-s3cret"}');
    expect(isKeyExposed(AUTHORIZATION, '/s/desk?k=s3cret-s3cret', [], EMPTY)).toBe(true);
    expect(isKeyExposed(AUTHORIZATION, '/s/desk', [header], EMPTY)).toBe(true);
    expect(isKeyExposed(AUTHORIZATION, '/s/desk', [], body)).toBe(true);
    expect(isKeyExposed(AUTHORIZATION, '/s/desk', [], EMPTY)).toBe(false);
  });
});
