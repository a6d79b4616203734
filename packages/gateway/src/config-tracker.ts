/** The newest configuration that this process knows, and how fresh that knowledge is. */
import {
  type Clock,
  type Logger,
  type Metrics,
  type Millis,
  type WeightVersion,
  createLogger,
} from '@hibiscushill/base';

import { ConfigView } from './config-view';
import type { ModelId, ServingConfig } from './serving-config';

/** Tells how old the newest proof of freshness is. */
export interface FreshnessProof {
  readonly proofAgeMs: Millis;
}

/** What a configuration book needs. */
export interface ConfigBookOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** For how long after a key was withdrawn it may still be used, in milliseconds. */
  readonly withdrawnKeyMs: Millis;
}

// A request is on its way to its target for less than this after its key was checked.
const KEY_MARGIN_MS = 500;
// Three fifths of the bound on withdrawn keys: from then on callers are better served elsewhere.
const READY_SHARE = 0.6;

/** Keeps the newest configuration and the newest named weight versions; neither ever goes back. */
export class ConfigBook {
  readonly #options: ConfigBookOptions;

  readonly #logger: Logger = createLogger('gateway.config');

  readonly #versions = new Map<ModelId, WeightVersion>();

  readonly #changed = new Set<() => void>();

  #proof: FreshnessProof = { proofAgeMs: Infinity };

  #view: ConfigView | undefined;

  /** @param options - the clock and the bound on withdrawn keys */
  constructor(options: ConfigBookOptions) {
    this.#options = options;
  }

  /** The newest configuration, or undefined before the first was read. */
  get view(): ConfigView | undefined {
    return this.#view;
  }

  /** How old the newest proof is that nothing newer was confirmed, in milliseconds. */
  get proofAgeMs(): Millis {
    return this.#proof.proofAgeMs;
  }

  /** Whether keys may be trusted now: none that was withdrawn too long ago can be among them. */
  get areKeysFresh(): boolean {
    return this.proofAgeMs < this.#options.withdrawnKeyMs - KEY_MARGIN_MS;
  }

  /** Whether this process should be sent callers. */
  get isReady(): boolean {
    const staleMs = this.#options.withdrawnKeyMs * READY_SHARE;
    return this.#view !== undefined && this.proofAgeMs < staleMs;
  }

  /** Sets where the proofs come from. */
  followProof(proof: FreshnessProof): void {
    this.#proof = proof;
  }

  /** Calls a function after each change of the configuration or of a named version. */
  onChanged(handle: () => void): void {
    this.#changed.add(handle);
  }

  /**
   * Takes a configuration unless a newer one is known.
   *
   * @param config - a configuration that the operators confirmed
   */
  take(config: ServingConfig): void {
    if (this.#view !== undefined && config.version <= this.#view.version) return;
    this.#view = new ConfigView(config);
    this.#options.metrics.gauge('config.version', config.version);
    this.#logger.info('A configuration is in force.', {
      version: config.version,
      routes: config.routes.length,
      teams: config.teams?.length ?? 0,
    });
    this.#announce();
  }

  /**
   * Takes the newest named version of a model's weights.
   *
   * @param model - the model
   * @param version - the version, which only rises
   */
  takeVersion(model: ModelId, version: WeightVersion): void {
    if (version <= (this.#versions.get(model) ?? 0)) return;
    this.#versions.set(model, version);
    this.#logger.info('A weight version was named.', { model, version });
    this.#announce();
  }

  /** The newest named version of a model; 1 before any was named. */
  versionOf(model: ModelId): WeightVersion {
    return this.#versions.get(model) ?? (1 as WeightVersion);
  }

  #announce(): void {
    this.#changed.forEach((handle) => handle());
  }
}
