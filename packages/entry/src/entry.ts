/** Creates, starts and stops the parts of an entry. */
import {
  type Clock,
  type Failure,
  type IncarnationId,
  type InstanceId,
  Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  type ServiceId,
  SystemClock,
  type TargetId,
  type TrainerId,
  createFailure,
  createId,
  createLogger,
  createRandomSource,
} from '@hibiscushill/base';
import {
  ConfigFollower,
  ConfigStore,
  ConfigSync,
  type Trainer,
  checkKey,
} from '@hibiscushill/config';
import { DemandAggregator } from '@hibiscushill/control';
import { HttpLog, InstanceList, type ListedInstance } from '@hibiscushill/log';
import { PeerServer } from '@hibiscushill/protocol';
import { TrainerService, registerTrainerRoutes } from '@hibiscushill/rollout';
import { OutlierEjector, WaitEstimator } from '@hibiscushill/routing';
import type { FastifyInstance } from 'fastify';
import { isSome, none } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';
import xxhash, { type XXHashAPI } from 'xxhash-wasm';

import { AgentClient } from './agent-client';
import { AgentPool } from './agent-pool';
import { EntryDemandMeter } from './demand-meter';
import { RequestDispatcher } from './dispatcher';
import { LeavingNotices } from './leaving-notices';
import { LinkWeightOrderSender } from './link-weight-order-sender';
import { OpenRequests } from './open-requests';
import { EntryOwnerDirectory, serveForwardedCall } from './entry-owner-directory';
import { PeerExchange } from './peer-exchange';
import { type EntryPolicies, createPolicies } from './policies';
import { LinkSampleRunner } from './sample-runner';
import { ScalingDuties } from './scaling-duties';
import { createServer } from './server';
import { registerServiceRoutes } from './service-routes';
import type { EntrySettings } from './settings';
import { type DutyStatus, registerStatusRoutes } from './status';
import { TrainerCoordinators } from './trainer-coordinators';
import { UsageTracker } from './usage-tracker';

const log = createLogger('entry');

const DRAIN_POLL_INTERVAL_MS = 20;
const KEEP_ALIVE_LINGER_MS = 300;
const WAIT_ESTIMATE_CACHE_MS = 20;

/** The addresses that an entry listens on, as `host:port`. */
export interface EntryAddresses {
  /** The address for callers, trainers and operators. */
  readonly listening: string;
  /** The address for other entries. */
  readonly inner: string;
}

/** One entry process, with all its parts. */
export class Entry {
  readonly #cfg: EntrySettings;

  readonly #clock: Clock = new SystemClock();

  readonly #random: RandomSource = createRandomSource();

  readonly #incarnation = createId<IncarnationId>();

  readonly #metrics: Metrics;

  readonly #config: ConfigStore;

  readonly #configSync: ConfigSync;

  readonly #configFollower: ConfigFollower;

  readonly #openRequests: OpenRequests;

  readonly #leaving: LeavingNotices;

  readonly #pool: AgentPool;

  readonly #policies: EntryPolicies;

  readonly #dispatcher: RequestDispatcher;

  readonly #peerExchange: PeerExchange;

  readonly #log: HttpLog;

  readonly #weightOrders: LinkWeightOrderSender;

  readonly #trainers: TrainerCoordinators;

  readonly #usage: UsageTracker;

  readonly #scaling: ScalingDuties;

  readonly #demand = new DemandAggregator();

  readonly #demandMeter: EntryDemandMeter;

  readonly #owners: EntryOwnerDirectory;

  readonly #trainerService: TrainerService;

  readonly #peerServer: PeerServer;

  readonly #waitEstimator = new WaitEstimator();

  readonly #waitEstimates = new Map<ServiceId, { at: MonoTime; waitMs: Millis }>();

  readonly #app: FastifyInstance;

  readonly #stopController = new AbortController();

  #isStopping = false;

  #candidates: readonly InstanceId[] = [];

  #addresses: EntryAddresses = { listening: '', inner: '' };

  private constructor(cfg: EntrySettings, hash: XXHashAPI) {
    this.#cfg = cfg;
    const clock = this.#clock;
    this.#metrics = new Metrics({
      prefix: 'hibiscus.entry',
      ...(cfg.statsdPort > 0 && { port: cfg.statsdPort }),
    });
    this.#log = new HttpLog({ url: cfg.logUrl });
    this.#config = new ConfigStore({ clock, metrics: this.#metrics });
    this.#configSync = new ConfigSync(this.#config);
    this.#configFollower = new ConfigFollower({
      clock,
      log: this.#log,
      store: this.#config,
      metrics: this.#metrics,
    });
    this.#openRequests = new OpenRequests(this.#config);
    this.#policies = createPolicies(cfg, clock, this.#random);
    this.#demandMeter = new EntryDemandMeter(clock, {
      entry: cfg.instance,
      incarnation: this.#incarnation,
      zone: cfg.zone,
    });
    this.#usage = this.#createUsageTracker();
    this.#scaling = this.#createScalingDuties();
    this.#peerExchange = new PeerExchange({
      clock,
      entry: cfg.instance,
      incarnation: this.#incarnation,
      config: this.#config,
      shares: this.#policies.shareTracker,
      addresses: cfg.peers,
      demand: this.#demand,
      demandMeter: this.#demandMeter,
    });
    this.#peerServer = new PeerServer({
      exchange: (message) => this.#peerExchange.handleMessage(message),
      forward: (call, signal) => serveForwardedCall(this.#trainerService, call, signal),
    });
    this.#leaving = new LeavingNotices(this.#metrics);
    this.#pool = this.#createPool(hash);
    this.#dispatcher = this.#createDispatcher();
    this.#weightOrders = new LinkWeightOrderSender({
      clock,
      pool: this.#pool,
      findService: (trainer) => this.#findTrainer(trainer)?.service,
    });
    this.#trainers = this.#createTrainerCoordinators();
    this.#owners = new EntryOwnerDirectory((trainer) => this.#trainers.owner(trainer));
    this.#trainerService = new TrainerService({
      findCoordinator: (trainer) => this.#trainers.findCoordinator(trainer),
      owners: this.#owners,
      metrics: this.#metrics,
    });
    this.#app = this.#createApp();
  }

  /**
   * Starts an entry.
   *
   * @param cfg - its settings
   * @returns the entry, once it accepts requests
   */
  static async start(cfg: EntrySettings): Promise<Entry> {
    const entry = new Entry(cfg, await xxhash());
    await entry.#start();
    return entry;
  }

  /** The addresses that the entry listens on; empty before it has started. */
  get addresses(): EntryAddresses {
    return this.#addresses;
  }

  /** Refuses new requests, waits for open ones, at most `drain-ms`, and stops. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    log.info('The entry is shutting down.');
    this.#isStopping = true;
    const deadline = this.#clock.mono() + this.#cfg.drainMs;
    // Requests that arrive on keep-alive connections meanwhile get a response with
    // `connection: close`.
    await this.#clock.sleep(KEEP_ALIVE_LINGER_MS);
    const closed = this.#app.close();
    while (this.#openRequests.size > 0 && this.#clock.mono() < deadline) {
      await this.#clock.sleep(DRAIN_POLL_INTERVAL_MS);
    }
    this.#stopController.abort();
    await Promise.all([this.#trainers.stop(), this.#scaling.stop(), this.#usage.stop()]);
    await this.#configFollower.stop();
    this.#pool.close();
    this.#peerServer.close();
    await closed;
    this.#metrics.close();
    log.info('The entry stopped.');
  }

  async #start(): Promise<void> {
    const { listen, innerListen } = this.#cfg;
    const innerPort = await this.#peerServer.listen(innerListen);
    const inner = `${parseHost(innerListen)}:${innerPort}`;
    this.#peerExchange.setOwnAddress(inner);
    this.#configFollower.start();
    this.#usage.start();
    this.#scaling.start();
    void this.#pool.run(this.#stopController.signal);
    void this.#peerExchange.run(this.#stopController.signal);
    const url = await this.#app.listen({ host: parseHost(listen), port: parsePort(listen) });
    this.#addresses = { listening: new URL(url).host, inner };
    log.info('The entry accepts requests.', { listening: this.#addresses.listening, inner });
  }

  #createPool(hash: XXHashAPI): AgentPool {
    const { instance, instancesUrl, subsetSize } = this.#cfg;
    this.#config.onChange(() => this.#pushConfig());
    return new AgentPool({
      clock: this.#clock,
      entry: instance,
      list: new InstanceList({ url: instancesUrl }),
      subsetSize,
      createClient: (address) => this.#createAgentClient(address, hash),
      createEjector: () => new OutlierEjector({ clock: this.#clock }),
      onEntries: (entries) => this.#setEntries(entries),
      onClosed: (client) => this.#usage.forgetAgent(client),
    });
  }

  #createAgentClient(address: string, hash: XXHashAPI): AgentClient {
    return new AgentClient({
      address,
      hash,
      clock: this.#clock,
      random: this.#random,
      sync: this.#configSync,
      leaving: this.#leaving,
      hello: () => ({
        entry: this.#cfg.instance,
        incarnation: this.#incarnation,
        configVersion: this.#config.version,
      }),
      onUsage: (items, from) => this.#usage.recordAgentBatch(items, from),
      onWeightReport: (report) => this.#weightOrders.handleReport(report),
      onLoad: (client) => this.#recordLoad(client),
      onConnectionLost: (client) => this.#recordDisconnect(client),
    });
  }

  #createDispatcher(): RequestDispatcher {
    return new RequestDispatcher({
      clock: this.#clock,
      metrics: this.#metrics,
      pool: this.#pool,
      zone: this.#cfg.zone,
      targetPolicy: this.#policies.target,
      retryPolicy: this.#policies.retry,
      retryBudget: this.#policies.retryBudget,
      hedgePolicy: this.#policies.hedge,
      configVersion: () => this.#config.version,
    });
  }

  #createApp(): FastifyInstance {
    const app = createServer(this.#cfg);
    const isStopping = (): boolean => this.#isStopping;
    registerServiceRoutes(app, {
      clock: this.#clock,
      metrics: this.#metrics,
      config: this.#config,
      configAgeMs: this.#cfg.configAgeMs,
      bodyBytes: this.#cfg.bodyBytes,
      admission: this.#policies.admission,
      dispatcher: this.#dispatcher,
      openRequests: this.#openRequests,
      estimateWait: (service) => this.#estimateWait(service),
      isStopping,
      demandMeter: this.#demandMeter,
      onServed: (served) => this.#usage.recordServed(served),
    });
    registerStatusRoutes(app, {
      cfg: this.#cfg,
      incarnation: this.#incarnation,
      config: this.#config,
      pool: this.#pool,
      openRequests: this.#openRequests,
      metrics: this.#metrics,
      isStopping,
      duties: () => this.#listDuties(),
      swaps: () => this.#trainers.swaps,
    });
    registerTrainerRoutes(app, {
      service: this.#trainerService,
      authorize: (req, trainer) => this.#authorize(req.headers.authorization, trainer),
    });
    return app;
  }

  #createTrainerCoordinators(): TrainerCoordinators {
    return new TrainerCoordinators({
      clock: this.#clock,
      metrics: this.#metrics,
      log: this.#log,
      config: this.#config,
      entry: this.#cfg.instance,
      incarnation: this.#incarnation,
      candidates: () => this.#candidates,
      weightOrderSender: this.#weightOrders,
      createRunner: (service) =>
        new LinkSampleRunner({
          clock: this.#clock,
          dispatcher: this.#dispatcher,
          pool: this.#pool,
          service,
          onServed: (served) => this.#usage.recordServed(served),
        }),
    });
  }

  #createUsageTracker(): UsageTracker {
    return new UsageTracker({
      clock: this.#clock,
      metrics: this.#metrics,
      log: this.#log,
      usageUrl: this.#cfg.usageUrl,
      entry: this.#cfg.instance,
      incarnation: this.#incarnation,
      candidates: () => this.#candidates,
      windowMs: this.#cfg.usageWindowMs,
      graceMs: this.#cfg.usageGraceMs,
    });
  }

  #createScalingDuties(): ScalingDuties {
    return new ScalingDuties({
      clock: this.#clock,
      metrics: this.#metrics,
      log: this.#log,
      ordersUrl: this.#cfg.ordersUrl,
      config: this.#config,
      entry: this.#cfg.instance,
      incarnation: this.#incarnation,
      candidates: () => this.#candidates,
      demand: this.#demand,
      countRequests: (target) => this.#countRequests(target),
    });
  }

  #countRequests(target: TargetId): number {
    const client = this.#pool.clients.find((candidate) => candidate.target === target);
    return client === undefined ? 0 : client.load.running + client.load.queued;
  }

  #listDuties(): DutyStatus[] {
    const held = [this.#usage.elector, ...this.#scaling.electors].flatMap(({ duty, lease }) =>
      isSome(lease) ? [{ duty, fencing: lease.value.fencing }] : [],
    );
    return [...held, ...this.#trainers.duties];
  }

  #setEntries(entries: readonly ListedInstance[]): void {
    const live = entries.filter((entry) => entry.state === 'live');
    this.#candidates = live.map((entry) => entry.id);
    this.#owners.setAddresses(new Map(live.map((entry) => [entry.id, entry.address])));
    this.#peerExchange.setEntries(entries);
  }

  #findTrainer(trainer: TrainerId): Trainer | undefined {
    const { view } = this.#config;
    const found = isSome(view) ? view.value.findTrainer(trainer) : none;
    return isSome(found) ? found.value : undefined;
  }

  #authorize(authorization: string | undefined, trainer: TrainerId): Result<void, Failure> {
    const { view } = this.#config;
    if (!isSome(view)) return err(createFailure('not_ready'));
    if (!this.#config.isFresh(this.#cfg.configAgeMs)) return err(createFailure('config_stale'));
    return checkKey(view.value, authorization).andThen(({ team }) => {
      const declared = this.#findTrainer(trainer);
      if (declared === undefined) return err(createFailure('route_unknown'));
      return declared.team === team ? ok(undefined) : err(createFailure('team_mismatch'));
    });
  }

  #pushConfig(): void {
    this.#pool.clients.forEach((client) =>
      this.#configSync.sendOffer(client, client.hello?.configVersion ?? -1),
    );
  }

  #recordLoad(client: AgentClient): void {
    if (client.target === undefined) return;
    const { queued, served } = client.load;
    this.#waitEstimator.recordReport(client.target, {
      queued,
      served,
      receivedAt: this.#clock.mono(),
    });
  }

  // Cached so that refusals stay cheap under overload.
  #estimateWait(service: ServiceId): Millis {
    const now = this.#clock.mono();
    const cached = this.#waitEstimates.get(service);
    if (cached !== undefined && now - cached.at < WAIT_ESTIMATE_CACHE_MS) return cached.waitMs;
    const waitMs = this.#waitEstimator.estimate(this.#pool.listTargets(service));
    this.#waitEstimates.set(service, { at: now, waitMs });
    return waitMs;
  }

  #recordDisconnect(client: AgentClient): void {
    if (client.service === undefined || client.target === undefined) return;
    // An agent that leaves ends its links; its next incarnation must not be ejected for that.
    if (client.isLeaving) return;
    this.#pool.ejectorOf(client.service).recordOutcome(client.target, 'silent');
  }
}

function parseHost(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

function parsePort(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
