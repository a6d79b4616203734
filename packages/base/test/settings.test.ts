import { z } from 'zod';
import { describe, expect, it } from 'vitest';

import { createSetting, integerText, readSettings } from '../src';

const TABLE = {
  listen: createSetting('listen', 'Address.', z.string(), '127.0.0.1:0'),
  size: createSetting('size', 'Size.', integerText(1, 10)),
};

function read(args: string[], env: Record<string, string> = {}) {
  return readSettings('program', TABLE, ['node', 'program', ...args], env);
}

describe('readSettings', () => {
  it('prefers a flag to its environment variable', () => {
    const values = read(['--size', '3'], { HIBISCUS_SIZE: '4', HIBISCUS_LISTEN: ':1' });
    expect(values._unsafeUnwrap()).toEqual({ listen: ':1', size: 3 });
  });

  it('returns every setting that is missing or out of range', () => {
    const problems = read(['--size', '11'])._unsafeUnwrapErr();
    expect(problems.map((problem) => problem.env)).toEqual(['HIBISCUS_SIZE']);
    expect(read([])._unsafeUnwrapErr()).toHaveLength(1);
  });
});
