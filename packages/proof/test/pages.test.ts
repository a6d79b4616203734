import { readFile, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

import { describe, expect, it } from 'vitest';

import { createCodesPage, createSettingsPage } from '../src/pages';

const PAGES = [
  { file: 'RESULT-CODES.md', create: createCodesPage },
  { file: 'SETTINGS.md', create: createSettingsPage },
];

describe('the generated pages', () => {
  it.each(PAGES)('$file is up to date with the code', async ({ file, create }) => {
    const path = fileURLToPath(new URL(`../../../docs/${file}`, import.meta.url));
    if (process.env.UPDATE_DOCS) await writeFile(path, create());
    expect(await readFile(path, 'utf8')).toBe(create());
  });
});
