import { setTimeout as sleep } from 'node:timers/promises';

import { expect, it } from 'vitest';

import { Child } from '../src/child';

function isRunning(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    // The process does not exist.
    return false;
  }
}

it('kills a program that is not ready in time', async () => {
  const error: unknown = await Child.start('platform', 'hibiscus-fakes', ['platform'], 1).catch(
    (reason: unknown) => reason,
  );
  const pid = Number(/process (\d+) printed no ready line in time/.exec(String(error))?.[1]);
  expect(pid).toBeGreaterThan(0);
  for (let tries = 0; tries < 100 && isRunning(pid); tries += 1) await sleep(20);
  expect(isRunning(pid)).toBe(false);
});
