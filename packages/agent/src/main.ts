/** The program `hibiscus-agent`: the one process beside a target. */
import {
  type IncarnationId,
  Metrics,
  SystemClock,
  createId,
  createLogger,
  createRandomSource,
  readSettings,
} from '@hibiscushill/base';
import { ConfigStore } from '@hibiscushill/config';
import { HttpLog, InstanceList, WeightStore } from '@hibiscushill/log';
import { LinkServer } from '@hibiscushill/protocol';
import { WeightApplier, readFencing } from '@hibiscushill/rollout';
import { FairQueue, FifoQueue } from '@hibiscushill/routing';

import { Agent } from './agent';
import { HttpEngineWeights, StoreWeightSource } from './engine-client';
import { Executor } from './executor';
import { AGENT_SETTINGS, type AgentSettings } from './settings';
import { TargetClient } from './target-client';
import { WeightDesk } from './weight-desk';

const logger = createLogger('agent');

const NO_VERSION = -1;
// Entries read the list more often; this is for an agent that no entry reaches.
const LEAVING_POLL_MS = 5000;
const DRAIN_POLL_MS = 20;
const LINGER_MS = 200;

const settings = readSettings('hibiscus-agent', AGENT_SETTINGS, process.argv, process.env);
if (settings.isErr()) {
  settings.error.forEach((problem) =>
    process.stderr.write(`--${problem.flag} (${problem.env}): ${problem.message}\n`),
  );
  process.exitCode = 2;
} else {
  await run(settings.value);
}

async function run(cfg: AgentSettings): Promise<void> {
  const clock = new SystemClock();
  const incarnation = createId<IncarnationId>();
  const stopping = new AbortController();
  const metrics = new Metrics({
    prefix: 'hibiscus.agent',
    ...(cfg.statsdPort > 0 && { port: cfg.statsdPort }),
  });
  const config = new ConfigStore({ clock, metrics });
  const target = new TargetClient({ url: cfg.targetUrl, connections: cfg.slots });
  const weights = createWeightDesk(cfg, clock, metrics);
  const executor = await Executor.create({ clock, target });
  const bounds = { maxItems: cfg.queueItems, maxTokens: cfg.queueTokens };
  const startedMs = clock.wall();
  const agent = new Agent({
    clock,
    metrics,
    settings: cfg,
    incarnation,
    config,
    executor,
    weights,
    queue: cfg.queue === 'fair' ? new FairQueue(bounds) : new FifoQueue(bounds),
    broadcast: (load) => server.broadcast({ $case: 'load', value: load }),
  });
  const server = new LinkServer({
    clock,
    handlers: agent,
    hello: () => ({
      target: cfg.target,
      incarnation,
      startedMs,
      service: cfg.service,
      availabilityZone: cfg.zone,
      configVersion: config.version ?? NO_VERSION,
      leaving: agent.isLeaving,
    }),
  });
  const port = await server.listen(cfg.innerListen);
  void agent.runSweeps(stopping.signal);
  void watchInstanceList(cfg, clock, agent, stopping.signal);
  void weights.runRefresh(clock, stopping.signal);
  process.on('SIGTERM', () => {
    void drain().then(() => process.exit(0));
  });
  const host = cfg.innerListen.slice(0, cfg.innerListen.lastIndexOf(':'));
  process.stdout.write(`${JSON.stringify({ inner: `${host}:${port}` })}\n`);
  logger.info('Ready for links.', { target: cfg.target, incarnation });

  async function drain(): Promise<void> {
    agent.leave();
    const deadline = clock.mono() + cfg.drainMs;
    await clock.sleep(LINGER_MS);
    while (!agent.isIdle && clock.mono() < deadline) await clock.sleep(DRAIN_POLL_MS);
    await settleUsage(deadline);
    stopping.abort();
    server.close();
    await target.close();
    metrics.close();
    logger.info('Stopped.');
  }

  async function settleUsage(deadline: number): Promise<void> {
    while (agent.heldUsage > 0 && server.sessions.length > 0 && clock.mono() < deadline) {
      agent.hurryUsage();
      await clock.sleep(DRAIN_POLL_MS);
    }
  }
}

function createWeightDesk(cfg: AgentSettings, clock: SystemClock, metrics: Metrics): WeightDesk {
  const store = new WeightStore({ url: cfg.weightsUrl });
  const log = new HttpLog({ url: cfg.logUrl });
  return new WeightDesk(
    new WeightApplier({
      clock,
      metrics,
      engine: new HttpEngineWeights(cfg.targetUrl),
      source: new StoreWeightSource(store),
      random: createRandomSource(),
      learn: (trainer) => readFencing(log, trainer),
    }),
  );
}

// The platform may say before anyone else that the target leaves.
async function watchInstanceList(
  cfg: AgentSettings,
  clock: SystemClock,
  agent: Agent,
  signal: AbortSignal,
): Promise<void> {
  const list = new InstanceList({ url: cfg.instancesUrl });
  while (!signal.aborted) {
    const instances = await list.read();
    const own = instances.unwrapOr([]).find((listed) => listed.id === cfg.instance);
    if (own?.state === 'leaving') agent.leave();
    await clock.sleep(LEAVING_POLL_MS, signal);
  }
}
