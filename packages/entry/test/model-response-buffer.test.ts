import { describe, expect, it } from 'vitest';

import { ModelResponseBuffer } from '../src/model-response-buffer';

const FIRST = '{"i":0,"t":"a","v":1}\n';
const SECOND = '{"i":1,"t":"b","v":1}\n';

describe('ModelResponseBuffer', () => {
  it('returns only complete lines', () => {
    const buffer = new ModelResponseBuffer();
    expect(buffer.push(Buffer.from(FIRST + SECOND.slice(0, 5))).toString()).toBe(FIRST);
    expect(buffer.push(Buffer.from(SECOND.slice(5))).toString()).toBe(SECOND);
  });

  it('resumes after the last complete line and drops the incomplete one', () => {
    const buffer = new ModelResponseBuffer();
    buffer.push(Buffer.from(FIRST + SECOND.slice(0, 5)));
    expect(buffer.startResume()?.tokens).toEqual(['a']);
    buffer.push(Buffer.from(SECOND));
    expect(buffer.tokenCount).toBe(2);
  });

  it('does not resume a response that can not be parsed', () => {
    const buffer = new ModelResponseBuffer();
    buffer.push(Buffer.from('not a token\n'));
    expect(buffer.startResume()).toBeUndefined();
  });
});
