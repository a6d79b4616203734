/** The agent's decision on whether an attempt may run. */
import {
  type Clock,
  type CodeName,
  type KeyId,
  type Millis,
  type ServiceId,
  createFailure,
  type Failure,
} from '@hibiscushill/base';
import { type ConfigStore, type ConfigView, checkKeyId } from '@hibiscushill/config';
import type { Run } from '@hibiscushill/protocol';
import { isNone, isSome } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

const RETRY_SOON_MS: Millis = 100;

/** What the gate goes by. */
export interface GateOptions {
  readonly clock: Clock;
  readonly config: ConfigStore;
  readonly service: ServiceId;
  /** The oldest confirmation of the configuration that counts, in milliseconds. */
  readonly configAgeMs: Millis;
}

/** Lets attempts through, by the agent's own configuration. */
export class Gate {
  readonly #options: GateOptions;

  #isLeaving = false;

  /** @param options - the configuration and what the agent serves */
  constructor(options: GateOptions) {
    this.#options = options;
  }

  /** Whether the target takes no new work. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Whether the configuration is known and was confirmed lately. */
  get isReady(): boolean {
    const { config, configAgeMs } = this.#options;
    return isSome(config.view) && config.isFresh(configAgeMs);
  }

  /** Takes no new work from now on. */
  leave(): void {
    this.#isLeaving = true;
  }

  /**
   * Decides on an attempt that has just arrived.
   *
   * @param run - the attempt
   * @returns nothing, or why it must not run
   */
  admit(run: Run): Result<void, Failure> {
    if (this.#isLeaving) return refuse('target_leaving', RETRY_SOON_MS);
    if (run.service !== this.#options.service) return refuse('route_unknown');
    return this.checkKey(run);
  }

  /**
   * Decides whether an attempt may start now: the configuration is fresh and its key is good.
   *
   * @param run - the attempt
   * @returns nothing, or why it must not start
   */
  checkKey(run: Run): Result<void, Failure> {
    const { config, configAgeMs } = this.#options;
    const { view } = config;
    if (isNone(view)) return refuse('not_ready', RETRY_SOON_MS);
    if (!config.isFresh(configAgeMs) || run.configVersion > config.version) {
      return refuse('config_stale', RETRY_SOON_MS);
    }
    return checkHolder(view.value, run);
  }

  /**
   * Decides whether the configuration in force, however old, withdraws an attempt's key.
   *
   * @param run - an attempt that waits or runs
   * @returns nothing, or why its key no longer counts
   */
  recheckKey(run: Run): Result<void, Failure> {
    const { view } = this.#options.config;
    return isNone(view) ? ok(undefined) : checkHolder(view.value, run);
  }
}

function checkHolder(view: ConfigView, run: Run): Result<void, Failure> {
  if (run.publicRoute) return ok(undefined);
  return checkKeyId(view, run.key as KeyId).andThen((holder) =>
    holder.team === run.team ? ok(undefined) : refuse('team_mismatch'),
  );
}

function refuse(name: CodeName, retryAfterMs?: Millis): Result<never, Failure> {
  return err(createFailure(name, retryAfterMs === undefined ? {} : { retryAfterMs }));
}
