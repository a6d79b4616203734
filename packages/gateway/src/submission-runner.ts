/** Runs the items of all open submissions, at one process at a time. */
import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  RequestId,
  TargetId,
  WallTime,
} from '@hibiscushill/base';

import type { ItemSpec } from './caller-port';
import type { ConfigBook } from './config-tracker';
import type { TargetEntry } from './target-directory';
import { EngineBoard, type EngineWork } from './run-tracker';
import type { Engines } from './engine-tracker';
import type { ItemStore } from './item-loader';
import { ItemRun, type RunOutcome } from './item-run';
import { ItemTask } from './item-task';
import type { PlacementPolicy } from './placement';
import type { ProgressStore } from './progress-store';
import type { ResultWriter } from './result-writer';
import type { RewardCaller } from './reward-caller';
import type { ModelId, ServingRoute } from './serving-config';
import type { BookChange, ItemId, Submission, SubmissionBook } from './submission';
import type { TargetClient } from './target-port';
import { TextShelf } from './partial-output-cache';
import type { HandoverNote } from './submission-records';
import type { WorkOrder } from './item-order';

// How often silent streams and items held back are looked at.
const TICK_MS = 50;
// A stream may not take longer than this; its item then goes on in another one.
const RUN_DEADLINE_MS = 10_000;
// An item that an engine refused waits this long, so that the engine isn't asked at once again.
const REFUSED_PAUSE_MS = 60;
// Items that could not be read are asked for again after this.
const LOAD_RETRY_MS = 150;

/** What a runner needs. */
export interface WorkRunnerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly config: ConfigBook;
  readonly book: SubmissionBook;
  readonly items: ItemStore;
  readonly engines: Engines;
  readonly client: TargetClient;
  readonly rewards: RewardCaller;
  readonly writer: ResultWriter;
  readonly progress: ProgressStore;
  readonly placement: PlacementPolicy;
  readonly order: WorkOrder;
}

/** Places waiting items, follows their streams and writes their results. */
export class WorkRunner {
  readonly #options: WorkRunnerOptions;

  readonly #tasks = new Map<string, ItemTask>();

  readonly #waiting = new Set<ItemTask>();

  readonly #board: EngineBoard;

  /** Texts of ended submissions, and of a predecessor's items. */
  readonly #shelf = new TextShelf();

  #recovered: Promise<void> = Promise.resolve();

  readonly #idle = new Set<() => void>();

  #isActive = false;

  #isDraining = false;

  #isScheduled = false;

  #timer: NodeJS.Timeout | undefined;

  /** @param options - the submissions, the engines and the decisions */
  constructor(options: WorkRunnerOptions) {
    this.#options = options;
    this.#board = new EngineBoard(options.engines, options.config);
    options.book.onChanged((change) => this.#onChange(change));
  }

  get isActive(): boolean {
    return this.#isActive;
  }

  /** Items of a model that wait for an engine. */
  waitingOf(model: ModelId): number {
    return [...this.#waiting].filter((task) => readModel(task) === model).length;
  }

  /** Items that wait or run. */
  get openItems(): number {
    return this.#tasks.size;
  }

  /** Describes a model's streams at an engine. */
  workAt(engine: TargetEntry, model: ModelId): EngineWork {
    return this.#board.workAt(engine, model);
  }

  /** Moves a model's streams from an engine to others; they go on where they stopped. */
  moveAway(engine: TargetId, model: ModelId): void {
    this.#board.runsOf(engine, model).forEach((run) => run.cancel());
  }

  /** Starts to run all open items. */
  start(): void {
    if (this.#isActive) return;
    this.#isActive = true;
    this.#isDraining = false;
    this.#recovered = this.#recover();
    const open = this.#options.book.listOpen();
    open.forEach((submission) => {
      void this.#add(submission);
    });
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    this.#options.logger.info('Runs submissions.', { open: open.length });
    this.schedule();
  }

  /** Stops; another process has taken over. */
  stop(): void {
    if (!this.#isActive) return;
    this.#isActive = false;
    clearInterval(this.#timer);
    [...this.#tasks.values()].forEach((task) => this.#drop(task));
    this.#options.logger.info('No longer runs submissions.');
  }

  /**
   * Starts no further items.
   *
   * @param until - until when running ones may go on
   * @returns what runs, for the successor
   */
  drain(until: WallTime): HandoverNote {
    this.#isDraining = true;
    const items = [...this.#tasks.values()]
      .filter((task) => !this.#waiting.has(task))
      .map((task) => ({ submission: task.submission.terms.id, item: task.spec.id }));
    return { until, items };
  }

  /** Resolves when nothing runs any more, or after a time. */
  async settle(mostMs: Millis): Promise<void> {
    const stop = new AbortController();
    const idle = new Promise<void>((resolve) => {
      this.#idle.add(resolve);
      this.#noticeIdle();
    });
    await Promise.race([idle, this.#options.clock.sleep(mostMs, stop.signal)]);
    stop.abort();
  }

  /** Places waiting items soon; several calls in one turn of the event loop count once. */
  schedule(): void {
    if (this.#isScheduled || !this.#isActive) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#place();
    });
  }

  #onChange(change: BookChange): void {
    if (!this.#isActive) return;
    if (change.type === 'accepted') void this.#add(change.submission);
    if (change.type === 'ended') this.#end(change.submission);
    if (change.type === 'listed') this.#dropItem(change.submission, change.item);
    this.schedule();
  }

  async #recover(): Promise<void> {
    const texts = await this.#options.progress.recover();
    texts.forEach((text, work) => this.#shelf.put(work, text));
  }

  async #add(submission: Submission): Promise<void> {
    const { clock, items, order, logger } = this.#options;
    while (this.#isActive && submission.isOpen) {
      const [loaded] = await Promise.all([items.load(submission), this.#recovered]);
      if (loaded.isOk()) {
        if (!this.#isActive || !submission.isOpen) return;
        const route = this.#findRoute(submission);
        order.note(submission, loaded.value);
        loaded.value
          .filter((item) => !submission.isListed(item.id))
          .forEach((item) => this.#addItem(submission, item, route));
        this.schedule();
        return;
      }
      const { id } = submission.terms;
      logger.warn('Items could not be read.', { id, detail: loaded.error.detail });
      await clock.sleep(LOAD_RETRY_MS);
    }
  }

  #addItem(submission: Submission, spec: ItemSpec, route: ServingRoute | undefined): void {
    const key = taskKey(submission, spec.id);
    if (this.#tasks.has(key)) return;
    const task = new ItemTask(submission, spec, route?.isSingleVersion ?? false);
    const text = this.#shelf.take(task.fingerprint);
    if (text) task.adopt(text);
    const heldMs = submission.heldUntil(spec.id) - this.#options.clock.wall();
    if (heldMs > 0) task.holdUntil(this.#options.clock, heldMs);
    this.#tasks.set(key, task);
    this.#waiting.add(task);
  }

  #end(submission: Submission): void {
    [...this.#tasks.values()]
      .filter((task) => task.submission === submission)
      .forEach((task) => {
        if (task.isBegun) this.#shelf.put(task.fingerprint, task.text);
        this.#drop(task);
      });
  }

  #dropItem(submission: Submission, item: ItemId): void {
    const task = this.#tasks.get(taskKey(submission, item));
    if (task) this.#drop(task);
  }

  #drop(task: ItemTask): void {
    task.stop();
    this.#tasks.delete(taskKey(task.submission, task.spec.id));
    this.#waiting.delete(task);
    this.#board.runs.filter((run) => run.task === task).forEach((run) => run.cancel());
    this.#noticeIdle();
  }

  #tick(): void {
    this.#options.progress.save([...this.#tasks.values()]);
    this.#board.runs.filter((run) => run.isSilent).forEach((run) => run.abandon());
    if (this.#waiting.size === 0) this.#board.pickMisplaced().forEach((run) => run.cancel());
    if (this.#waiting.size > 0) this.schedule();
  }

  #place(): void {
    if (!this.#isActive || this.#isDraining || this.#waiting.size === 0) return;
    const now = this.#options.clock.mono();
    const due = [...this.#waiting].filter((task) => task.isDue(now));
    const byModel = new Map<ModelId, ItemTask[]>();
    const routed = due.filter((task) => this.#board.findRoute(task));
    // The route of an item was withdrawn, so that it can never run.
    due.filter((task) => !routed.includes(task)).forEach((task) => this.#finish(task, 'dead'));
    this.#options.order.sort(routed).forEach((task) => {
      const model = readModel(task);
      byModel.set(model, [...(byModel.get(model) ?? []), task]);
    });
    byModel.forEach((tasks, model) => this.#placeModel(model, tasks));
  }

  #placeModel(model: ModelId, tasks: readonly ItemTask[]): void {
    const [first] = tasks;
    const engines = first ? this.#board.listEngines(first) : [];
    const views = engines.map((engine) => this.#board.view(engine, model));
    const placements = this.#options.placement.place(tasks, views);
    placements.forEach(({ item, engine: id }) => {
      const engine = engines.find((one) => one.id === id);
      const route = this.#board.findRoute(item);
      if (engine && route) this.#run(item, engine, model, route);
    });
  }

  #run(task: ItemTask, engine: TargetEntry, model: ModelId, route: ServingRoute): void {
    const { clock, client, engines, logger, metrics } = this.#options;
    const { terms } = task.submission;
    const { lastNumber } = task.text;
    this.#waiting.delete(task);
    metrics.count('item.started');
    const run = new ItemRun({
      clock,
      client,
      engines,
      logger,
      engine,
      model,
      task,
      call: {
        target: engine,
        method: 'POST',
        path: task.spec.path,
        host: terms.host,
        headers: Object.entries(task.spec.headers).flat(),
        body: Buffer.from(task.spec.body, 'base64'),
        id: task.spec.id as string as RequestId,
        deadlineMs: RUN_DEADLINE_MS,
        team: terms.team,
        expectVersion: engines.versionOf(engine, model),
        ...(lastNumber !== undefined && { resumeAfter: lastNumber }),
      },
      onEnd: (ended, outcome) => this.#onRunEnd(ended, outcome, route),
    });
    this.#board.add(run);
  }

  #onRunEnd(run: ItemRun, outcome: RunOutcome, route: ServingRoute): void {
    const { task, engine } = run;
    this.#board.remove(run);
    this.#options.metrics.count(`run.${outcome}`);
    this.schedule();
    if (task.isStopped) return;
    if (outcome === 'complete') {
      void this.#score(task);
      return;
    }
    if (outcome === 'server-error') task.countServerError(engine.id);
    if (outcome === 'impossible' || task.isHopeless(route.maxRuns)) {
      this.#finish(task, 'dead');
      return;
    }
    if (outcome === 'refused' || outcome === 'wrong-version') {
      task.holdUntil(this.#options.clock, REFUSED_PAUSE_MS);
    } else {
      task.avoid.add(engine.id);
    }
    this.#waiting.add(task);
  }

  async #score(task: ItemTask): Promise<void> {
    const { reward } = task.spec;
    if (!reward) {
      this.#finish(task, 'complete');
      return;
    }
    const outcome = await this.#options.rewards.call(task, reward);
    if (outcome.type === 'scored') this.#finish(task, 'complete', outcome.receipt);
    if (outcome.type === 'failed') this.#finish(task, 'dead');
  }

  #finish(task: ItemTask, state: 'complete' | 'dead', score?: string): void {
    if (task.isStopped) return;
    const { events, versions } = task.text;
    this.#options.metrics.count(`item.${state}`);
    this.#options.writer.add(task.submission.terms.id, {
      item: task.spec.id,
      state,
      output: state === 'complete' ? events.join('\n') : '',
      versions: state === 'complete' ? versions : [],
      score,
    });
    this.#drop(task);
  }

  #findRoute({ terms }: Submission): ServingRoute | undefined {
    return this.#options.config.view?.findRoute(terms.host, terms.path);
  }

  #noticeIdle(): void {
    const running = [...this.#tasks.values()].some((task) => !this.#waiting.has(task));
    if (running) return;
    this.#idle.forEach((resolve) => resolve());
    this.#idle.clear();
  }
}

function taskKey(submission: Submission, item: ItemId): string {
  return `${submission.terms.id} ${item}`;
}

function readModel(task: ItemTask): ModelId {
  return (task.submission.terms.model ?? '') as ModelId;
}
