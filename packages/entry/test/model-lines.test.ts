import { describe, expect, it } from 'vitest';

import { ModelLines } from '../src/model-lines';

const FIRST = '{"i":0,"t":"a","v":1}\n';
const SECOND = '{"i":1,"t":"b","v":1}\n';

describe('ModelLines', () => {
  it('passes only whole lines on', () => {
    const lines = new ModelLines();
    expect(lines.push(Buffer.from(FIRST + SECOND.slice(0, 5))).toString()).toBe(FIRST);
    expect(lines.push(Buffer.from(SECOND.slice(5))).toString()).toBe(SECOND);
  });

  it('resumes after the last whole line and drops the unfinished one', () => {
    const lines = new ModelLines();
    lines.push(Buffer.from(FIRST + SECOND.slice(0, 5)));
    expect(lines.break()?.tokens).toEqual(['a']);
    lines.push(Buffer.from(SECOND));
    expect(lines.tokenCount).toBe(2);
  });

  it('resumes nothing that it could not read', () => {
    const lines = new ModelLines();
    lines.push(Buffer.from('not a token\n'));
    expect(lines.break()).toBeUndefined();
  });
});
