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
import { Stage, driveUntil, type TestOwner } from './support';

/** Knows one owner and keeps what is passed on to it. */
class FakeOwners extends OwnerDirectory {
  readonly calls: TrainerCall[] = [];

  readonly owner: Option<string>;

  constructor(owner: Option<string>) {
    super();
    this.owner = owner;
  }

  override find(): Option<string> {
    return this.owner;
  }

  override forward(_: string, call: TrainerCall): ResultAsync<TrainerReply, Failure> {
    this.calls.push(call);
    return okAsync({ status: 200, body: { passedOn: true } });
  }
}

const KEY = { authorization: 'Bearer good' };

function serve(owners: FakeOwners, owner?: TestOwner) {
  const app = fastify();
  const service = new TrainerService({
    desk: () => (owner ? some(owner.desk) : none),
    owners,
    metrics: new Metrics({ prefix: 'test' }),
  });
  registerTrainerRoutes(app, {
    service,
    authorize: (req) =>
      req.headers.authorization === KEY.authorization
        ? ok(undefined)
        : err(createFailure('team_mismatch')),
  });
  return app;
}

const GROUPS = [{ id: 'g0', prompt: 'Describe the rind.', count: 2, maxTokens: 3, seed: 7 }];

test('a trainer publishes, creates a step and reads its samples', async () => {
  const stage = new Stage();
  const owner = await stage.startOwner();
  const app = serve(new FakeOwners(none), owner);
  const calls = [
    { method: 'POST', url: '/v1/trainers/rinds/weights', payload: { version: 0, source: 's' } },
    { method: 'POST', url: '/v1/trainers/rinds/steps', payload: { step: 's1', groups: GROUPS } },
    { method: 'GET', url: '/v1/trainers/rinds/steps/s1/samples?after=0&waitMs=9000' },
    { method: 'POST', url: '/v1/trainers/rinds/steps', payload: { step: 's1', groups: [] } },
    { method: 'GET', url: '/v1/trainers/rinds/steps/s2/samples?after=0' },
    { method: 'GET', url: '/v1/trainers/rinds/steps/s1/samples?after=99' },
  ] as const;
  const answers: object[] = [];
  for (const call of calls) {
    let isAnswered = false;
    void app.inject({ ...call, headers: KEY }).then((res) => {
      const { requestId, ...body } = res.json<Record<string, unknown>>();
      answers.push({ status: res.statusCode, ...body });
      isAnswered = true;
    });
    await driveUntil(stage.clock, () => isAnswered);
  }
  expect(answers).toMatchSnapshot();
  await app.close();
});

test('a key of another team is refused before anything is served or passed on', async () => {
  const owners = new FakeOwners(some('entry-2'));
  const app = serve(owners);
  const res = await app.inject({ method: 'GET', url: '/v1/trainers/rinds/steps/s1/samples' });
  expect(res.statusCode).toBe(403);
  expect(owners.calls).toEqual([]);
  await app.close();
});

test('an entry that is not the owner passes the call on, or says that nobody owns it', async () => {
  const owners = new FakeOwners(some('entry-2'));
  const url = '/v1/trainers/rinds/steps/s1/samples?after=3';
  const passed = await serve(owners).inject({ method: 'GET', url, headers: KEY });
  expect(passed.json()).toEqual({ passedOn: true });
  expect(owners.calls).toMatchObject([{ kind: 'samples', body: { step: 's1', after: '3' } }]);
  const refused = await serve(new FakeOwners(none)).inject({ method: 'GET', url, headers: KEY });
  expect(refused.statusCode).toBe(503);
  expect(refused.headers['retry-after']).toBe('1');
  expect(refused.json()).toMatchObject({ name: 'not_owner', run: 'not-run' });
});
