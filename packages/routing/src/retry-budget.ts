/** A limit on retries in proportion to first attempts. */
import type { Clock, MonoTime, ServiceId } from '@hibiscushill/base';

/** The clock and the limits of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  readonly clock: Clock;
  /** The retries that each first attempt adds to the balance. */
  readonly retriesPerFirstAttempt?: number;
  /** The retries added to the balance each second, also without first attempts. */
  readonly minRetriesPerSecond?: number;
  /** The highest balance. */
  readonly maxBalance?: number;
  /** The balance of a service at its first request. */
  readonly initialBalance?: number;
}

interface Balance {
  retries: number;
  updatedAt: MonoTime;
}

const DEFAULT_RETRIES_PER_FIRST_ATTEMPT = 0.1;
const DEFAULT_MIN_RETRIES_PER_SECOND = 0.5;
const DEFAULT_MAX_BALANCE = 100;
const DEFAULT_INITIAL_BALANCE = 10;
const MS_PER_SECOND = 1000;
// Adding 0.1 ten times gives slightly less than 1 in floating point.
const FLOAT_TOLERANCE = 1e-9;

/** The balance of retries and hedges that each service may spend. */
export class RetryBudget {
  readonly #clock: Clock;

  readonly #retriesPerFirstAttempt: number;

  readonly #minRetriesPerSecond: number;

  readonly #maxBalance: number;

  readonly #initialBalance: number;

  readonly #balances = new Map<ServiceId, Balance>();

  /** @param options - the clock and the limits */
  constructor(options: RetryBudgetOptions) {
    this.#clock = options.clock;
    this.#retriesPerFirstAttempt =
      options.retriesPerFirstAttempt ?? DEFAULT_RETRIES_PER_FIRST_ATTEMPT;
    this.#minRetriesPerSecond = options.minRetriesPerSecond ?? DEFAULT_MIN_RETRIES_PER_SECOND;
    this.#maxBalance = options.maxBalance ?? DEFAULT_MAX_BALANCE;
    this.#initialBalance = Math.min(
      this.#maxBalance,
      options.initialBalance ?? DEFAULT_INITIAL_BALANCE,
    );
  }

  /**
   * Counts a request's first attempt, which adds to the balance.
   *
   * @param service - the service
   */
  recordFirstAttempt(service: ServiceId): void {
    const balance = this.#updateBalance(service);
    balance.retries = Math.min(this.#maxBalance, balance.retries + this.#retriesPerFirstAttempt);
  }

  /**
   * Takes one retry from the balance.
   *
   * @param service - the service
   * @returns false when the balance is below one retry
   */
  tryTake(service: ServiceId): boolean {
    const balance = this.#updateBalance(service);
    if (balance.retries < 1 - FLOAT_TOLERANCE) return false;
    balance.retries -= 1;
    return true;
  }

  /**
   * Returns the current balance.
   *
   * @param service - the service
   * @returns the number of retries, which may have a fraction
   */
  balance(service: ServiceId): number {
    return this.#updateBalance(service).retries;
  }

  /** Adds the retries that have accrued since the last update. */
  #updateBalance(service: ServiceId): Balance {
    const now = this.#clock.mono();
    const balance = this.#balances.get(service) ?? {
      retries: this.#initialBalance,
      updatedAt: now,
    };
    const accrued = ((now - balance.updatedAt) / MS_PER_SECOND) * this.#minRetriesPerSecond;
    balance.retries = Math.min(this.#maxBalance, balance.retries + accrued);
    balance.updatedAt = now;
    this.#balances.set(service, balance);
    return balance;
  }
}
