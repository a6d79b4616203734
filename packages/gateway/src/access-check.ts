/** By what right callers are served, as far as the configuration that was read last tells. */
import type { RandomSource } from '@hibiscushill/base';
import { type CallerAccess, decideAccess, jitterRetryAfter } from '@hibiscushill/routing';

import type {
  CallerRequest,
  GatewayAnswer,
  ItemSpec,
  Outcome,
  SubmissionSpec,
} from './caller-port';
import type { ConfigTracker } from './config-tracker';
import { createGatewayAnswer } from './gateway-answer';
import type { ServingRoute } from './serving-config';

// A retry is likely to reach another process, which may be able to serve it at once.
const OTHER_PROCESS_RETRY_MS = 40;

/** What refusals for good tell their callers, by code. */
const DENIALS = {
  route_unknown: 'No route matches the host and path.',
  key_missing: 'The request has no key.',
  key_unknown: 'The key is not known.',
} as const;

/** The configuration, and the source of the spread of retries. */
export interface AccessCheckOptions {
  readonly config: ConfigTracker;
  readonly random: RandomSource;
}

/** Authenticates calls, and refuses those that have no access. */
export class AccessCheck {
  readonly #options: AccessCheckOptions;

  /** @param options - the configuration */
  constructor(options: AccessCheckOptions) {
    this.#options = options;
  }

  /**
   * Finds by what right a call is served, or refuses it.
   *
   * @param route - the route that it matched; undefined for calls that name none
   * @param key - the key that it brought, if any
   */
  authenticate(route: ServingRoute | undefined, key: string | undefined): Outcome<CallerAccess> {
    const { config } = this.#options;
    const { current } = config;
    if (!current)
      return {
        isOk: false,
        answer: this.createUnreadyRefusal(
          'not_ready',
          'The process has not read a configuration yet.',
        ),
      };
    const decision = decideAccess({
      hasTeams: current.needsKeys,
      isPublic: route?.isPublic ?? false,
      hasKey: key !== undefined,
      holder: key === undefined ? undefined : current.findTeam(key)?.name,
      canTrustKeys: config.canTrustKeys,
    });
    if (decision.type === 'granted') return { isOk: true, value: decision.access };
    const { reason } = decision;
    if (reason === 'keys_unconfirmed') return { isOk: false, answer: this.#createStaleRefusal() };
    return { isOk: false, answer: this.createDenial(reason) };
  }

  /**
   * Checks that it can be told which team a submission belongs to, and that one of no team has no
   * items on routes that need a key. Returns the refusal, if any.
   */
  checkOwnership(
    { key, host }: CallerRequest,
    { items }: SubmissionSpec,
    { team, basis }: CallerAccess,
  ): GatewayAnswer | undefined {
    if (basis !== 'public' || team !== undefined) return undefined;
    const { current, canDeny } = this.#options.config;
    // The team of a key that was added lately may not be read yet.
    if (key !== undefined && !canDeny) return this.#createStaleRefusal();
    const isPrivate = ({ path }: ItemSpec): boolean =>
      current?.findRoute(host, path)?.isPublic === false;
    if (!items.some(isPrivate)) return undefined;
    return this.createDenial(key === undefined ? 'key_missing' : 'key_unknown');
  }

  /** Whether a request that was authenticated earlier may still be sent to a target. */
  isStillGranted({ team, basis }: CallerAccess, key: string | undefined): boolean {
    const { config } = this.#options;
    if (basis !== 'key' || key === undefined) return true;
    return config.canTrustKeys && config.current?.findTeam(key)?.name === team;
  }

  /**
   * Refuses a request for good, after which its caller doesn't try again; or for now, if what is
   * missing may be in a configuration that wasn't read yet.
   */
  createDenial(code: keyof typeof DENIALS): GatewayAnswer {
    if (!this.#options.config.canDeny) return this.#createStaleRefusal();
    return createGatewayAnswer(code, DENIALS[code]);
  }

  #createStaleRefusal(): GatewayAnswer {
    const detail = `The configuration was confirmed ${Math.round(this.#options.config.proofAgeMs)} ms ago.`;
    return this.createUnreadyRefusal('config_stale', detail);
  }

  /** Refuses a request for now, which its caller may send again at once. */
  createUnreadyRefusal(
    code: 'not_ready' | 'config_stale' | 'shutting_down',
    detail: string,
  ): GatewayAnswer {
    const retryAfterMs = jitterRetryAfter(OTHER_PROCESS_RETRY_MS, this.#options.random);
    return createGatewayAnswer(code, detail, { retryAfterMs });
  }
}
