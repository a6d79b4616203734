import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { type MonoTime, SystemClock } from '@hibiscushill/base';
import type { AgentFramePayload, LinkSession } from '@hibiscushill/protocol';
import { expect, it } from 'vitest';

import { Attempt } from '../src/attempt';
import { AttemptExecutor } from '../src/attempt-executor';
import { TargetClient } from '../src/target-client';
import { RUN } from './support';

it('forwards no header of a target that belongs to its connection', async () => {
  const server = createServer((_, res) => {
    res.writeHead(200, {
      'Proxy-Connection': 'keep-alive',
      'Keep-Alive': 'timeout=9',
      'X-End': 'a',
    });
    res.end('ok');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const target = new TargetClient({ url: `http://127.0.0.1:${port}`, connections: 1 });
  const clock = new SystemClock();
  const frames: AgentFramePayload[] = [];
  const session = {
    hello: { entry: 'e', incarnation: 'e1', configVersion: 0 },
    send: (frame: AgentFramePayload) => frames.push(frame),
  };
  const deadline = (clock.mono() + 5_000) as MonoTime;
  const attempt = new Attempt(RUN, session as unknown as LinkSession, deadline);
  attempt.markRunning();
  await (await AttemptExecutor.create({ clock, target })).run(attempt);
  await target.close();
  server.close();
  const head = frames.find((frame) => frame.$case === 'head');
  const names = head?.value.headers.map(({ name }) => name);
  expect(names).not.toContain('proxy-connection');
  expect(names).not.toContain('keep-alive');
  expect(names).toContain('x-end');
});
