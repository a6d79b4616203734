/** A bound on retries, as a part of first tries. */
import type { Clock, MonoTime, ServiceId } from '@hibiscushill/base';

/** How {@link RetryBudget} counts. */
export interface RetryBudgetOptions {
  readonly clock: Clock;
  /** Retries that each first try allows. */
  readonly ratio?: number;
  /** Retries a second that are allowed without any first try. */
  readonly floorPerSecond?: number;
  /** The most retries that are saved up. */
  readonly most?: number;
  /** The retries that a service begins with. */
  readonly initial?: number;
}

interface Balance {
  retries: number;
  readAt: MonoTime;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_FLOOR_PER_SECOND = 0.5;
const DEFAULT_MOST = 100;
const DEFAULT_INITIAL = 10;
const MS_PER_SECOND = 1000;
// Ten deposits of a tenth sum to a little less than one.
const ROUNDING = 1e-9;

/** The retries and hedges that each service may spend. */
export class RetryBudget {
  readonly #clock: Clock;

  readonly #ratio: number;

  readonly #floorPerSecond: number;

  readonly #most: number;

  readonly #initial: number;

  readonly #balances = new Map<ServiceId, Balance>();

  /** @param options - the clock and the bounds */
  constructor(options: RetryBudgetOptions) {
    this.#clock = options.clock;
    this.#ratio = options.ratio ?? DEFAULT_RATIO;
    this.#floorPerSecond = options.floorPerSecond ?? DEFAULT_FLOOR_PER_SECOND;
    this.#most = options.most ?? DEFAULT_MOST;
    this.#initial = Math.min(this.#most, options.initial ?? DEFAULT_INITIAL);
  }

  /**
   * Counts a request's first try.
   *
   * @param service - the service
   */
  recordFirstTry(service: ServiceId): void {
    const balance = this.#read(service);
    balance.retries = Math.min(this.#most, balance.retries + this.#ratio);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param service - the service
   * @returns false when the budget is used up
   */
  tryTake(service: ServiceId): boolean {
    const balance = this.#read(service);
    if (balance.retries < 1 - ROUNDING) return false;
    balance.retries -= 1;
    return true;
  }

  /**
   * Reads the budget.
   *
   * @param service - the service
   * @returns the retries that may be taken now; a fraction counts towards the next
   */
  balance(service: ServiceId): number {
    return this.#read(service).retries;
  }

  #read(service: ServiceId): Balance {
    const now = this.#clock.mono();
    const balance = this.#balances.get(service) ?? { retries: this.#initial, readAt: now };
    const gained = ((now - balance.readAt) / MS_PER_SECOND) * this.#floorPerSecond;
    balance.retries = Math.min(this.#most, balance.retries + gained);
    balance.readAt = now;
    this.#balances.set(service, balance);
    return balance;
  }
}
