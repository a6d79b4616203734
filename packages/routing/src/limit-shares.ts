/** Which process the turns at limited targets belong to. */
import type { Clock, InstanceId, Millis, MonoTime, TargetId } from '@hibiscushill/base';

import { RendezvousKey } from './rendezvous-key';
import type { TurnOwnership } from './request-turns';

/** The clock, this process, and where the processes exchange their demands. */
export interface LimitSharesOptions {
  readonly clock: Clock;
  /** The process whose turns are asked for. */
  readonly process: InstanceId;
  /**
   * When the exchange was last read to its end; undefined before the first time. What was read from
   * it doesn't age while it can't be read.
   */
  readonly readAt: () => MonoTime | undefined;
  /**
   * Finds the process that owns most turns at a target while no demand there is published; undefined
   * if all own as many.
   */
  readonly findMainProcess?: (target: TargetId) => InstanceId | undefined;
}

/** The requests a second that a process would send to each target. */
export type DemandByTarget = ReadonlyMap<TargetId, number>;

interface ReceivedDemand {
  readonly demand: DemandByTarget;
  readonly receivedAt: MonoTime;
}

interface CachedWeights {
  readonly weights: ReadonlyMap<InstanceId, number>;
  readonly computedAt: MonoTime;
}

// A process that has heard of no other one assumes as many as a deployment may have.
const ASSUMED_PROCESSES = 32;
// The part of the turns that belongs to all processes alike, so that a process whose demand is not
// known yet gets some.
const EVEN_FRACTION = 0.1;
// Demands are published every second or less often; after three times as long they have ended.
const MIN_PUBLISH_INTERVAL_MS = 1_000;
// Bounds the records a second of all processes together.
const PUBLISH_INTERVAL_PER_PROCESS_MS = 50;
const LIFETIME_INTERVALS = 3;
// Reads of the exchange succeed several times in this time unless it can't be read.
const MAX_READ_AGE_MS = 1_500;
// The main process may be another one once the lease of the control duty, 1.3 s, has expired.
const MAX_MAIN_READ_AGE_MS = 1_000;
// How long weights are used before they are computed anew.
const MAX_WEIGHTS_AGE_MS = 250;

/**
 * Assigns each turn at a limited target to one process, by weighted rendezvous hashing: most turns
 * by the demands that the processes have published, the rest to all alike. All processes read the
 * demands, their own included, from the same log, so that they assign alike but for the moment that
 * a record takes to reach all of them. Without demands, the main process of a target, if it has one,
 * counts as the only one with a demand. Otherwise, and in a process that has not read the log for a
 * while, all processes share alike.
 */
export class LimitShares {
  readonly #options: LimitSharesOptions;

  #processes: readonly InstanceId[];

  readonly #demands = new Map<InstanceId, ReceivedDemand>();

  readonly #weights = new Map<TargetId, CachedWeights>();

  #version = 0;

  /** @param options - the clock, this process, and the exchange */
  constructor(options: LimitSharesOptions) {
    this.#options = options;
    this.#processes = createAssumedProcesses(options.process);
  }

  /** How often this process should publish its demand, in milliseconds. */
  get publishIntervalMs(): Millis {
    const byProcesses = this.#processes.length * PUBLISH_INTERVAL_PER_PROCESS_MS;
    return Math.max(MIN_PUBLISH_INTERVAL_MS, byProcesses);
  }

  /** Sets the processes that are known to have started; this one belongs to them in any case. */
  setProcesses(processes: readonly InstanceId[]): void {
    const sorted = [...new Set([...processes, this.#options.process])].sort();
    if (sorted.join() === this.#processes.join()) return;
    this.#processes = sorted;
    [...this.#demands.keys()]
      .filter((process) => !sorted.includes(process))
      .forEach((process) => this.#demands.delete(process));
    this.#forgetWeights();
  }

  /** Records the demand that a process, which may be this one, has published. */
  recordDemand(process: InstanceId, demand: DemandByTarget): void {
    this.#demands.set(process, { demand, receivedAt: this.#options.clock.mono() });
  }

  /** The part of a target's turns that belongs to a process, from 0 to 1. */
  share(target: TargetId, process: InstanceId = this.#options.process): number {
    return this.#weightsOf(target).get(process) ?? 0;
  }

  /**
   * Creates the ownership of the turns at an incarnation of a target.
   *
   * @param target - the target
   * @param key - identifies the incarnation
   */
  createOwnership(target: TargetId, key: string): TurnOwnership {
    const getVersion = (): number => {
      this.#weightsOf(target);
      return this.#version;
    };
    return {
      get version() {
        return getVersion();
      },
      isOwn: (turn) => this.#findOwner(target, `${key} ${turn}`) === this.#options.process,
    };
  }

  #findOwner(target: TargetId, turnKey: string): InstanceId | undefined {
    const key = new RendezvousKey(turnKey);
    let owner: InstanceId | undefined;
    let highest = 0;
    this.#weightsOf(target).forEach((weight, process) => {
      const score = key.score(process, weight);
      if (score > highest) {
        highest = score;
        owner = process;
      }
    });
    return owner;
  }

  #weightsOf(target: TargetId): ReadonlyMap<InstanceId, number> {
    const now = this.#options.clock.mono();
    const cached = this.#weights.get(target);
    if (cached && now - cached.computedAt < MAX_WEIGHTS_AGE_MS) return cached.weights;
    const weights = this.#computeWeights(target);
    this.#weights.set(target, { weights, computedAt: now });
    if (!cached || !areEqual(cached.weights, weights)) this.#version += 1;
    return weights;
  }

  #computeWeights(target: TargetId): Map<InstanceId, number> {
    const count = this.#processes.length;
    const published = this.#processes.map((process) => this.#demandOf(process, target));
    const main = published.some((demand) => demand > 0) ? undefined : this.#findMain(target);
    const demands = main ? this.#processes.map((process) => (process === main ? 1 : 0)) : published;
    const total = demands.reduce<number>((sum, demand) => sum + demand, 0);
    return new Map(
      this.#processes.map((process, index) => [
        process,
        total > 0
          ? EVEN_FRACTION / count + ((1 - EVEN_FRACTION) * demands[index]!) / total
          : 1 / count,
      ]),
    );
  }

  /** The main process of a target; none while this process can't know who it is. */
  #findMain(target: TargetId): InstanceId | undefined {
    const { clock, readAt, findMainProcess } = this.#options;
    const lastReadAt = readAt();
    const isCurrent = lastReadAt !== undefined && clock.mono() - lastReadAt < MAX_MAIN_READ_AGE_MS;
    return isCurrent ? findMainProcess?.(target) : undefined;
  }

  /** A process's demand; none once the process must be assumed to have lost its turns by it. */
  #demandOf(process: InstanceId, target: TargetId): number {
    const lastReadAt = this.#options.readAt();
    const received = this.#demands.get(process);
    if (!received || lastReadAt === undefined || this.#hasLostOwnDemand(lastReadAt)) return 0;
    const isCurrent = lastReadAt - received.receivedAt < this.#lifetimeMs;
    return isCurrent ? (received.demand.get(target) ?? 0) : 0;
  }

  /**
   * Whether the exchange can't be read and the other processes, which may still read it, no longer
   * count the demand that this process published last.
   */
  #hasLostOwnDemand(lastReadAt: MonoTime): boolean {
    const now = this.#options.clock.mono();
    if (now - lastReadAt < MAX_READ_AGE_MS) return false;
    const own = this.#demands.get(this.#options.process)?.receivedAt ?? lastReadAt;
    return now - own >= this.#lifetimeMs;
  }

  get #lifetimeMs(): Millis {
    return LIFETIME_INTERVALS * this.publishIntervalMs;
  }

  #forgetWeights(): void {
    this.#weights.clear();
    this.#version += 1;
  }
}

function createAssumedProcesses(own: InstanceId): InstanceId[] {
  const others = Array.from(
    { length: ASSUMED_PROCESSES - 1 },
    (_, index) => `unknown-${index}` as InstanceId,
  );
  return [own, ...others];
}

function areEqual(a: ReadonlyMap<InstanceId, number>, b: ReadonlyMap<InstanceId, number>): boolean {
  return a.size === b.size && [...a].every(([process, weight]) => b.get(process) === weight);
}
