import { ManualClock } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { ConfigBook } from '../src/config-tracker';
import { ConfigView } from '../src/config-view';
import { MODEL, createConfig, createMetrics, createRoute, version } from './support';

function createBook(): ConfigBook {
  return new ConfigBook({
    clock: new ManualClock(),
    metrics: createMetrics(),
    withdrawnKeyMs: 5_000,
  });
}

describe('the book of configurations', () => {
  it('never goes back to an older version', () => {
    const book = createBook();
    book.take(createConfig(5));
    book.take(createConfig(4));
    expect(book.current?.version).toBe(5);
    book.takeVersion(MODEL, version(3));
    book.takeVersion(MODEL, version(2));
    expect(book.publishedVersionOf(MODEL)).toBe(3);
  });

  it('trusts keys only while a withdrawal would be known in time', () => {
    const book = createBook();
    const proof = { proofAgeMs: 4_400 };
    book.setFreshnessSource(proof);
    expect(book.canTrustKeys).toBe(true);
    proof.proofAgeMs = 4_600;
    expect(book.canTrustKeys).toBe(false);
  });

  it('is ready only with a configuration that was confirmed lately', () => {
    const book = createBook();
    const proof = { proofAgeMs: 0 };
    book.setFreshnessSource(proof);
    expect(book.isReady).toBe(false);
    book.take(createConfig(1));
    expect(book.isReady).toBe(true);
    proof.proofAgeMs = 3_100;
    expect(book.isReady).toBe(false);
  });
});

describe('the lookup of routes', () => {
  const short = createRoute({ name: 'short', pathPrefix: '/a/' });
  const long = createRoute({ name: 'long', pathPrefix: '/a/b/' });
  const view = new ConfigView(createConfig(1, [short, long]));

  it.each([
    ['/a/b/c', 'long'],
    ['/a/b/', 'long'],
    ['/a/b', 'short'],
    ['/a//b/', 'short'],
    ['/a/%2F', 'short'],
    ['/a', undefined],
    ['/', undefined],
    ['', undefined],
  ])('finds the longest prefix of %s', (path, name) => {
    expect(view.findRoute('a.example', path)?.name).toBe(name);
  });

  it('takes the host without its case and port, and no other host', () => {
    expect(view.findRoute('A.example:80', '/a/')?.name).toBe('short');
    expect(view.findRoute('b.example', '/a/')).toBeUndefined();
  });
});
