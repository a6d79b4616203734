/** Loads published weight versions into the engines, while this process holds the control duty. */
import type {
  Clock,
  InstanceId,
  Logger,
  Metrics,
  Millis,
  TargetId,
  WeightVersion,
} from '@hibiscushill/base';
import type { FencedSender } from '@hibiscushill/control';

import type { ConfigTracker } from './config-tracker';
import type { EngineControl } from './control-port';
import type { TargetRegistration } from './target-directory';
import type { TargetLimiter } from './target-limiter';
import type { EngineRunSummary } from './run-tracker';
import type { EngineTracker } from './engine-tracker';
import type { ModelId, ServingService } from './serving-config';
import type { SubmissionRegistry } from './submission';
import type { ModelState, WeightChange, WeightPlanner } from './weight-planner';
import type { SubmissionRunner } from './submission-runner';

// A change of weights takes about a second, and longer while many engines load.
const FIRST_POLL_DELAY_MS = 920;
const POLL_INTERVAL_MS = 80;
const MAX_POLL_INTERVAL_MS = 1_000;
// After this an order counts as lost and is given again; a load on a slow engine or behind running
// streams may take this long.
const LOADING_TIMEOUT_MS = 6_000;
// How long to wait after a failed order before the engine gets another one.
const FAILURE_DELAY_MS = 400;

const NO_RUNS: EngineRunSummary = { running: 0, canMoveRuns: true, isDegraded: false };

/** The engines, the planner, and the sender that fences orders by the holder's claim. */
export interface WeightControllerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly config: ConfigTracker;
  readonly submissions: SubmissionRegistry;
  readonly engineTracker: EngineTracker;
  readonly runner: SubmissionRunner;
  readonly engineControl: EngineControl;
  readonly limiter: TargetLimiter;
  readonly sender: FencedSender;
  readonly holder: InstanceId;
  readonly planner: WeightPlanner;
}

/** Orders the planned changes and follows each until the engine has carried it out. */
export class WeightController {
  readonly #options: WeightControllerOptions;

  readonly #changesInProgress = new Set<string>();

  /** @param options - the engines, the planner and the sender of orders */
  constructor(options: WeightControllerOptions) {
    this.#options = options;
  }

  /** Starts the changes that are planned now; called repeatedly. */
  reconcile(): void {
    const { config, planner } = this.#options;
    config.current?.services
      .filter((service) => service.models.length > 0)
      .forEach((service) => {
        const states = service.models.map((model) => this.#createModelState(service, model));
        planner.plan(states).forEach((change) => this.#startChange(service, change));
      });
  }

  #createModelState(service: ServingService, model: ModelId): ModelState {
    const { config, engineTracker, runner } = this.#options;
    const publishedVersion = config.publishedVersionOf(model);
    const summaries = runner.summarizeRuns(service.name, model);
    return {
      model,
      publishedVersion,
      leastVersion: this.#findLeastVersion(model, publishedVersion),
      waitingItems: runner.countWaiting(model),
      allowsMixedVersions: !config.current?.routes.some((route) => route.isSingleVersion),
      engines: engineTracker.listUsable(service.name).map((engine) => ({
        id: engine.id,
        version: engineTracker.versionOf(engine, model),
        isLoading:
          engineTracker.isLoading(engine, model) ||
          this.#changesInProgress.has(createChangeKey(engine.id, model)),
        ...(summaries.get(engine.id) ?? NO_RUNS),
      })),
    };
  }

  // A trainer submits its next step once a version is published, and allows the version before it.
  #findLeastVersion(model: ModelId, publishedVersion: WeightVersion): WeightVersion {
    const open = this.#options.submissions
      .listOpen()
      .filter(({ terms }) => terms.model === model)
      .map(({ terms }) => terms.leastVersion);
    return Math.max(1, ...open, publishedVersion - 1) as WeightVersion;
  }

  #startChange(service: ServingService, change: WeightChange): void {
    const engine = this.#options.engineTracker
      .listUsable(service.name)
      .find((one) => one.id === change.engine);
    const key = createChangeKey(change.engine, change.model);
    if (!engine || this.#changesInProgress.has(key)) return;
    if (this.#options.limiter.countAvailable(engine) === 0) return;
    this.#changesInProgress.add(key);
    void this.#applyChange(engine, change).finally(() => this.#changesInProgress.delete(key));
  }

  async #applyChange(engine: TargetRegistration, change: WeightChange): Promise<void> {
    const { clock, engineTracker, logger, metrics } = this.#options;
    const { model, version, mode } = change;
    const after = await this.#findAcceptedOrders(engine);
    if (after === undefined) {
      await clock.sleep(FAILURE_DELAY_MS);
      return;
    }
    if (engineTracker.versionOf(engine, model) >= version) return;
    if (!engineTracker.isUsable(engine)) return;
    if (!this.#moveRuns(engine, change)) return;
    engineTracker.markLoading(engine, model, LOADING_TIMEOUT_MS);
    const outcome = await this.#sendOrder(engine, { model, version, mode, after });
    engineTracker.recordOrders(engine, outcome === 'accepted' ? after + 1 : undefined);
    metrics.count(`weights.order.${outcome}`);
    logger.info('A weight order was attempted.', {
      target: engine.id,
      model,
      version,
      mode,
      verdict: outcome,
    });
    if (outcome === 'accepted' || outcome === 'unknown')
      await this.#waitUntilLoaded(engine, change);
    engineTracker.clearLoading(engine, model);
    if (outcome !== 'accepted' && outcome !== 'holds') await clock.sleep(FAILURE_DELAY_MS);
  }

  /**
   * Moves an engine's runs to others. The change was planned before the engine reported; since then
   * other changes may have moved runs to it or taken away the engines to which its runs could move.
   *
   * @returns whether the weights can be changed as planned
   */
  #moveRuns(engine: TargetRegistration, { model, version, keepsRuns }: WeightChange): boolean {
    const { runner, logger, metrics } = this.#options;
    const running = runner.countRuns(engine.id, model);
    if (running === 0 || keepsRuns) return true;
    if (runner.canMoveRuns(engine, model)) {
      runner.moveRuns(engine.id, model);
      return true;
    }
    metrics.count('weights.order.postponed');
    logger.info('A weight order was postponed, since runs of the engine can go on only there.', {
      target: engine.id,
      model,
      version,
      running,
    });
    return false;
  }

  /**
   * Finds how many orders an engine has accepted, by a report unless the engine limits its requests
   * and the number is known. An engine rejects an order that states a wrong number.
   *
   * @returns the number; undefined if the engine can't take an order now
   */
  async #findAcceptedOrders(engine: TargetRegistration): Promise<number | undefined> {
    const { engineTracker, limiter } = this.#options;
    const known = engineTracker.ordersOf(engine);
    if (known !== undefined && limiter.limitOf(engine) !== undefined) return known;
    const report = await this.#requestReport(engine);
    if (report.isErr() || report.value.isBusy) return undefined;
    this.#recordVersions(engine, report.value.versions);
    return report.value.orders;
  }

  #requestReport(engine: TargetRegistration): ReturnType<EngineControl['report']> {
    this.#options.limiter.charge(engine, 'report');
    return this.#options.engineControl.report(engine);
  }

  async #sendOrder(
    engine: TargetRegistration,
    order: Parameters<EngineControl['order']>[1],
  ): Promise<string> {
    const { engineControl, engineTracker, limiter, sender, holder } = this.#options;
    const result = await sender.send((fencing, guard) => {
      limiter.charge(engine, 'order');
      // The connection opens first, and its zone may be evacuated meanwhile.
      const mayWrite = (): boolean => guard.mayWrite() && !engineTracker.isEvacuated(engine);
      return engineControl.order(engine, order, { holder, fencing }, { ...guard, mayWrite });
    });
    if (result.isOk()) return result.value;
    return result.error.run === 'may-have-run' ? 'unknown' : 'not-sent';
  }

  /**
   * Polls the engine until it serves the version, has lost the order, its zone is evacuated, or the
   * time-out has passed.
   */
  async #waitUntilLoaded(
    engine: TargetRegistration,
    { model, version }: WeightChange,
  ): Promise<void> {
    const { clock, engineTracker } = this.#options;
    let waitMs: Millis = FIRST_POLL_DELAY_MS;
    while (engineTracker.isLoading(engine, model)) {
      await clock.sleep(waitMs);
      waitMs = this.#findPollDelay(engine);
      // The outcome is read from the engine's first report after the evacuation.
      if (engineTracker.isEvacuated(engine)) return;
      const report = await this.#requestReport(engine);
      if (report.isErr()) continue;
      this.#recordVersions(engine, report.value.versions);
      if ((report.value.versions.get(model) ?? 0) >= version && !report.value.isBusy) return;
      const { isBusy } = report.value;
      // The engine neither has the version nor is loading, so that the order was lost.
      if (!isBusy) return;
    }
  }

  /** An engine that limits its requests is asked no more often than these may be sent. */
  #findPollDelay(engine: TargetRegistration): Millis {
    const turnMs = this.#options.limiter.findWait(engine, MAX_POLL_INTERVAL_MS);
    return Math.max(POLL_INTERVAL_MS, turnMs ?? MAX_POLL_INTERVAL_MS);
  }

  #recordVersions(engine: TargetRegistration, versions: ReadonlyMap<ModelId, WeightVersion>): void {
    versions.forEach((version, model) =>
      this.#options.engineTracker.recordVersion(engine, model, version),
    );
    this.#options.runner.schedule();
  }
}

function createChangeKey(engine: TargetId, model: ModelId): string {
  return `${engine} ${model}`;
}
