/** The trainer API over HTTP. */
import { Metrics, createFailure, type Failure } from '@hibiscushill/base';
import fastify from 'fastify';
import { none, some, type Option } from 'fp-ts/Option';
import { err, ok, okAsync, type ResultAsync } from 'neverthrow';
import { expect, test } from 'vitest';

import {
  OwnerDirectory,
  TrainerService,
  registerTrainerRoutes,
  type TrainerCall,
  type TrainerReply,
} from '../src';
import { TrainerCluster, advanceUntil, type TestOwner } from './support';

/** Has one owner and keeps the calls that are forwarded to it. */
class FakeOwnerDirectory extends OwnerDirectory {
  readonly forwardedCalls: TrainerCall[] = [];

  readonly owner: Option<string>;

  constructor(owner: Option<string>) {
    super();
    this.owner = owner;
  }

  override find(): Option<string> {
    return this.owner;
  }

  override forward(_: string, call: TrainerCall): ResultAsync<TrainerReply, Failure> {
    this.forwardedCalls.push(call);
    return okAsync({ status: 200, body: { isForwarded: true } });
  }
}

const VALID_KEY = { authorization: 'Bearer good' };

function createApp(owners: FakeOwnerDirectory, owner?: TestOwner) {
  const app = fastify();
  const service = new TrainerService({
    findCoordinator: () => (owner ? some(owner.coordinator) : none),
    owners,
    metrics: new Metrics({ prefix: 'test' }),
  });
  registerTrainerRoutes(app, {
    service,
    authorize: (req) =>
      req.headers.authorization === VALID_KEY.authorization
        ? ok(undefined)
        : err(createFailure('team_mismatch')),
  });
  return app;
}

const GROUPS = [{ id: 'g0', prompt: 'Describe the rind.', count: 2, maxTokens: 3, seed: 7 }];

test('a trainer publishes, creates a step and reads its samples', async () => {
  const cluster = new TrainerCluster();
  const owner = await cluster.startOwner();
  const app = createApp(new FakeOwnerDirectory(none), owner);
  const calls = [
    { method: 'POST', url: '/v1/trainers/rinds/weights', payload: { version: 0, source: 's' } },
    { method: 'POST', url: '/v1/trainers/rinds/steps', payload: { step: 's1', groups: GROUPS } },
    { method: 'GET', url: '/v1/trainers/rinds/steps/s1/samples?after=0&waitMs=9000' },
    { method: 'POST', url: '/v1/trainers/rinds/steps', payload: { step: 's1', groups: [] } },
    { method: 'GET', url: '/v1/trainers/rinds/steps/s2/samples?after=0' },
    { method: 'GET', url: '/v1/trainers/rinds/steps/s1/samples?after=99' },
  ] as const;
  const responses: object[] = [];
  for (const call of calls) {
    let isDone = false;
    void app.inject({ ...call, headers: VALID_KEY }).then((res) => {
      const { requestId, ...body } = res.json<Record<string, unknown>>();
      responses.push({ status: res.statusCode, ...body });
      isDone = true;
    });
    await advanceUntil(cluster.clock, () => isDone);
  }
  expect(responses).toMatchSnapshot();
  await app.close();
});

test('a key of another team is refused before the call is handled or forwarded', async () => {
  const owners = new FakeOwnerDirectory(some('entry-2'));
  const app = createApp(owners);
  const res = await app.inject({ method: 'GET', url: '/v1/trainers/rinds/steps/s1/samples' });
  expect(res.statusCode).toBe(403);
  expect(owners.forwardedCalls).toEqual([]);
  await app.close();
});

test('an entry that is not the owner forwards the call, or refuses it if there is no owner', async () => {
  const owners = new FakeOwnerDirectory(some('entry-2'));
  const url = '/v1/trainers/rinds/steps/s1/samples?after=3';
  const forwarded = await createApp(owners).inject({ method: 'GET', url, headers: VALID_KEY });
  expect(forwarded.json()).toEqual({ isForwarded: true });
  expect(owners.forwardedCalls).toMatchObject([
    { kind: 'samples', body: { step: 's1', after: '3' } },
  ]);
  const refused = await createApp(new FakeOwnerDirectory(none)).inject({
    method: 'GET',
    url,
    headers: VALID_KEY,
  });
  expect(refused.statusCode).toBe(503);
  expect(refused.headers['retry-after']).toBe('1');
  expect(refused.json()).toMatchObject({ name: 'not_owner', run: 'not-run' });
});
