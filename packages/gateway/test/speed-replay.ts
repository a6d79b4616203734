/** Replays requests of several processes to targets whose speeds change, without a network. */
import {
  type Clock,
  ManualClock,
  type MonoTime,
  RandomSource,
  type RequestId,
  type TargetId,
  type ZoneId,
} from '@hibiscushill/base';
import { ByteBudget } from '@hibiscushill/routing';

import {
  type ForwardResult,
  type ForwarderOptions,
  RequestForwarder,
} from '../src/request-forwarder';
import { LowestLatencyChooser, TargetChooser } from '../src/target-chooser';
import { TargetDirectory, type TargetRegistration } from '../src/target-directory';
import {
  type AbortCall,
  type EventReader,
  type TargetCall,
  TargetClient,
  type TargetResponseSink,
} from '../src/target-port';
import { TargetStats } from '../src/target-stats';
import {
  DELIMITED,
  createHead,
  createLimiter,
  createMetrics,
  createRoute,
  createStreamExchange,
  createSuspectExchange,
  createTarget,
  logger,
  runPendingCallbacks,
} from './support';

/** The processes, the targets and the requests of a replay. */
export interface ReplayOptions {
  readonly processes: number;
  readonly targets: number;
  readonly slots: number;
  readonly workMs: number;
  readonly goalMs: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
  /** How many times as long as usual a target takes for work that starts at a time. */
  readonly slowdownAt: (target: number, at: number) => number;
  readonly isReported: boolean;
  /** Whether the head of a response comes when its work begins rather than when it ends. */
  readonly isHeadEarly?: boolean;
  /** Whether requests come at random times rather than at regular ones. */
  readonly isRandom?: boolean;
  /** How long news takes from one process to all others; by default, they get none. */
  readonly sharingMs?: number;
  /** How targets are chosen; by default as the gateway does. */
  readonly choice?: 'two-random' | 'best';
  /** How often a request may run; without hedges once. */
  readonly maxRuns?: number;
}

export interface ReplayResult {
  readonly latencies: readonly number[];
  /** The request, the target and the time of each call, in their order. */
  readonly sends: readonly string[];
  readonly hedges: number;
  /** Those that were sent before the usual delay of a hedge. */
  readonly earlyHedges: number;
  /** Those that were sent while all slots of all targets were taken. */
  readonly busyHedges: number;
}

/** Prefers the less loaded of two random targets by what its process has observed. */
class TwoRandomChooser extends TargetChooser {
  readonly #chooser: TargetChooser;

  readonly #random: RandomSource;

  constructor(chooser: TargetChooser, random: RandomSource) {
    super();
    this.#chooser = chooser;
    this.#random = random;
  }

  override choose(
    targets: readonly TargetRegistration[],
    tried: ReadonlySet<TargetId>,
  ): TargetRegistration | undefined {
    const left = targets.filter(({ id }) => !tried.has(id));
    const first = Math.floor(this.#random.fraction() * left.length);
    const other = Math.floor(this.#random.fraction() * (left.length - 1));
    const second = other < first ? other : other + 1;
    const two = left.filter((_, index) => index === first || index === second);
    return this.#chooser.choose(two, tried);
  }
}

/** Knows how fast each target is now and how many requests it has: the best possible choice. */
class BestChooser extends TargetChooser {
  readonly #getCost: (target: TargetId) => number;

  constructor(getCost: (target: TargetId) => number) {
    super();
    this.#getCost = getCost;
  }

  override choose(targets: readonly TargetRegistration[]): TargetRegistration | undefined {
    return [...targets].sort((a, b) => this.#getCost(a.id) - this.#getCost(b.id))[0];
  }
}

/** A target with slots and a queue. */
class SimulatedTarget {
  running = 0;

  readonly #waiting: (() => void)[] = [];

  async takeSlot(slots: number): Promise<void> {
    if (this.running >= slots) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    this.running += 1;
  }

  releaseSlot(): void {
    this.running -= 1;
    this.#waiting.shift()?.();
  }

  get waiting(): number {
    return this.#waiting.length;
  }
}

class SimulatedClient extends TargetClient {
  readonly sends: string[] = [];

  busyHedges = 0;

  readonly #sentIds = new Set<RequestId>();

  onHead: (target: TargetId, slowdown: number) => void = () => undefined;

  readonly #options: ReplayOptions;

  readonly #clock: Clock;

  readonly #targets: readonly SimulatedTarget[];

  readonly #random: RandomSource;

  constructor(options: ReplayOptions, clock: Clock, targets: readonly SimulatedTarget[]) {
    super();
    this.#options = options;
    this.#clock = clock;
    this.#targets = targets;
    this.#random = new RandomSource(options.seed);
  }

  override call(call: TargetCall, sink: TargetResponseSink): AbortCall {
    const isBusy = this.#targets.every(({ running }) => running >= this.#options.slots);
    if (isBusy && this.#sentIds.has(call.id)) this.busyHedges += 1;
    this.#sentIds.add(call.id);
    this.sends.push(`${call.id} ${call.target.id} ${this.#clock.mono()}`);
    const stop = new AbortController();
    void this.#run(call, sink, stop.signal);
    return () => stop.abort();
  }

  override createEventReader(): EventReader {
    throw new Error('no streams are replayed');
  }

  async #run(call: TargetCall, sink: TargetResponseSink, stop: AbortSignal): Promise<void> {
    const { slots, workMs, slowdownAt, isReported, isHeadEarly } = this.#options;
    const index = Number(call.target.id.slice(1));
    const target = this.#targets[index]!;
    const sendHead = (): void => {
      const { running, waiting } = target;
      const slowdown = slowdownAt(index, this.#clock.mono());
      const load = { running, waiting, slots, ...(isReported && { slowdown }) };
      if (stop.aborted) return;
      sink.onHead(createHead(call.id, { load }));
      if (isReported) this.onHead(call.target.id, slowdown);
    };
    await this.#clock.sleep(1);
    await target.takeSlot(slots);
    const slowdown = slowdownAt(index, this.#clock.mono());
    if (isHeadEarly) sendHead();
    const tookMs = workMs * slowdown * (1 + 0.1 * this.#random.fraction());
    if (!stop.aborted) await this.#clock.sleep(tookMs, stop);
    target.releaseSlot();
    if (!isHeadEarly) sendHead();
    if (!stop.aborted) sink.onEnd(DELIMITED);
  }
}

/** Replays the requests of all processes in turn, and returns how long their responses took. */
export async function replay(options: ReplayOptions): Promise<ReplayResult> {
  const { processes, requestsPerSecond, durationMs, goalMs, seed } = options;
  const clock = new ManualClock(1_000);
  const targets = Array.from({ length: options.targets }, () => new SimulatedTarget());
  const client = new SimulatedClient(options, clock, targets);
  const allStats = Array.from({ length: processes }, () => new TargetStats(clock));
  const metrics = createMetrics();
  const getCost = (id: TargetId): number => {
    const { running, waiting } = targets[Number(id.slice(1))]!;
    const rounds = Math.max(1, (running + waiting + 1) / options.slots);
    return options.slowdownAt(Number(id.slice(1)), clock.mono()) * rounds;
  };
  const forwarders = allStats.map((stats, index) => {
    const random = new RandomSource(seed + index);
    const usual = new LowestLatencyChooser({ stats, zone: 'zone-a' as ZoneId, random });
    const twoRandom = new TwoRandomChooser(usual, random);
    const choosers = { 'two-random': twoRandom, best: new BestChooser(getCost) };
    const chooser = options.choice ? choosers[options.choice] : usual;
    return createForwarder(options, { clock, client, stats, random, metrics, chooser });
  });
  client.onHead = (target, slowdown) => {
    if (options.sharingMs === undefined) return;
    void clock.sleep(options.sharingMs).then(() => {
      allStats.forEach((stats) => stats.speeds.recordHead(target, undefined, slowdown));
    });
  };
  const route = createRoute({ goalMs, timeoutMs: 2_000, maxRuns: options.maxRuns ?? 2 });
  const latencies: number[] = [];
  const open: Promise<void>[] = [];
  const random = new RandomSource(seed);
  const endsAt = clock.mono() + durationMs;
  let sent = 0;
  let nextAt: number = clock.mono();
  const send = async (): Promise<void> => {
    const sentAt = clock.mono();
    const process = options.isRandom ? Math.floor(random.fraction() * processes) : sent % processes;
    const result: ForwardResult = await forwarders[process]!.forward({
      id: `r${sent}` as RequestId,
      route,
      team: undefined,
      method: 'POST',
      path: `/a/${sent}`,
      host: 'a.example',
      headers: [],
      body: Buffer.from(''),
      endsAt: (sentAt + route.timeoutMs) as MonoTime,
      mayRun: () => true,
      signal: new AbortController().signal,
    });
    answered += 1;
    latencies.push(result.type === 'answered' ? clock.mono() - sentAt : Infinity);
  };
  let answered = 0;
  while (clock.mono() < endsAt || answered < open.length) {
    while (nextAt <= clock.mono() && nextAt < endsAt) {
      open.push(send());
      sent += 1;
      const gap = options.isRandom ? -Math.log(1 - random.fraction()) : 1;
      nextAt += (gap * 1_000) / requestsPerSecond;
    }
    await runPendingCallbacks();
    clock.advance(1);
    await runPendingCallbacks();
  }
  await Promise.all(open);
  const earlyHedges = metrics.counts()['request.hedged_early'] ?? 0;
  const { sends, busyHedges } = client;
  return { latencies, sends, busyHedges, hedges: sends.length - latencies.length, earlyHedges };
}

function createForwarder(
  options: ReplayOptions,
  parts: Pick<ForwarderOptions, 'clock' | 'client' | 'stats' | 'random' | 'metrics' | 'chooser'>,
): RequestForwarder {
  const { clock, stats, metrics } = parts;
  const directory = new TargetDirectory({ clock, metrics });
  const registrations = Array.from({ length: options.targets }, (_, index) =>
    createTarget(`t${index}`, { slots: options.slots }),
  );
  registrations.forEach((target) => directory.recordRegistration(target));
  stats.setTargets(registrations.map(({ id }) => id));
  return new RequestForwarder({
    buffers: new ByteBudget(Infinity),
    ...parts,
    logger,
    directory,
    limiter: createLimiter(clock),
    suspects: createSuspectExchange(clock),
    streams: createStreamExchange(clock, directory),
    onRun: () => undefined,
  });
}

/** The fraction of latencies that are longer than a time. */
export function countSlower(latencies: readonly number[], ms: number): number {
  return latencies.filter((latency) => latency > ms).length / latencies.length;
}

/** The speeds of targets that alternate in pairs, so that half of them are fast at any time. */
export function alternate(target: number, at: number): number {
  return target % 2 === Math.floor(at / 700) % 2 ? 1 : 6;
}

/**
 * Creates speeds that change at random times, independently of each other.
 *
 * @param targets - how many
 * @param durationMs - for how long they are needed
 * @param slowFraction - the fraction of the time for which a target is slow
 */
export function createRandomSpeeds(
  targets: number,
  durationMs: number,
  slowFraction: number,
): (target: number, at: number) => number {
  const stepMs = 10;
  const changesPerStep = stepMs / 300;
  const random = new RandomSource(5);
  const speeds = Array.from({ length: targets }, () => {
    let slowdown = 1;
    return Array.from({ length: durationMs / stepMs }, () => {
      const probability = slowdown === 1 ? slowFraction : 1 - slowFraction;
      if (random.fraction() < changesPerStep * probability) slowdown = slowdown === 1 ? 6 : 1;
      return slowdown;
    });
  });
  return (target, at) => speeds[target]?.[Math.floor(at / stepMs)] ?? 1;
}
