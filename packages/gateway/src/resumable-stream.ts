/** A request for a stream that can be resumed, as it is bound to the stream's origin. */
import { createHash } from 'node:crypto';

import type { CodeName, Millis, RequestId, StreamKey, TeamId } from '@hibiscushill/base';
import { type StreamOrigin, isSameOrigin } from '@hibiscushill/routing';

import type { ServingRoute } from './serving-config';
import type { StreamExchange } from './stream-exchange';
import type { TargetDirectory, TargetRegistration } from './target-directory';

// A version's first streams wait until it is declared.
const DECLARATION_TIMEOUT_MS = 1_000;
const RETRY_MS = 300;
// Operators evacuate a zone for seconds at least, and a target starts in seconds.
const OUTAGE_RETRY_MS = 1_000;
// 128 bits: no two streams of a deployment have the same key.
const KEY_LENGTH_HEX = 32;

/** The parts of a request that tell which stream it is for. */
export interface StreamRequest {
  readonly id: RequestId;
  readonly team: TeamId | undefined;
  readonly route: ServingRoute;
  /** The number of the last event that its caller has; undefined for a new stream. */
  readonly resumeAfter?: number;
  /** The request that brought the stream's first event; undefined if the caller names none. */
  readonly resumes?: RequestId;
}

/** Why a stream can neither begin nor go on now. */
export interface StreamRefusal {
  readonly code: CodeName;
  readonly detail: string;
  /** Undefined if it is refused for good. */
  readonly retryMs: Millis | undefined;
}

/** Whether a route's streams can be resumed. */
export function hasResumableStreams({ kind, isResumable }: ServingRoute): boolean {
  return kind === 'stream' && isResumable;
}

/** Decides at which targets one request for a stream may run. */
export class ResumableStream {
  readonly #exchange: StreamExchange;

  readonly #directory: TargetDirectory;

  readonly #req: StreamRequest;

  readonly #isAllowed: (target: TargetRegistration) => boolean;

  /** Where the stream that it resumes began. */
  #origin: StreamOrigin | undefined;

  /**
   * @param exchange - what is known of where streams began
   * @param directory - the targets
   * @param req - the request
   * @param isAllowed - tells whether a target is in a region in which the request may run
   */
  constructor(
    exchange: StreamExchange,
    directory: TargetDirectory,
    req: StreamRequest,
    isAllowed: (target: TargetRegistration) => boolean = () => true,
  ) {
    this.#exchange = exchange;
    this.#directory = directory;
    this.#req = req;
    this.#isAllowed = isAllowed;
  }

  /** Where the stream that it resumes began; undefined for a new stream. */
  get origin(): StreamOrigin | undefined {
    return this.#origin;
  }

  /**
   * Finds where the request may run.
   *
   * @param maxMs - how long its caller can wait, in milliseconds
   * @returns why it may not run anywhere; undefined if it may
   */
  async prepare(maxMs: Millis): Promise<StreamRefusal | undefined> {
    return this.#req.resumeAfter === undefined
      ? this.#prepareBegin(maxMs)
      : this.#prepareContinuation(maxMs);
  }

  /** Whether it may run at a target. */
  mayRunAt(target: TargetRegistration): boolean {
    if (this.#origin) return isSameOrigin(this.#origin, target);
    return this.#exchange.origins.mayBeginAt(this.#req.route, target);
  }

  /** Records that a target has begun to answer with a stream. */
  recordBegun(target: TargetRegistration): void {
    const { team, id, route, resumeAfter } = this.#req;
    if (resumeAfter !== undefined) return;
    this.#exchange.recordBegun(createStreamKey(team, id), route, target);
  }

  async #prepareBegin(maxMs: Millis): Promise<StreamRefusal | undefined> {
    const { route } = this.#req;
    const { origins } = this.#exchange;
    const hasTargets = route.backends.some(({ service }) =>
      this.#directory.listUsable(service).some((target) => this.#isAllowed(target)),
    );
    const waitMs = Math.min(maxMs, DECLARATION_TIMEOUT_MS);
    if (!hasTargets) return undefined;
    if (await origins.waitUntilDeclared(route, waitMs, this.#isAllowed)) return undefined;
    const detail = 'The software versions of the targets could not be declared.';
    return { code: 'no_target', detail, retryMs: RETRY_MS };
  }

  async #prepareContinuation(maxMs: Millis): Promise<StreamRefusal | undefined> {
    const { team, route, resumes } = this.#req;
    const key = resumes === undefined ? undefined : createStreamKey(team, resumes);
    this.#origin = await this.#exchange.findOrigin(key, route, maxMs);
    if (!this.#origin) {
      const detail = 'It is not known which software version began the stream.';
      const retryMs = resumes === undefined ? undefined : RETRY_MS;
      return { code: 'stream_unknown', detail, retryMs };
    }
    return this.#refuseWithoutTarget(this.#origin);
  }

  /** Refuses to go on with a stream unless a target of its origin can be used. */
  #refuseWithoutTarget(origin: StreamOrigin): StreamRefusal | undefined {
    const isRouted = this.#req.route.backends.some(({ service }) => service === origin.service);
    const targets = (isRouted ? this.#directory.listStaying(origin.service) : []).filter((target) =>
      isSameOrigin(origin, target),
    );
    if (targets.length === 0) {
      const detail = 'No target has the software version that began the stream.';
      return { code: 'stream_version_gone', detail, retryMs: undefined };
    }
    const allowed = targets.filter((target) => this.#isAllowed(target));
    if (allowed.length === 0) {
      const detail = 'No target in an allowed region has the software version of the stream.';
      return { code: 'region_not_allowed', detail, retryMs: OUTAGE_RETRY_MS };
    }
    if (allowed.some((target) => !this.#directory.isEvacuated(target))) return undefined;
    const detail = 'All targets that have the software version of the stream are evacuated.';
    return { code: 'targets_evacuated', detail, retryMs: OUTAGE_RETRY_MS };
  }
}

/** Creates the key of a stream; it tells nothing of the team and the request. */
export function createStreamKey(team: TeamId | undefined, first: RequestId): StreamKey {
  const hash = createHash('sha256')
    .update(JSON.stringify([team ?? null, first]))
    .digest('hex');
  return hash.slice(0, KEY_LENGTH_HEX) as StreamKey;
}
