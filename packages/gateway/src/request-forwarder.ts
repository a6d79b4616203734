/** Serves short requests and streams straight from targets. */
import {
  type Clock,
  type CodeName,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  RESULT_CODES,
  type RunState,
  type ServiceId,
  type TargetId,
  type TeamId,
} from '@hibiscushill/base';
import { spreadRetryAfter } from '@hibiscushill/routing';

import { Attempt, type AttemptResult } from './attempt';
import type { OwnAnswer } from './caller-port';
import type { TargetDirectory, TargetEntry } from './target-directory';
import type { RouteBackend, ServingRoute } from './serving-config';
import type { TargetChooser } from './target-chooser';
import type { TargetAnswerHead, TargetClient } from './target-port';
import type { TargetStats } from './target-stats';

// Sends that were refused without running, beyond the runs that the route allows.
const EXTRA_SENDS = 4;
// A second target is asked when the first has used this part of the goal.
const HEDGE_GOAL_SHARE = 0.5;
const LEAST_HEDGE_MS = 40;
// With less than this left, no target could answer in time.
const LEAST_REMAINING_MS = 5;
// When a full service is likely to have a free slot: a few usual answers later.
const FULL_RETRY_MS = 120;
const ELSEWHERE_RETRY_MS = 40;

/** A request that is ready to be sent to targets. */
export interface ForwardRequest {
  readonly id: TargetCallId;
  readonly route: ServingRoute;
  readonly team: TeamId | undefined;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly endsAt: MonoTime;
  readonly resumeAfter?: number;
  /** Asked before each send; false when the request's key can't be trusted any more. */
  readonly mayRun: () => boolean;
  /** Ends the request when its caller has left. */
  readonly signal: AbortSignal;
  /** Called for each whole answer with a status of 500. */
  readonly onServerError?: () => void;
}

type TargetCallId = Attempt['call']['id'];

/** How a forwarded request ended. */
export type ForwardResult =
  | { readonly type: 'answered'; readonly head: TargetAnswerHead; readonly body: Buffer }
  | { readonly type: 'streaming'; readonly attempt: Attempt; readonly head: TargetAnswerHead }
  | { readonly type: 'refused'; readonly answer: OwnAnswer }
  | { readonly type: 'cancelled' };

/** What a forwarder runs on. */
export interface ForwarderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly client: TargetClient;
  readonly directory: TargetDirectory;
  readonly stats: TargetStats;
  readonly chooser: TargetChooser;
  /** Called for each request that a target began to run. */
  readonly onRun: (req: ForwardRequest, at: MonoTime) => void;
}

/** Sends each request to targets until one answers, as often as its kind allows. */
export class RequestForwarder {
  readonly #options: ForwarderOptions;

  /** @param options - the targets and how they are called */
  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards one request.
   *
   * @param req - the request
   * @returns a target's answer, or why there is none
   */
  async forward(req: ForwardRequest): Promise<ForwardResult> {
    return new ForwardTask(this.#options, req).run();
  }
}

/**
 * Makes an answer of the system's own.
 *
 * @param code - the result code
 * @param detail - what happened, for the logs and the body
 * @param options - whether the request may have run, and when to come back
 */
export function createAnswer(
  code: CodeName,
  detail: string,
  options: { readonly run?: RunState; readonly retryAfterMs?: Millis } = {},
): OwnAnswer {
  const { run = 'not-run', retryAfterMs } = options;
  return { code, status: RESULT_CODES[code].status, run, detail, retryAfterMs };
}

type Step =
  | { readonly type: 'settled'; readonly attempt: Attempt; readonly result: AttemptResult }
  | { readonly type: 'hedge' | 'deadline' | 'cancelled' };

class ForwardTask {
  readonly #options: ForwarderOptions;

  readonly #req: ForwardRequest;

  readonly #service: ServiceId;

  readonly #isRepeatable: boolean;

  readonly #active = new Set<Attempt>();

  readonly #tried = new Set<TargetId>();

  // Sends after which the request may have run.
  #runs = 0;

  #sends = 0;

  #isHedged = false;

  #lastReason = 'no target is available';

  #lastFailure: Extract<AttemptResult, { type: 'answered' }> | undefined;

  constructor(options: ForwarderOptions, req: ForwardRequest) {
    this.#options = options;
    this.#req = req;
    this.#service = pickBackend(req.route.backends, options.random);
    const { kind, isResumable } = req.route;
    this.#isRepeatable = kind === 'idempotent' || (kind === 'stream' && isResumable);
  }

  async run(): Promise<ForwardResult> {
    try {
      for (;;) {
        if (this.#active.size === 0 && !this.#send()) return this.#giveUp();
        const step = await this.#next();
        const result = this.#take(step);
        if (result) return result;
      }
    } finally {
      this.#active.forEach((attempt) => attempt.cancel());
    }
  }

  #remainingMs(): Millis {
    return this.#req.endsAt - this.#options.clock.mono();
  }

  async #next(): Promise<Step> {
    const { clock } = this.#options;
    // Ends the waits that lost the race, which otherwise pile up with each attempt.
    const decided = new AbortController();
    const { signal } = decided;
    const steps: Promise<Step>[] = [...this.#active].map((attempt) =>
      attempt.result.then((result) => ({ type: 'settled', attempt, result }) as const),
    );
    steps.push(clock.sleep(this.#remainingMs(), signal).then(() => ({ type: 'deadline' })));
    if (this.#mayHedge()) {
      const [first] = this.#active;
      const waitMs = this.#hedgeMs() - (first?.ageMs ?? 0);
      steps.push(clock.sleep(Math.max(0, waitMs), signal).then(() => ({ type: 'hedge' })));
    }
    steps.push(waitAborted(this.#req.signal, signal).then(() => ({ type: 'cancelled' })));
    const step = await Promise.race(steps);
    decided.abort();
    return step;
  }

  #mayHedge(): boolean {
    const { kind, maxRuns } = this.#req.route;
    return kind === 'idempotent' && !this.#isHedged && this.#runs < maxRuns;
  }

  #hedgeMs(): Millis {
    return Math.max(LEAST_HEDGE_MS, this.#req.route.goalMs * HEDGE_GOAL_SHARE);
  }

  #take(step: Step): ForwardResult | undefined {
    switch (step.type) {
      case 'cancelled':
        return { type: 'cancelled' };
      case 'deadline':
        return this.#expire();
      case 'hedge':
        this.#isHedged = true;
        if (this.#send()) this.#options.metrics.count('request.hedged');
        return undefined;
      default:
        this.#active.delete(step.attempt);
        return this.#takeResult(step.attempt, step.result);
    }
  }

  #takeResult(attempt: Attempt, result: AttemptResult): ForwardResult | undefined {
    if (result.type === 'streaming') {
      return { type: 'streaming', attempt, head: result.head };
    }
    if (result.type === 'not-run') {
      this.#runs -= 1;
      this.#noteFailure(attempt, result.reason);
      return undefined;
    }
    if (result.type === 'lost') {
      this.#noteFailure(attempt, result.reason);
      return undefined;
    }
    const { head, body } = result;
    if (head.status < 500 || !this.#isRepeatable) return { type: 'answered', head, body };
    if (head.status === 500) this.#req.onServerError?.();
    this.#lastFailure = result;
    this.#noteFailure(attempt, `status ${head.status}`);
    return undefined;
  }

  #noteFailure(attempt: Attempt, reason: string): void {
    this.#lastReason = reason;
    this.#options.metrics.count('attempt.failed');
    this.#options.logger.info('An attempt brought no answer.', {
      id: this.#req.id,
      target: attempt.call.target.id,
      ageMs: Math.round(attempt.ageMs),
      reason,
      runs: this.#runs,
    });
  }

  /** Sends the request to another target; false when that isn't possible or not allowed. */
  #send(): boolean {
    const { route } = this.#req;
    if (this.#runs >= (this.#isRepeatable ? route.maxRuns : 1)) return false;
    if (this.#sends >= route.maxRuns + EXTRA_SENDS) return false;
    const remainingMs = this.#remainingMs();
    if (remainingMs < LEAST_REMAINING_MS || !this.#req.mayRun()) return false;
    const target = this.#choose();
    if (!target) return false;
    this.#tried.add(target.id);
    this.#sends += 1;
    this.#runs += 1;
    this.#start(target, remainingMs);
    return true;
  }

  #choose(): TargetEntry | undefined {
    const targets = this.#options.directory.listUsable(this.#service);
    return this.#options.chooser.choose(targets, this.#tried);
  }

  #start(target: TargetEntry, remainingMs: Millis): void {
    const { id, method, path, host, headers, body, team, resumeAfter } = this.#req;
    const { client, stats, clock } = this.#options;
    const attempt = new Attempt(
      { client, stats, clock },
      {
        target,
        method,
        path,
        host,
        headers,
        body: body.length > 0 ? body : undefined,
        id,
        deadlineMs: remainingMs,
        team,
        isFresh: !this.#isRepeatable,
        ...(resumeAfter !== undefined && { resumeAfter }),
      },
    );
    const sentAt = clock.mono();
    this.#active.add(attempt);
    void attempt.result.then((result) => {
      if (result.type !== 'not-run') this.#options.onRun(this.#req, sentAt);
    });
  }

  #expire(): ForwardResult {
    const run = this.#runs > 0 ? 'may-have-run' : 'not-run';
    this.#active.forEach((attempt) => attempt.abandon());
    if (run === 'not-run') return this.#refuse('deadline_unreachable', ELSEWHERE_RETRY_MS);
    return {
      type: 'refused',
      answer: createAnswer('deadline_exceeded', this.#lastReason, { run }),
    };
  }

  #giveUp(): ForwardResult {
    if (this.#lastFailure) return this.#lastFailure;
    if (this.#runs > 0) {
      const answer = createAnswer('outcome_unknown', this.#lastReason, { run: 'may-have-run' });
      return { type: 'refused', answer };
    }
    if (!this.#req.mayRun()) return this.#refuse('config_stale', ELSEWHERE_RETRY_MS);
    return this.#refuse('no_target', FULL_RETRY_MS);
  }

  #refuse(code: CodeName, retryMs: Millis): ForwardResult {
    const retryAfterMs = spreadRetryAfter(retryMs, this.#options.random);
    return { type: 'refused', answer: createAnswer(code, this.#lastReason, { retryAfterMs }) };
  }
}

/**
 * Picks one of a route's services by their weights.
 *
 * @param backends - at least one
 * @param random - the random source
 */
export function pickBackend(backends: readonly RouteBackend[], random: RandomSource): ServiceId {
  const total = backends.reduce((sum, backend) => sum + backend.weight, 0);
  let left = random.fraction() * total;
  const found = backends.find((backend) => {
    left -= backend.weight;
    return left < 0;
  });
  return (found ?? backends[0])?.service ?? ('' as ServiceId);
}

function waitAborted(signal: AbortSignal, over: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
      return;
    }
    signal.addEventListener('abort', () => resolve(), { once: true, signal: over });
  });
}
