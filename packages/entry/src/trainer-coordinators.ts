/** Runs the coordinators of the declared trainers, each with its stream, duty and swapper. */
import {
  type Clock,
  type FencingNumber,
  type IncarnationId,
  type InstanceId,
  type Metrics,
  type Millis,
  type ServiceId,
  type TrainerId,
  createLogger,
} from '@hibiscushill/base';
import type { ConfigStore, Trainer } from '@hibiscushill/config';
import { DutyElector, TailClaimTracker } from '@hibiscushill/control';
import { type Log, LogTail, type StreamName } from '@hibiscushill/log';
import {
  type SampleRunner,
  RollingUpdate,
  TailHedging,
  TrainerCoordinator,
  WeightSwapper,
  type WeightOrderSender,
} from '@hibiscushill/rollout';
import { type Option, fromNullable, isSome, none, some } from 'fp-ts/Option';

const log = createLogger('entry.trainer');

// Weight orders are sent only while the lease lasts at least this long.
const MIN_ORDER_LEASE_MS: Millis = 1000;

/** The log, the declarations, and the senders of samples and weight orders. */
export interface TrainerCoordinatorsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly config: ConfigStore;
  readonly entry: InstanceId;
  readonly incarnation: IncarnationId;
  /** The live entries, which may claim a trainer's duty. */
  readonly candidates: () => readonly InstanceId[];
  readonly weightOrderSender: WeightOrderSender;
  readonly createRunner: (service: () => ServiceId) => SampleRunner;
}

/** The parts that serve one trainer in this process: tail, elector, coordinator and swapper. */
class TrainerRuntime {
  readonly coordinator: TrainerCoordinator;

  readonly elector: DutyElector;

  readonly swapper: WeightSwapper;

  readonly #tail: LogTail;

  #swapController = new AbortController();

  /**
   * @param getDeclaration - returns the trainer's current declaration
   * @param options - the log, and the senders of samples and weight orders
   */
  constructor(getDeclaration: () => Trainer, options: TrainerCoordinatorsOptions) {
    const { clock, metrics, entry, incarnation, candidates, weightOrderSender } = options;
    const { name } = getDeclaration();
    const stream: StreamName = `trainer.${name}`;
    const duty = `trainer/${name}`;
    this.#tail = new LogTail({ log: options.log, clock, stream, metrics });
    this.elector = new DutyElector({
      log: options.log,
      tail: this.#tail,
      stream,
      duty,
      holder: entry,
      incarnation,
      clock,
      metrics,
      candidates,
    });
    this.swapper = new WeightSwapper({
      trainer: name,
      sender: weightOrderSender,
      clock,
      metrics,
      policy: new RollingUpdate(() => getDeclaration().swapShare),
      getNewestVersion: () => {
        const { newestVersion } = this.coordinator;
        return isSome(newestVersion) ? some(newestVersion.value.version) : none;
      },
      getFencing: () => this.#getOrderFencing(),
    });
    this.coordinator = new TrainerCoordinator({
      clock,
      metrics,
      getTrainer: getDeclaration,
      claims: new TailClaimTracker(duty, this.#tail),
      append: (records) => options.log.append(stream, records),
      runner: options.createRunner(() => getDeclaration().service),
      stragglers: new TailHedging(),
      excludedTargets: () =>
        this.swapper.listExcludedTargets((version) => this.coordinator.isVersionTooOld(version)),
    });
    this.#tail.subscribe((record) => this.coordinator.apply(record));
    this.#tail.onTrimmed(() => this.coordinator.onTrimmed());
    this.elector.onGained((lease) => this.#onGained(lease));
    this.elector.onLost(() => this.#onLost());
  }

  /** Starts to claim the trainer's duty and to read its stream. */
  start(): void {
    this.elector.start();
    this.#tail.start();
  }

  /** Releases the duty and stops. */
  async stop(): Promise<void> {
    await this.elector.release();
    this.#swapController.abort();
    await this.#tail.stop();
  }

  // The fencing number for weight orders; none when the lease is about to end.
  #getOrderFencing(): Option<FencingNumber> {
    const { lease } = this.elector;
    return isSome(lease) && lease.value.covers(MIN_ORDER_LEASE_MS)
      ? some(lease.value.fencing)
      : none;
  }

  #onGained(lease: { readonly fencing: FencingNumber; covers(ms: Millis): boolean }): void {
    log.info('This entry owns the trainer.', {
      trainer: this.coordinator.trainer,
      fencing: lease.fencing,
    });
    this.coordinator.onLeaseGained(lease);
    this.#swapController.abort();
    this.#swapController = new AbortController();
    void this.swapper.run(this.#swapController.signal);
  }

  #onLost(): void {
    log.info('This entry no longer owns the trainer.', { trainer: this.coordinator.trainer });
    this.#swapController.abort();
    this.coordinator.onLeaseLost();
  }
}

/** Runs a coordinator for every declared trainer. */
export class TrainerCoordinators {
  readonly #options: TrainerCoordinatorsOptions;

  readonly #runtimes = new Map<TrainerId, TrainerRuntime>();

  /** @param options - the log, the declarations, and the senders of samples and weight orders */
  constructor(options: TrainerCoordinatorsOptions) {
    this.#options = options;
    options.config.onChange(() => this.#applyDeclarations());
  }

  /** Finds the coordinator of a declared trainer. */
  findCoordinator(trainer: TrainerId): Option<TrainerCoordinator> {
    return fromNullable(this.#runtimes.get(trainer)?.coordinator);
  }

  /** Returns the entry that holds a trainer's duty, as far as this entry has read the log. */
  owner(trainer: TrainerId): Option<InstanceId> {
    const claim = this.#runtimes.get(trainer)?.elector.currentClaim;
    return claim === undefined || claim.isReleased ? none : fromNullable(claim.holder);
  }

  /** Lists the duties that this entry holds. */
  get duties(): { duty: string; fencing: number }[] {
    return [...this.#runtimes.values()].flatMap(({ elector }) =>
      isSome(elector.lease) ? [{ duty: elector.duty, fencing: elector.lease.value.fencing }] : [],
    );
  }

  /** The progress of swapping each trainer's newest weights, for `/status`. */
  get swaps() {
    return [...this.#runtimes].map(([trainer, { swapper, coordinator }]) => ({
      trainer,
      newest: isSome(coordinator.newestVersion)
        ? coordinator.newestVersion.value.version
        : undefined,
      ...swapper.countProgress(),
    }));
  }

  /** Releases every duty and stops. */
  async stop(): Promise<void> {
    await Promise.all([...this.#runtimes.values()].map((runtime) => runtime.stop()));
  }

  #applyDeclarations(): void {
    const { view } = this.#options.config;
    if (!isSome(view)) return;
    const declared = new Set(view.value.declarations.trainers.map((trainer) => trainer.name));
    view.value.declarations.trainers.forEach((trainer) => this.#startTrainer(trainer));
    [...this.#runtimes].forEach(([name, runtime]) => {
      if (declared.has(name)) return;
      this.#runtimes.delete(name);
      void runtime.stop();
    });
  }

  #startTrainer(trainer: Trainer): void {
    if (this.#runtimes.has(trainer.name)) return;
    const runtime = new TrainerRuntime(() => this.#findDeclaration(trainer), this.#options);
    this.#runtimes.set(trainer.name, runtime);
    runtime.start();
  }

  #findDeclaration(first: Trainer): Trainer {
    const { view } = this.#options.config;
    const found = isSome(view) ? view.value.findTrainer(first.name) : none;
    return isSome(found) ? found.value : first;
  }
}
