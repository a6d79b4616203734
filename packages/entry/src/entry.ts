/** An entry: its parts, started and stopped together. */
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
import { DemandSummary } from '@hibiscushill/control';
import { HttpLog, InstanceList, type ListedInstance } from '@hibiscushill/log';
import { PeerServer } from '@hibiscushill/protocol';
import { TrainerService, registerTrainerRoutes } from '@hibiscushill/rollout';
import { Ejector, WaitEstimator } from '@hibiscushill/routing';
import type { FastifyInstance } from 'fastify';
import { isSome, none } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';
import xxhash, { type XXHashAPI } from 'xxhash-wasm';

import { AgentPeer } from './agent-peer';
import { AgentPool } from './agent-pool';
import { EntryDemandMeter } from './demand-meter';
import { RequestDispatcher } from './dispatcher';
import { LinkWeightOrders } from './link-weight-orders';
import { OpenRequests } from './open-requests';
import { EntryOwners, serveForwarded } from './owner-directory';
import { PeerExchange } from './peer-exchange';
import { type Policies, createPolicies } from './policies';
import { LinkSampleRunner } from './sample-runner';
import { ScalingDuty } from './scaling-duty';
import { createServer } from './server';
import { registerServiceRoutes } from './service-routes';
import type { EntrySettings } from './settings';
import { type DutyStatus, registerStatusRoutes } from './status';
import { TrainerDesks } from './trainer-desks';
import { UsageDuty } from './usage-duty';

const log = createLogger('entry');

const DRAIN_POLL_MS = 20;
const LINGER_MS = 300;
const ESTIMATE_MS = 20;

/** Where an entry is reached. */
export interface EntryAddresses {
  readonly listening: string;
  readonly inner: string;
}

/** One entry process. */
export class Entry {
  readonly #cfg: EntrySettings;

  readonly #clock: Clock = new SystemClock();

  readonly #random: RandomSource = createRandomSource();

  readonly #incarnation = createId<IncarnationId>();

  readonly #metrics: Metrics;

  readonly #config: ConfigStore;

  readonly #sync: ConfigSync;

  readonly #follower: ConfigFollower;

  readonly #open: OpenRequests;

  readonly #pool: AgentPool;

  readonly #policies: Policies;

  readonly #dispatcher: RequestDispatcher;

  readonly #exchange: PeerExchange;

  readonly #log: HttpLog;

  readonly #weightOrders: LinkWeightOrders;

  readonly #trainers: TrainerDesks;

  readonly #usage: UsageDuty;

  readonly #scaling: ScalingDuty;

  readonly #demand = new DemandSummary();

  readonly #meter: EntryDemandMeter;

  readonly #owners: EntryOwners;

  readonly #trainerService: TrainerService;

  readonly #peerServer: PeerServer;

  readonly #waits = new WaitEstimator();

  readonly #estimates = new Map<ServiceId, { at: MonoTime; waitMs: Millis }>();

  readonly #app: FastifyInstance;

  readonly #stopping = new AbortController();

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
    this.#sync = new ConfigSync(this.#config);
    this.#follower = new ConfigFollower({
      clock,
      log: this.#log,
      store: this.#config,
      metrics: this.#metrics,
    });
    this.#open = new OpenRequests(this.#config);
    this.#policies = createPolicies(cfg, clock, this.#random);
    this.#meter = new EntryDemandMeter(clock, {
      entry: cfg.instance,
      incarnation: this.#incarnation,
      zone: cfg.zone,
    });
    this.#usage = this.#createUsage();
    this.#scaling = this.#createScaling();
    this.#exchange = new PeerExchange({
      clock,
      entry: cfg.instance,
      incarnation: this.#incarnation,
      config: this.#config,
      shares: this.#policies.shares,
      addresses: cfg.peers,
      demand: this.#demand,
      meter: this.#meter,
    });
    this.#peerServer = new PeerServer({
      exchange: (message) => this.#exchange.answer(message),
      forward: (call, signal) => serveForwarded(this.#trainerService, call, signal),
    });
    this.#pool = this.#createPool(hash);
    this.#dispatcher = this.#createDispatcher();
    this.#weightOrders = new LinkWeightOrders({
      clock,
      pool: this.#pool,
      serviceOf: (trainer) => this.#findTrainer(trainer)?.service,
    });
    this.#trainers = this.#createTrainers();
    this.#owners = new EntryOwners((trainer) => this.#trainers.owner(trainer));
    this.#trainerService = new TrainerService({
      desk: (trainer) => this.#trainers.desk(trainer),
      owners: this.#owners,
      metrics: this.#metrics,
    });
    this.#app = this.#createApp();
  }

  /**
   * Starts an entry.
   *
   * @param cfg - its settings
   * @returns the entry, which listens
   */
  static async start(cfg: EntrySettings): Promise<Entry> {
    const entry = new Entry(cfg, await xxhash());
    await entry.#start();
    return entry;
  }

  /** Where the entry is reached. */
  get addresses(): EntryAddresses {
    return this.#addresses;
  }

  /** Finishes what is open, takes nothing new, and closes everything. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    log.info('Shutting down.');
    this.#isStopping = true;
    const deadline = this.#clock.mono() + this.#cfg.drainMs;
    // Callers that write on a kept connection just now still get an answer, with `close`.
    await this.#clock.sleep(LINGER_MS);
    const closed = this.#app.close();
    while (this.#open.size > 0 && this.#clock.mono() < deadline) {
      await this.#clock.sleep(DRAIN_POLL_MS);
    }
    this.#stopping.abort();
    await Promise.all([this.#trainers.stop(), this.#scaling.stop(), this.#usage.stop()]);
    await this.#follower.stop();
    this.#pool.close();
    this.#peerServer.close();
    await closed;
    this.#metrics.close();
    log.info('Stopped.');
  }

  async #start(): Promise<void> {
    const { listen, innerListen } = this.#cfg;
    const innerPort = await this.#peerServer.listen(innerListen);
    const inner = `${hostOf(innerListen)}:${innerPort}`;
    this.#exchange.setOwnAddress(inner);
    this.#follower.start();
    this.#usage.start();
    this.#scaling.start();
    void this.#pool.run(this.#stopping.signal);
    void this.#exchange.run(this.#stopping.signal);
    const url = await this.#app.listen({ host: hostOf(listen), port: portOf(listen) });
    this.#addresses = { listening: new URL(url).host, inner };
    log.info('Ready for callers.', { listening: this.#addresses.listening, inner });
  }

  #createPool(hash: XXHashAPI): AgentPool {
    const { instance, instancesUrl, subsetSize } = this.#cfg;
    this.#config.onChange(() => this.#pushConfig());
    return new AgentPool({
      clock: this.#clock,
      entry: instance,
      list: new InstanceList({ url: instancesUrl }),
      subsetSize,
      createPeer: (address) => this.#createPeer(address, hash),
      createEjector: () => new Ejector({ clock: this.#clock }),
      onEntries: (entries) => this.#setEntries(entries),
      onClosed: (peer) => this.#usage.forget(peer),
    });
  }

  #createPeer(address: string, hash: XXHashAPI): AgentPeer {
    return new AgentPeer({
      address,
      hash,
      clock: this.#clock,
      random: this.#random,
      sync: this.#sync,
      hello: () => ({
        entry: this.#cfg.instance,
        incarnation: this.#incarnation,
        configVersion: this.#config.version,
      }),
      onUsage: (items, from) => this.#usage.takeBatch(items, from),
      onWeightReport: (report) => this.#weightOrders.take(report),
      onLoad: (peer) => this.#noteLoad(peer),
      onSilent: (peer) => this.#noteSilence(peer),
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
      retryBudget: this.#policies.budget,
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
      open: this.#open,
      estimateWait: (service) => this.#estimateWait(service),
      isStopping,
      demand: this.#meter,
      onServed: (served) => this.#usage.add(served),
    });
    registerStatusRoutes(app, {
      cfg: this.#cfg,
      incarnation: this.#incarnation,
      config: this.#config,
      pool: this.#pool,
      open: this.#open,
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

  #createTrainers(): TrainerDesks {
    return new TrainerDesks({
      clock: this.#clock,
      metrics: this.#metrics,
      log: this.#log,
      config: this.#config,
      entry: this.#cfg.instance,
      incarnation: this.#incarnation,
      candidates: () => this.#candidates,
      orders: this.#weightOrders,
      createRunner: (service) =>
        new LinkSampleRunner({
          clock: this.#clock,
          dispatcher: this.#dispatcher,
          pool: this.#pool,
          service,
          onServed: (served) => this.#usage.add(served),
        }),
    });
  }

  #createUsage(): UsageDuty {
    return new UsageDuty({
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

  #createScaling(): ScalingDuty {
    return new ScalingDuty({
      clock: this.#clock,
      metrics: this.#metrics,
      log: this.#log,
      ordersUrl: this.#cfg.ordersUrl,
      config: this.#config,
      entry: this.#cfg.instance,
      incarnation: this.#incarnation,
      candidates: () => this.#candidates,
      demand: this.#demand,
      runningWork: (target) => this.#runningWork(target),
    });
  }

  #runningWork(target: TargetId): number {
    const peer = this.#pool.peers.find((known) => known.target === target);
    return peer === undefined ? 0 : peer.load.running + peer.load.queued;
  }

  #listDuties(): DutyStatus[] {
    const held = [this.#usage.keeper, ...this.#scaling.keepers].flatMap(({ duty, lease }) =>
      isSome(lease) ? [{ duty, fencing: lease.value.fencing }] : [],
    );
    return [...held, ...this.#trainers.duties];
  }

  #setEntries(entries: readonly ListedInstance[]): void {
    const live = entries.filter((entry) => entry.state === 'live');
    this.#candidates = live.map((entry) => entry.id);
    this.#owners.setAddresses(new Map(live.map((entry) => [entry.id, entry.address])));
    this.#exchange.setEntries(entries);
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
    this.#pool.peers.forEach((peer) => this.#sync.answer(peer, peer.hello?.configVersion ?? -1));
  }

  #noteLoad(peer: AgentPeer): void {
    if (peer.target === undefined) return;
    const { queued, served } = peer.load;
    this.#waits.takeReport(peer.target, { queued, served, atMono: this.#clock.mono() });
  }

  // Refusals must stay cheap: under a flood the estimate serves many requests.
  #estimateWait(service: ServiceId): Millis {
    const now = this.#clock.mono();
    const known = this.#estimates.get(service);
    if (known !== undefined && now - known.at < ESTIMATE_MS) return known.waitMs;
    const waitMs = this.#waits.estimate(this.#pool.targets(service));
    this.#estimates.set(service, { at: now, waitMs });
    return waitMs;
  }

  #noteSilence(peer: AgentPeer): void {
    if (peer.service === undefined || peer.target === undefined) return;
    this.#pool.ejector(peer.service).recordOutcome(peer.target, 'silent');
  }
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
