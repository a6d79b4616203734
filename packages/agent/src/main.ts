/** The program `hibiscus-agent`, one of which runs beside each target. */
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
import { WeightLoader, readHighestFencing } from '@hibiscushill/rollout';
import { FairQueue, FifoQueue } from '@hibiscushill/routing';

import { Agent } from './agent';
import { HttpEngineWeightsClient, StoreWeightFetcher } from './engine-weights-client';
import { AttemptExecutor } from './attempt-executor';
import { AGENT_SETTINGS, type AgentSettings } from './settings';
import { TargetClient } from './target-client';
import { WeightOrderHandler } from './weight-order-handler';

const logger = createLogger('agent');

const NO_VERSION = -1;
// Entries read the list more often, so this matters only to an agent that no entry reaches.
const INSTANCE_LIST_POLL_INTERVAL_MS = 5000;
const DRAIN_POLL_INTERVAL_MS = 20;
// Requests that entries sent before they learn of the shutdown still get a response.
const DRAIN_LINGER_MS = 200;

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
  const stopController = new AbortController();
  const metrics = new Metrics({
    prefix: 'hibiscus.agent',
    ...(cfg.statsdPort > 0 && { port: cfg.statsdPort }),
  });
  const config = new ConfigStore({ clock, metrics });
  const target = new TargetClient({ url: cfg.targetUrl, connections: cfg.slots });
  const weightOrders = createWeightOrderHandler(cfg, clock, metrics);
  const executor = await AttemptExecutor.create({ clock, target });
  const bounds = { maxItems: cfg.queueItems, maxTokens: cfg.queueTokens };
  const startedMs = clock.wall();
  const agent = new Agent({
    clock,
    metrics,
    settings: cfg,
    incarnation,
    config,
    executor,
    weightOrders,
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
  void agent.runMaintenance(stopController.signal);
  void watchForLeaving(cfg, clock, agent, stopController.signal);
  void weightOrders.refreshPeriodically(clock, stopController.signal);
  process.on('SIGTERM', () => {
    void drain().then(() => process.exit(0));
  });
  const host = cfg.innerListen.slice(0, cfg.innerListen.lastIndexOf(':'));
  process.stdout.write(`${JSON.stringify({ inner: `${host}:${port}` })}\n`);
  logger.info('The agent accepts links.', { target: cfg.target, incarnation });

  async function drain(): Promise<void> {
    agent.startLeaving();
    const deadline = clock.mono() + cfg.drainMs;
    await clock.sleep(DRAIN_LINGER_MS);
    while (!agent.isIdle && clock.mono() < deadline) await clock.sleep(DRAIN_POLL_INTERVAL_MS);
    await flushUsage(deadline);
    stopController.abort();
    server.close();
    await target.close();
    metrics.close();
    logger.info('The agent stopped.');
  }

  async function flushUsage(deadline: number): Promise<void> {
    while (agent.bufferedUsageCount > 0 && server.sessions.length > 0 && clock.mono() < deadline) {
      agent.sendUnsentUsage();
      await clock.sleep(DRAIN_POLL_INTERVAL_MS);
    }
  }
}

function createWeightOrderHandler(
  cfg: AgentSettings,
  clock: SystemClock,
  metrics: Metrics,
): WeightOrderHandler {
  const store = new WeightStore({ url: cfg.weightsUrl });
  const log = new HttpLog({ url: cfg.logUrl });
  return new WeightOrderHandler(
    new WeightLoader({
      clock,
      metrics,
      engine: new HttpEngineWeightsClient(cfg.targetUrl),
      fetcher: new StoreWeightFetcher(store),
      random: createRandomSource(),
      readHighestFencing: (trainer) => readHighestFencing(log, trainer),
    }),
  );
}

// The platform's instance list may report the target as leaving before any entry does.
async function watchForLeaving(
  cfg: AgentSettings,
  clock: SystemClock,
  agent: Agent,
  signal: AbortSignal,
): Promise<void> {
  const list = new InstanceList({ url: cfg.instancesUrl });
  while (!signal.aborted) {
    const instances = await list.read();
    const own = instances.unwrapOr([]).find((listed) => listed.id === cfg.instance);
    if (own?.state === 'leaving') agent.startLeaving();
    await clock.sleep(INSTANCE_LIST_POLL_INTERVAL_MS, signal);
  }
}
