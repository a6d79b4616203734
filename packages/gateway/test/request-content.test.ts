import type { TeamId } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { type RequestContent, createContentDigest } from '../src/request-content';

const REQUEST: RequestContent = {
  team: 'team-a' as TeamId,
  host: 'a.example',
  method: 'POST',
  path: '/a/1?b=2',
  body: Buffer.from('body'),
};

describe('the digest of a request', () => {
  it('is the same each time that the request comes', () => {
    const again = { ...REQUEST, host: 'A.example', body: Buffer.from('body') };
    expect(createContentDigest(again)).toBe(createContentDigest(REQUEST));
  });

  it.each<Partial<RequestContent>>([
    { team: 'team-b' as TeamId },
    { team: undefined },
    { host: 'b.example' },
    { method: 'GET' },
    { path: '/a/1' },
    { body: Buffer.from('other') },
    { path: '/a/1?b=2"]\nbody', body: Buffer.alloc(0) },
  ])('differs when the request does: %j', (change) => {
    expect(createContentDigest({ ...REQUEST, ...change })).not.toBe(createContentDigest(REQUEST));
  });
});
