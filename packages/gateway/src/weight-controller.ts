/** Brings named weight versions to the engines, for as long as this process has the duty. */
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

import type { ConfigBook } from './config-tracker';
import type { EngineControl } from './control-port';
import type { TargetEntry } from './target-directory';
import type { EngineWork } from './run-tracker';
import type { Engines } from './engine-tracker';
import type { ModelId, ServingService } from './serving-config';
import type { SubmissionBook } from './submission';
import type { ModelState, WeightChange, WeightPlanner, WeightView } from './weight-planner';
import type { WorkRunner } from './submission-runner';

// A change of weights takes about a second, more while many engines load.
const FIRST_LOOK_MS = 920;
const LOOK_MS = 80;
// An order that isn't seen to be carried out by then is given again; a load on a slow engine or
// behind running streams may take this long.
const LOADING_MS = 6_000;
// After an order that went wrong, the engine is left alone this long.
const PAUSE_MS = 400;

/** What the duty needs. */
export interface WeightDutyOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly config: ConfigBook;
  readonly book: SubmissionBook;
  readonly engines: Engines;
  readonly runner: WorkRunner;
  readonly control: EngineControl;
  readonly sender: FencedSender;
  readonly holder: InstanceId;
  readonly planner: WeightPlanner;
}

/** Orders the changes that the planner wants and follows each until it is done. */
export class WeightDuty {
  readonly #options: WeightDutyOptions;

  readonly #changing = new Set<string>();

  /** @param options - the engines, the planner and the right to give orders */
  constructor(options: WeightDutyOptions) {
    this.#options = options;
  }

  /** Orders what is due now. */
  work(): void {
    const { config, planner } = this.#options;
    config.view?.services
      .filter((service) => service.models.length > 0)
      .forEach((service) => {
        const states = service.models.map((model) => this.#read(service, model));
        planner.plan(states).forEach((change) => this.#start(service, change));
      });
  }

  #read(service: ServingService, model: ModelId): ModelState {
    const { config, engines, runner } = this.#options;
    const named = config.versionOf(model);
    return {
      model,
      named,
      least: this.#leastOf(model, named),
      waiting: runner.waitingOf(model),
      mayMix: !config.view?.routes.some((route) => route.isSingleVersion),
      engines: engines.list(service.name).map((engine) => ({
        engine: engine.id,
        version: engines.versionOf(engine, model),
        isLoading:
          engines.isLoading(engine, model) || this.#changing.has(changeKey(engine.id, model)),
        ...readWork(runner.workAt(engine, model)),
      })),
    };
  }

  // The next step is asked once the named version is known, and allows the one before it.
  #leastOf(model: ModelId, named: WeightVersion): WeightVersion {
    const open = this.#options.book
      .listOpen()
      .filter(({ terms }) => terms.model === model)
      .map(({ terms }) => terms.leastVersion);
    return Math.max(1, ...open, named - 1) as WeightVersion;
  }

  #start(service: ServingService, change: WeightChange): void {
    const engine = this.#options.engines.list(service.name).find((one) => one.id === change.engine);
    const key = changeKey(change.engine, change.model);
    if (!engine || this.#changing.has(key)) return;
    this.#changing.add(key);
    void this.#change(engine, change).finally(() => this.#changing.delete(key));
  }

  async #change(engine: TargetEntry, change: WeightChange): Promise<void> {
    const { clock, engines, control, runner, logger, metrics } = this.#options;
    const report = await control.report(engine);
    if (report.isErr() || report.value.isBusy) {
      await clock.sleep(PAUSE_MS);
      return;
    }
    const { model, version, mode } = change;
    this.#learn(engine, report.value.versions);
    if ((report.value.versions.get(model) ?? 0) >= version) return;
    engines.startLoading(engine, model, LOADING_MS);
    if (change.movesStreams) runner.moveAway(engine.id, model);
    const verdict = await this.#send(engine, { model, version, mode, after: report.value.orders });
    metrics.count(`weights.order.${verdict}`);
    logger.info('Ordered a weight version.', { target: engine.id, model, version, mode, verdict });
    if (verdict === 'accepted' || verdict === 'unknown') await this.#follow(engine, change);
    engines.endLoading(engine, model);
    if (verdict !== 'accepted' && verdict !== 'holds') await clock.sleep(PAUSE_MS);
  }

  async #send(engine: TargetEntry, order: Parameters<EngineControl['order']>[1]): Promise<string> {
    const { control, sender, holder } = this.#options;
    const result = await sender.send((fencing, guard) =>
      control.order(engine, order, { holder, fencing }, guard),
    );
    if (result.isOk()) return result.value;
    return result.error.run === 'may-have-run' ? 'unknown' : 'not-sent';
  }

  /** Looks at the engine until it serves the version, or gives up believing that it will. */
  async #follow(engine: TargetEntry, { model, version }: WeightChange): Promise<void> {
    const { clock, engines, control } = this.#options;
    let waitMs: Millis = FIRST_LOOK_MS;
    while (engines.isLoading(engine, model)) {
      await clock.sleep(waitMs);
      waitMs = LOOK_MS;
      const report = await control.report(engine);
      if (report.isErr()) continue;
      this.#learn(engine, report.value.versions);
      if ((report.value.versions.get(model) ?? 0) >= version && !report.value.isBusy) return;
      const { isBusy } = report.value;
      // Neither done nor being done: the order was lost.
      if (!isBusy) return;
    }
  }

  #learn(engine: TargetEntry, versions: ReadonlyMap<ModelId, WeightVersion>): void {
    versions.forEach((version, model) =>
      this.#options.engines.learnVersion(engine, model, version),
    );
    this.#options.runner.schedule();
  }
}

function readWork({
  runningOfModel,
  canMove,
  isPoor,
}: EngineWork): Pick<WeightView, 'running' | 'canMove' | 'isPoor'> {
  return { running: runningOfModel, canMove, isPoor };
}

function changeKey(engine: TargetId, model: ModelId): string {
  return `${engine} ${model}`;
}
