/** The trainers that are declared: each with its stream, its duty, its desk and its swapper. */
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
import { DutyKeeper, TailClaims } from '@hibiscushill/control';
import { type Log, LogTail, type StreamName } from '@hibiscushill/log';
import {
  type SampleRunner,
  SlidingWaves,
  TailHedging,
  TrainerDesk,
  WaveSwapper,
  type WeightOrders,
} from '@hibiscushill/rollout';
import { type Option, fromNullable, isSome, none, some } from 'fp-ts/Option';

const log = createLogger('entry.trainer');

const ORDER_MS: Millis = 1000;

/** What the desks need. */
export interface TrainerDesksOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly config: ConfigStore;
  readonly entry: InstanceId;
  readonly incarnation: IncarnationId;
  readonly candidates: () => readonly InstanceId[];
  readonly orders: WeightOrders;
  readonly createRunner: (service: () => ServiceId) => SampleRunner;
}

/** One trainer in this process. */
class TrainerPost {
  readonly desk: TrainerDesk;

  readonly keeper: DutyKeeper;

  readonly swapper: WaveSwapper;

  readonly #tail: LogTail;

  #swapping = new AbortController();

  constructor(declared: () => Trainer, options: TrainerDesksOptions) {
    const { clock, metrics, entry, incarnation, candidates, orders } = options;
    const { name } = declared();
    const stream: StreamName = `trainer.${name}`;
    const duty = `trainer/${name}`;
    this.#tail = new LogTail({ log: options.log, clock, stream, metrics });
    this.keeper = new DutyKeeper({
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
    this.swapper = new WaveSwapper({
      trainer: name,
      orders,
      clock,
      metrics,
      policy: new SlidingWaves(() => declared().swapShare),
      wanted: () => {
        const { newest } = this.desk;
        return isSome(newest) ? some(newest.value.version) : none;
      },
      fencing: () => this.#fencing(),
    });
    this.desk = new TrainerDesk({
      clock,
      metrics,
      trainer: declared,
      claims: new TailClaims(duty, this.#tail),
      append: (records) => options.log.append(stream, records),
      runner: options.createRunner(() => declared().service),
      stragglers: new TailHedging(),
      excluded: () => this.swapper.excluded((version) => this.desk.isTooOld(version)),
    });
    this.#tail.subscribe((record) => this.desk.apply(record));
    this.#tail.onTrimmed(() => this.desk.trimmed());
    this.keeper.onGained((lease) => this.#gain(lease));
    this.keeper.onLost(() => this.#lose());
  }

  start(): void {
    this.keeper.start();
    this.#tail.start();
  }

  async stop(): Promise<void> {
    await this.keeper.release();
    this.#swapping.abort();
    await this.#tail.stop();
  }

  #fencing(): Option<FencingNumber> {
    const { lease } = this.keeper;
    return isSome(lease) && lease.value.covers(ORDER_MS) ? some(lease.value.fencing) : none;
  }

  #gain(lease: { readonly fencing: FencingNumber; covers(ms: Millis): boolean }): void {
    log.info('This entry owns the trainer.', {
      trainer: this.desk.trainer,
      fencing: lease.fencing,
    });
    this.desk.gained(lease);
    this.#swapping.abort();
    this.#swapping = new AbortController();
    void this.swapper.run(this.#swapping.signal);
  }

  #lose(): void {
    log.info('This entry owns the trainer no longer.', { trainer: this.desk.trainer });
    this.#swapping.abort();
    this.desk.lost();
  }
}

/** Every declared trainer. */
export class TrainerDesks {
  readonly #options: TrainerDesksOptions;

  readonly #posts = new Map<TrainerId, TrainerPost>();

  /** @param options - the log, the duty's candidates and the way to the targets */
  constructor(options: TrainerDesksOptions) {
    this.#options = options;
    options.config.onChange(() => this.#follow());
  }

  /** Finds the desk of a declared trainer. */
  desk(trainer: TrainerId): Option<TrainerDesk> {
    return fromNullable(this.#posts.get(trainer)?.desk);
  }

  /** Names the entry that holds a trainer's duty, as far as is known here. */
  owner(trainer: TrainerId): Option<InstanceId> {
    const present = this.#posts.get(trainer)?.keeper.present;
    return present === undefined || present.isReleased ? none : fromNullable(present.holder);
  }

  /** Lists the duties that this entry holds. */
  get duties(): { duty: string; fencing: number }[] {
    return [...this.#posts.values()].flatMap(({ keeper }) =>
      isSome(keeper.lease) ? [{ duty: keeper.duty, fencing: keeper.lease.value.fencing }] : [],
    );
  }

  /** Describes how far the newest weights of each trainer have come. */
  get swaps() {
    return [...this.#posts].map(([trainer, { swapper, desk }]) => ({
      trainer,
      newest: isSome(desk.newest) ? desk.newest.value.version : undefined,
      ...swapper.progress(),
    }));
  }

  /** Hands every duty over and stops. */
  async stop(): Promise<void> {
    await Promise.all([...this.#posts.values()].map((post) => post.stop()));
  }

  #follow(): void {
    const { view } = this.#options.config;
    if (!isSome(view)) return;
    const declared = new Set(view.value.declarations.trainers.map((trainer) => trainer.name));
    view.value.declarations.trainers.forEach((trainer) => this.#open(trainer));
    [...this.#posts].forEach(([name, post]) => {
      if (declared.has(name)) return;
      this.#posts.delete(name);
      void post.stop();
    });
  }

  #open(trainer: Trainer): void {
    if (this.#posts.has(trainer.name)) return;
    const post = new TrainerPost(() => this.#find(trainer), this.#options);
    this.#posts.set(trainer.name, post);
    post.start();
  }

  #find(first: Trainer): Trainer {
    const { view } = this.#options.config;
    const found = isSome(view) ? view.value.findTrainer(first.name) : none;
    return isSome(found) ? found.value : first;
  }
}
