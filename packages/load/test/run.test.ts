import type { FastifyInstance } from 'fastify';
import fastify from 'fastify';
import { afterEach, describe, expect, it } from 'vitest';

import {
  type HistoryLine,
  Scenario,
  createProxy,
  formatComparison,
  formatReport,
  parseLoopbackUrl,
  parseScenario,
  renderHtml,
  runScenario,
} from '../src';
import { planTeamRequests } from '../src/arrivals';
import { parseProcessorSeconds } from '../src/processor-time';
import type { RequestStats } from '../src/recorder';
import { verifyResponse } from '../src/verify';

const SCENARIO = Scenario.parse({
  seed: 7,
  durationMs: 200,
  teams: [
    {
      name: 'small',
      key: 'hk_1_secret',
      arrival: { kind: 'poisson', perSecond: 200 },
      routes: [{ path: '/echo?nonce={id}', deadlineMs: 5000 }],
    },
    {
      name: 'large',
      arrival: { kind: 'bursts', size: 5, everyMs: 50 },
      routes: [{ path: '/refuse' }, { method: 'POST', path: '/echo', body: '{"n":"{id}"}' }],
    },
  ],
});
const STATS: RequestStats = {
  offered: 10,
  answered: 8,
  late: 1,
  goodput: 7,
  perSecond: 8,
  latency: { p50: 1, p90: 2, p99: 3, max: 4 },
  verdicts: { answered: 8, 'refused.queue_full': 1, wrong: 1 },
};
const REPORT = {
  baseUrl: 'http://127.0.0.1:1',
  seed: 1,
  durationMs: 1000,
  elapsedMs: 1001,
  total: STATS,
  teams: { '<a>': STATS },
  processes: [{ pid: 1, processorSeconds: 2, answersPerCore: 4 }],
};

const servers: FastifyInstance[] = [];

async function listen(app: FastifyInstance): Promise<string> {
  servers.push(app);
  return app.listen({ host: '127.0.0.1', port: 0 });
}

function createEchoServer(): FastifyInstance {
  const app = fastify();
  app.get('/refuse', (_req, reply) =>
    reply.code(429).send({ code: 2003, name: 'team_rate_exceeded', run: 'not-run' }),
  );
  app.all('/echo', async (req) => ({
    path: req.url,
    body: req.body,
    key: req.headers.authorization,
  }));
  return app;
}

function verifyBody(expected: 'echo' | 'tokens', text: string, body?: string) {
  const [team] = SCENARIO.teams;
  const route = { weight: 1, method: 'GET', path: '/', headers: {}, deadlineMs: 1 };
  const planned = {
    id: 'id-1',
    team: team as never,
    route: { ...route, expect: expected, ...(body !== undefined && { body }) },
    dueMs: 0,
  };
  return verifyResponse(planned, { status: 200, text });
}

afterEach(async () => {
  await Promise.all(servers.splice(0).map((app) => app.close()));
});

describe('a run', () => {
  it('counts every planned request once, by team and outcome, through the proxy', async () => {
    const proxyUrl = await listen(createProxy(await listen(createEchoServer())));
    const lines: HistoryLine[] = [];
    const report = await runScenario(SCENARIO, {
      baseUrl: proxyUrl,
      onHistoryLine: (line) => lines.push(line),
      watchPids: [process.pid],
    });
    const planned = SCENARIO.teams.flatMap((_, index) => [...planTeamRequests(SCENARIO, index)]);
    const refused = planned.filter(({ route }) => route.path === '/refuse').length;
    expect(lines.map(({ id }) => id).sort()).toEqual(planned.map(({ id }) => id).sort());
    expect(report.total.verdicts).toEqual({
      answered: planned.length - refused,
      'refused.team_rate_exceeded': refused,
    });
    expect(report.teams.large?.offered).toBe(20);
    expect(report.processes).toHaveLength(1);
  });

  it('plans the same requests for the same seed', () => {
    const plan = (seed: number) => [...planTeamRequests({ ...SCENARIO, seed }, 0)];
    expect(plan(3)).toEqual(plan(3));
    expect(plan(3).map(({ dueMs }) => dueMs)).not.toEqual(plan(4).map(({ dueMs }) => dueMs));
  });

  it('counts every request as unreachable when the server is down', async () => {
    const app = createEchoServer();
    const baseUrl = await listen(app);
    await app.close();
    const { total } = await runScenario(SCENARIO, { baseUrl });
    expect(total.verdicts).toEqual({ unreachable: total.offered });
  });
});

describe('verifyResponse', () => {
  it('tells complete, incomplete and wrong responses apart', () => {
    const body = '{"maxTokens":2}';
    const tokens = '{"i":0,"t":"a","v":1}\n{"i":1,"t":"b","v":1}\n';
    expect({
      complete: verifyBody('echo', '{"path":"/echo?nonce=id-1"}'),
      foreign: verifyBody('echo', '{"path":"/echo?nonce=id-2"}'),
      truncated: verifyBody('echo', '{"path":"/echo?nonce=id-1'),
      'complete stream': verifyBody('tokens', `${tokens}{"done":true,"tokens":2}\n`, body),
      'stream without its last line': verifyBody('tokens', tokens, body),
      'stream with a gap': verifyBody('tokens', '{"i":1,"t":"b"}\n{"done":true,"tokens":1}\n'),
      'stream of another length': verifyBody(
        'tokens',
        '{"i":0,"t":"a"}\n{"done":true,"tokens":1}\n',
        body,
      ),
    }).toMatchSnapshot();
  });
});

describe('the reports', () => {
  it('list every team', () => {
    expect(formatReport(REPORT)).toMatchSnapshot();
    expect(formatComparison({ A: REPORT, B: REPORT })).toMatchSnapshot();
    expect(renderHtml(REPORT)).toMatchSnapshot();
  });
});

describe('the limits of a run', () => {
  it('accepts loopback addresses only', () => {
    const accepted = ['http://127.0.0.1:80/a', 'http://localhost:1', 'http://[::1]:1'];
    const refused = ['http://10.0.0.1', 'https://127.0.0.1', 'http://127.0.0.1.example', 'x'];
    expect(accepted.map((url) => parseLoopbackUrl(url).isOk())).toEqual([true, true, true]);
    expect(refused.map((url) => parseLoopbackUrl(url).isErr())).toEqual([true, true, true, true]);
  });

  it('refuses a scenario that runs too long or has too many connections', () => {
    const change = (changes: object) => parseScenario(JSON.stringify({ ...SCENARIO, ...changes }));
    expect(change({}).isOk()).toBe(true);
    expect(change({ durationMs: 1e9 }).isErr()).toBe(true);
    expect(change({ maxConnections: 5000 }).isErr()).toBe(true);
    expect(parseScenario('{').isErr()).toBe(true);
  });
});

describe('parseProcessorSeconds', () => {
  it('parses the times after a process name with spaces and parentheses', () => {
    expect(parseProcessorSeconds('12 (a b) c) S 1 1 1 0 -1 4 1 1 1 1 150 50 0 0 20 0 1 0')).toBe(2);
  });
});
