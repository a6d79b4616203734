import { describe, expect, it } from 'vitest';

import { formatProblem, loadDeclarations, readDeclarations } from '../src';

const TEAMS = `apiVersion: hibiscushill/v1
teams:
  - name: stalls
    bounds: { requestsPerSecond: 10, tokensPerSecond: 100, inFlight: 4 }
`;

function problemsOf(...texts: string[]): string[] {
  const files = texts.map((text, index) => ({ file: `f${index}.yaml`, text }));
  return readDeclarations(files).match(
    () => [],
    (problems) => problems.map(formatProblem),
  );
}

describe('readDeclarations', () => {
  it('merges the sections of several files', () => {
    const keys = `apiVersion: hibiscushill/v1\nkeys:\n  - { id: k1, team: stalls, hash: ${'0a'.repeat(32)} }\n`;
    expect(problemsOf(TEAMS, keys)).toEqual([]);
  });

  it('reports the file, line and path of each problem', () => {
    const text = `apiVersion: hibiscushill/v1
keys:
  - id: k1
    team: nobody
    hash: "${'0a'.repeat(32)}"
  - id: k1
    team: stalls
    hash: "${'0a'.repeat(32)}"
services:
  - name: shop
    kind: plain
    deadlineMs: 1000
    routes:
      - { method: GET, path: /lots/* }
      - { method: GET, path: /lots/new }
    zones:
      - { zone: ba, least: 3, most: 2 }
trainers:
  - name: rinds
    team: stalls
    service: shop
    staleness: { versions: 2, ms: 1000 }
`;
    expect(problemsOf(TEAMS, text)).toMatchSnapshot();
  });

  it('reports a missing field and an unknown key of an item', () => {
    const text = `apiVersion: hibiscushill/v1
teams:
  - name: stalls
    colour: red
`;
    expect(problemsOf(text)).toMatchSnapshot();
  });

  it('refuses another API version, unknown sections and invalid YAML', () => {
    expect(problemsOf('apiVersion: hibiscushill/v2\nteams: []\n')).toMatchSnapshot();
    expect(problemsOf('apiVersion: hibiscushill/v1\nqueues: []\n')).toMatchSnapshot();
    expect(problemsOf('apiVersion: hibiscushill/v1\nteams: [\n')).toMatchSnapshot();
    expect(problemsOf('apiVersion: hibiscushill/v1\nteams: []\nteams: []\n')).toMatchSnapshot();
  });

  it('reports a missing directory', async () => {
    const problems = (await loadDeclarations('/nowhere/at/all'))._unsafeUnwrapErr();
    expect(problems[0]?.message).toContain('ENOENT');
  });
});
