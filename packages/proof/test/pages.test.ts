import { readFile, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

import { describe, expect, it } from 'vitest';

import { createCodesPage, createSettingsPage } from '../src/pages';

const PAGES = [
  { file: 'RESULT-CODES.md', create: createCodesPage },
  { file: 'SETTINGS.md', create: createSettingsPage },
];

describe('the pages made from code', () => {
  it.each(PAGES)('$file stands as the code says', async ({ file, create }) => {
    const path = fileURLToPath(new URL(`../../../docs/${file}`, import.meta.url));
    if (process.env.UPDATE_DOCS) await writeFile(path, create());
    expect(await readFile(path, 'utf8')).toBe(create());
  });
});
