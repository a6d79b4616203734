/** Decides whether an attempt may run at the agent's target. */
import {
  type Clock,
  type CodeName,
  type KeyId,
  type Millis,
  type MonoTime,
  type ServiceId,
  createFailure,
  type Failure,
} from '@hibiscushill/base';
import { type ConfigStore, type ConfigView, checkKeyId } from '@hibiscushill/config';
import type { Run } from '@hibiscushill/protocol';
import { isNone, isSome } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

const RETRY_AFTER_MS: Millis = 100;

/** The configuration, and the service that the agent's target belongs to. */
export interface AdmissionControllerOptions {
  readonly clock: Clock;
  readonly config: ConfigStore;
  readonly service: ServiceId;
  /** The maximum time since the configuration was confirmed. */
  readonly configAgeMs: Millis;
}

/** Admits attempts by the agent's own copy of the configuration. */
export class AdmissionController {
  readonly #options: AdmissionControllerOptions;

  // When the agent learnt that the target is leaving.
  #leavingSince: MonoTime | undefined;

  /** @param options - the configuration and the agent's service */
  constructor(options: AdmissionControllerOptions) {
    this.#options = options;
  }

  /** Whether the target is leaving, so that no new attempts are admitted. */
  get isLeaving(): boolean {
    return this.#leavingSince !== undefined;
  }

  /** For how long the target has been leaving; undefined while it serves. */
  get leavingAgeMs(): Millis | undefined {
    if (this.#leavingSince === undefined) return undefined;
    return this.#options.clock.mono() - this.#leavingSince;
  }

  /** Whether a configuration is known and was confirmed recently enough. */
  get isReady(): boolean {
    const { config, configAgeMs } = this.#options;
    return isSome(config.view) && config.isFresh(configAgeMs);
  }

  /** Admits no new attempts from now on. */
  markLeaving(): void {
    this.#leavingSince ??= this.#options.clock.mono();
  }

  /**
   * Checks an attempt that has just arrived.
   *
   * @param run - the attempt
   * @returns nothing, or why it must not run
   */
  admit(run: Run): Result<void, Failure> {
    if (this.isLeaving) return refuse('target_leaving', RETRY_AFTER_MS);
    if (run.service !== this.#options.service) return refuse('route_unknown');
    return this.checkStart(run);
  }

  /**
   * Checks whether an attempt may start now: whether the configuration is fresh, is not older than
   * the entry's, and declares the attempt's API key.
   *
   * @param run - the attempt
   * @returns nothing, or why it must not start
   */
  checkStart(run: Run): Result<void, Failure> {
    const { config, configAgeMs } = this.#options;
    const { view } = config;
    if (isNone(view)) return refuse('not_ready', RETRY_AFTER_MS);
    if (!config.isFresh(configAgeMs) || run.configVersion > config.version) {
      return refuse('config_stale', RETRY_AFTER_MS);
    }
    return checkKeyAndTeam(view.value, run);
  }

  /**
   * Checks whether the current configuration, however old, has withdrawn an attempt's API key.
   *
   * @param run - an attempt that waits or runs
   * @returns nothing, or why its key is no longer valid
   */
  recheckKey(run: Run): Result<void, Failure> {
    const { view } = this.#options.config;
    return isNone(view) ? ok(undefined) : checkKeyAndTeam(view.value, run);
  }
}

function checkKeyAndTeam(view: ConfigView, run: Run): Result<void, Failure> {
  if (run.publicRoute) return ok(undefined);
  return checkKeyId(view, run.key as KeyId).andThen((key) =>
    key.team === run.team ? ok(undefined) : refuse('team_mismatch'),
  );
}

function refuse(name: CodeName, retryAfterMs?: Millis): Result<never, Failure> {
  return err(createFailure(name, retryAfterMs === undefined ? {} : { retryAfterMs }));
}
