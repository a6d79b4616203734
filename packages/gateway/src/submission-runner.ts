/** Runs the items of all open submissions; only the holder of the control duty does. */
import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  ServiceId,
  TargetId,
  WallTime,
} from '@hibiscushill/base';

import type { ItemSpec } from './caller-port';
import type { ConfigTracker } from './config-tracker';
import type { TargetRegistration } from './target-directory';
import { RunTracker, type EngineRunSummary } from './run-tracker';
import type { EngineTracker } from './engine-tracker';
import type { ItemLoader } from './item-loader';
import { ItemPlacer, type ItemStart } from './item-placer';
import { ItemRoutes } from './item-routes';
import { ItemRun, type RunOutcome, createItemCall } from './item-run';
import { ItemTask } from './item-task';
import type { PlacementPolicy } from './placement';
import type { ProgressStore } from './progress-store';
import type { ResultWriter } from './result-writer';
import type { RewardCaller } from './reward-caller';
import type { ModelId, ServingRoute } from './serving-config';
import {
  type ItemId,
  type Submission,
  type SubmissionChange,
  type SubmissionRegistry,
  formatItemId,
} from './submission';
import type { TargetLimiter } from './target-limiter';
import type { TargetClient } from './target-port';
import { PartialOutputCache } from './partial-output-cache';
import type { HandoverPayload } from './submission-records';
import type { ItemOrder } from './item-order';

// How often runs are checked for time-outs, and delayed items for their start.
const TICK_INTERVAL_MS = 50;
// How long an item waits after an engine refused it, so that the engine isn't asked again at once.
const REFUSED_DELAY_MS = 60;
// How long to wait before items that couldn't be loaded are loaded again.
const LOAD_RETRY_DELAY_MS = 150;

/** Why an item is abandoned without a complete output; part of metric names and log fields. */
type AbandonReason = 'route-withdrawn' | 'impossible' | 'run-errors' | 'scoring-errors';

/** The submissions, the engines, the policies, and where results go. */
export interface SubmissionRunnerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly config: ConfigTracker;
  readonly submissions: SubmissionRegistry;
  readonly itemLoader: ItemLoader;
  readonly engineTracker: EngineTracker;
  readonly client: TargetClient;
  readonly limiter: TargetLimiter;
  readonly rewards: RewardCaller;
  readonly writer: ResultWriter;
  readonly progress: ProgressStore;
  readonly placement: PlacementPolicy;
  readonly order: ItemOrder;
}

/** Places waiting items on engines, follows their runs and writes their results. */
export class SubmissionRunner {
  readonly #options: SubmissionRunnerOptions;

  readonly #tasks = new Map<string, ItemTask>();

  readonly #waiting = new Set<ItemTask>();

  readonly #runTracker: RunTracker;

  readonly #placer: ItemPlacer;

  readonly #routes: ItemRoutes;

  /** Outputs of items whose submission was ended, and those that a previous holder saved. */
  readonly #partialOutputs = new PartialOutputCache();

  #outputsRecovered: Promise<void> = Promise.resolve();

  readonly #idleListeners = new Set<() => void>();

  #isActive = false;

  #isDraining = false;

  #isScheduled = false;

  #timer: NodeJS.Timeout | undefined;

  /** @param options - the submissions, the engines and the policies */
  constructor(options: SubmissionRunnerOptions) {
    this.#options = options;
    this.#runTracker = new RunTracker(options.engineTracker, options.config, options.limiter);
    this.#placer = new ItemPlacer({
      ...options,
      runTracker: this.#runTracker,
      start: (start) => this.#startItem(start),
      isWaiting: (task) => this.#waiting.has(task),
    });
    this.#routes = new ItemRoutes(options.config);
    options.submissions.onChanged((change) => this.#onChange(change));
    options.config.onChanged(() => this.#onConfigChanged());
  }

  get isActive(): boolean {
    return this.#isActive;
  }

  /** Counts the items of a model that wait for an engine. */
  countWaiting(model: ModelId): number {
    return [...this.#waiting].filter((task) => task.model === model).length;
  }

  /** Counts the items that wait for an engine of a service. */
  countWaitingAt(service: ServiceId): number {
    const { services } = this.#runTracker;
    return [...this.#waiting].filter((task) => services.find(task) === service).length;
  }

  /** How many items wait or run. */
  get openItems(): number {
    return this.#tasks.size;
  }

  /** Summarizes a model's runs at each usable engine of a service. */
  summarizeRuns(service: ServiceId, model: ModelId): ReadonlyMap<TargetId, EngineRunSummary> {
    return this.#runTracker.summarizeRuns(service, model);
  }

  /** Counts a model's runs at an engine. */
  countRuns(engine: TargetId, model: ModelId): number {
    return this.#runTracker.listRuns(engine, model).length;
  }

  /** Whether all of a model's runs at an engine can go on at other engines now. */
  canMoveRuns(engine: TargetRegistration, model: ModelId): boolean {
    const waiting = [...this.#waiting].filter((task) => task.hasOutput && task.model === model);
    return this.#runTracker.canMoveRuns(engine, model, waiting);
  }

  /** Ends a model's runs at an engine; their items go on elsewhere from the last event. */
  moveRuns(engine: TargetId, model: ModelId): void {
    this.#runTracker.listRuns(engine, model).forEach((run) => run.cancel());
  }

  /** Starts to run the items of all open submissions. */
  start(): void {
    if (this.#isActive) return;
    this.#isActive = true;
    this.#isDraining = false;
    this.#outputsRecovered = this.#recoverOutputs();
    const open = this.#options.submissions.listOpen();
    open.forEach((submission) => {
      void this.#addSubmission(submission);
    });
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    this.#options.logger.info('Started running submissions.', {
      open: open.length,
      ...this.#describeConfig(),
    });
    this.schedule();
  }

  /** Ends all runs; called when another process holds the duty, and at shutdown. */
  stop(): void {
    if (!this.#isActive) return;
    this.#isActive = false;
    clearInterval(this.#timer);
    [...this.#tasks.values()].forEach((task) => this.#removeTask(task));
    this.#options.logger.info('Stopped running submissions.');
  }

  /**
   * Starts no further runs; those in progress go on.
   *
   * @param until - when they will have ended
   * @returns the items that are running, for the next holder
   */
  drain(until: WallTime): HandoverPayload {
    this.#isDraining = true;
    const items = [...this.#tasks.values()]
      .filter((task) => !this.#waiting.has(task))
      .map((task) => ({ submission: task.submission.terms.id, item: task.spec.id }));
    return { until, items };
  }

  /** Resolves when no item is running, or after a time. */
  async waitUntilIdle(maxMs: Millis): Promise<void> {
    const stop = new AbortController();
    const idle = new Promise<void>((resolve) => {
      this.#idleListeners.add(resolve);
      this.#notifyIfIdle();
    });
    await Promise.race([idle, this.#options.clock.sleep(maxMs, stop.signal)]);
    stop.abort();
  }

  /** Schedules one placement of waiting items after the current turn of the event loop. */
  schedule(): void {
    if (this.#isScheduled || !this.#isActive) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#placeItems();
    });
  }

  #onChange(change: SubmissionChange): void {
    if (change.type === 'removed') {
      const { order, placement } = this.#options;
      order.removeSubmission(change.submission).forEach((group) => placement.forgetGroup(group));
      return;
    }
    if (!this.#isActive) return;
    if (change.type === 'accepted') void this.#addSubmission(change.submission);
    if (change.type === 'ended') this.#endSubmission(change.submission);
    if (change.type === 'result-added') this.#removeItem(change.submission, change.item);
    this.schedule();
  }

  async #recoverOutputs(): Promise<void> {
    const outputs = await this.#options.progress.recover();
    outputs.forEach((output, item) => this.#partialOutputs.put(item, output));
  }

  async #addSubmission(submission: Submission): Promise<void> {
    const { clock, itemLoader, order, logger } = this.#options;
    while (this.#isActive && submission.isOpen) {
      const [loaded] = await Promise.all([itemLoader.load(submission), this.#outputsRecovered]);
      if (loaded.isOk()) {
        if (!this.#isActive || !submission.isOpen) return;
        order.addSubmission(submission, loaded.value);
        loaded.value
          .filter((item) => !submission.hasResult(item.id))
          .forEach((item) => this.#addItem(submission, item));
        this.schedule();
        return;
      }
      const { id } = submission.terms;
      logger.warn('The items of a submission could not be loaded.', {
        id,
        detail: loaded.error.detail,
      });
      await clock.sleep(LOAD_RETRY_DELAY_MS);
    }
  }

  #addItem(submission: Submission, spec: ItemSpec): void {
    const key = createTaskKey(submission, spec.id);
    if (this.#tasks.has(key)) return;
    const task = new ItemTask(submission, spec, this.#options.clock.mono());
    const output = this.#partialOutputs.take(task.fingerprint);
    if (output) task.resumeFrom(output);
    const handoverMs = submission.handoverDeadline(spec.id) - this.#options.clock.wall();
    if (handoverMs > 0) task.delayStart(this.#options.clock, handoverMs);
    this.#tasks.set(key, task);
    this.#waiting.add(task);
  }

  #endSubmission(submission: Submission): void {
    [...this.#tasks.values()]
      .filter((task) => task.submission === submission)
      .forEach((task) => {
        if (task.hasOutput) this.#partialOutputs.put(task.fingerprint, task.output);
        this.#removeTask(task);
      });
  }

  #removeItem(submission: Submission, item: ItemId): void {
    const task = this.#tasks.get(createTaskKey(submission, item));
    if (task) this.#removeTask(task);
  }

  #removeTask(task: ItemTask): void {
    task.stop();
    this.#tasks.delete(createTaskKey(task.submission, task.spec.id));
    this.#waiting.delete(task);
    this.#runTracker.listRunsOf(task).forEach((run) => run.cancel());
    this.#notifyIfIdle();
  }

  #tick(): void {
    this.#options.progress.save([...this.#tasks.values()]);
    this.#runTracker.runs.filter((run) => run.isSilent).forEach((run) => run.timeOut());
    if (this.#waiting.size === 0) this.#runTracker.listMovableRuns().forEach((run) => run.cancel());
    if (this.#waiting.size > 0) this.schedule();
  }

  #placeItems(): void {
    if (!this.#isActive || this.#isDraining || this.#waiting.size === 0) return;
    const now = this.#options.clock.mono();
    this.#runTracker.services.refresh();
    this.#placer.place(
      [...this.#waiting].filter((task) => task.isReady(now) && this.#applyRoute(task)),
    );
  }

  /**
   * Applies the route of an item that waits; abandons the item if its route was withdrawn.
   *
   * @returns whether it has a route by which it may run
   */
  #applyRoute(task: ItemTask): boolean {
    const found = this.#routes.find(task);
    if (found.type === 'found') task.setSingleVersion(found.route.isSingleVersion);
    if (found.type === 'withdrawn') this.#abandon(task, 'route-withdrawn');
    return found.type === 'found';
  }

  /** Applies the current routes to running items. */
  #onConfigChanged(): void {
    new Set(this.#runTracker.runs.map((run) => run.task)).forEach((task) => {
      const route = this.#runTracker.services.findRoute(task);
      if (!route || task.setSingleVersion(route.isSingleVersion)) return;
      this.#runTracker.listRunsOf(task).forEach((run) => run.cancel());
    });
    this.schedule();
  }

  #startItem({ task, engine, beginsAgain }: ItemStart): void {
    const route = this.#runTracker.services.findRoute(task);
    if (!route) return;
    if (beginsAgain) this.#beginAgain(task, engine);
    if (task.service !== undefined && task.service !== engine.service) {
      this.#reportServiceChange(task, engine);
    }
    this.#startRun(task, engine, route);
  }

  #reportServiceChange(task: ItemTask, { id: target, service }: TargetRegistration): void {
    const { logger, metrics, clock } = this.#options;
    metrics.count('item.service_changed');
    logger.info('An item goes on at another service of its route.', {
      id: formatItemId(task.submission.terms.id, task.spec.id),
      target,
      service,
      earlierService: task.service,
      events: task.output.events.length,
      waitedMs: Math.round(task.countWaitMs(clock.mono())),
    });
  }

  /** Discards the output of an item that no engine of its versions can run in time. */
  #beginAgain(task: ItemTask, engine: TargetRegistration): void {
    const { logger, metrics, clock } = this.#options;
    metrics.count('item.begun_again');
    logger.info('An item begins again, since no engine could go on with its output in time.', {
      id: formatItemId(task.submission.terms.id, task.spec.id),
      target: engine.id,
      software: engine.software,
      earlierSoftware: task.output.software,
      earlierVersions: task.output.versions.join(),
      events: task.output.events.length,
      waitedMs: Math.round(task.countWaitMs(clock.mono())),
    });
    task.restart();
  }

  #startRun(task: ItemTask, engine: TargetRegistration, route: ServingRoute): void {
    const { model } = task;
    const { clock, client, engineTracker, limiter, logger, metrics } = this.#options;
    if (!limiter.take(engine, 'item')) return;
    this.#waiting.delete(task);
    task.startRun(engine.service);
    metrics.count('item.started');
    limiter.recordDemand(engine.service);
    const run = new ItemRun({
      clock,
      client,
      engineTracker,
      logger,
      engine,
      model,
      task,
      call: createItemCall(task, engine, engineTracker.versionOf(engine, model)),
      onEnd: (ended, outcome) => this.#onRunEnd(ended, outcome, route),
    });
    this.#runTracker.add(run);
  }

  #onRunEnd(run: ItemRun, outcome: RunOutcome, route: ServingRoute): void {
    const { task, engine } = run;
    this.#runTracker.remove(run);
    this.#options.metrics.count(`run.${outcome}`);
    this.schedule();
    if (task.isStopped) return;
    if (outcome === 'complete') {
      void this.#requestScore(task);
      return;
    }
    if (outcome === 'server-error') task.countServerError(engine.id);
    if (outcome === 'impossible' || task.hasExhaustedErrors(route.maxRuns)) {
      this.#abandon(task, outcome === 'impossible' ? 'impossible' : 'run-errors');
      return;
    }
    if (outcome === 'refused' || outcome === 'wrong-version') {
      task.delayStart(this.#options.clock, REFUSED_DELAY_MS);
    } else {
      task.avoidedEngines.add(engine.id);
    }
    task.startWaiting(this.#options.clock.mono());
    this.#waiting.add(task);
  }

  async #requestScore(task: ItemTask): Promise<void> {
    const { reward } = task.spec;
    if (!reward) {
      this.#finish(task, 'complete');
      return;
    }
    const outcome = await this.#options.rewards.call(task, reward);
    if (outcome.type === 'scored') this.#finish(task, 'complete', outcome.receipt);
    if (outcome.type === 'failed') this.#abandon(task, 'scoring-errors');
  }

  #abandon(task: ItemTask, reason: AbandonReason): void {
    if (task.isStopped) return;
    const { logger, metrics } = this.#options;
    metrics.count(`item.abandoned.${reason}`);
    logger.info('An item was abandoned.', {
      id: formatItemId(task.submission.terms.id, task.spec.id),
      reason,
      serverErrors: task.serverErrors,
      scoringErrors: task.rewardErrors,
      ...this.#describeConfig(),
    });
    this.#finish(task, 'dead');
  }

  #finish(task: ItemTask, state: 'complete' | 'dead', score?: string): void {
    if (task.isStopped) return;
    const { events, versions } = task.output;
    this.#options.metrics.count(`item.${state}`);
    this.#options.writer.add(task.submission.terms.id, {
      item: task.spec.id,
      state,
      output: state === 'complete' ? events.join('\n') : '',
      versions: state === 'complete' ? versions : [],
      score,
    });
    this.#removeTask(task);
  }

  /** Which configuration is in use, and how long ago it was confirmed, for log lines. */
  #describeConfig(): { configVersion: number | undefined; configProofAgeMs: Millis } {
    const { config } = this.#options;
    return {
      configVersion: config.current?.version,
      configProofAgeMs: Math.round(config.proofAgeMs),
    };
  }

  #notifyIfIdle(): void {
    if (this.#idleListeners.size === 0) return;
    const running = [...this.#tasks.values()].some((task) => !this.#waiting.has(task));
    if (running) return;
    this.#idleListeners.forEach((resolve) => resolve());
    this.#idleListeners.clear();
  }
}

function createTaskKey(submission: Submission, item: ItemId): string {
  return `${submission.terms.id} ${item}`;
}
