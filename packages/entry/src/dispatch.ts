/** A request to dispatch to targets, and the state of its attempts. */
import type {
  Failure,
  KeyId,
  MonoTime,
  RequestId,
  ServiceId,
  TargetId,
  TeamId,
  TrainerId,
} from '@hibiscushill/base';
import type { Header } from '@hibiscushill/protocol';

import type { OutgoingAttempt } from './outgoing-attempt';

/** An admitted request. */
export interface DispatchRequest {
  readonly request: RequestId;
  readonly service: ServiceId;
  /** The caller's team; empty on a public route. */
  readonly team: TeamId | '';
  /** The id of the caller's API key; empty for a request without one. */
  readonly key: KeyId | '';
  readonly isPublic: boolean;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  readonly isIdempotent: boolean;
  readonly isModel: boolean;
  readonly isBillable: boolean;
  /** Whether a second attempt may be sent while the first one is still running. */
  readonly isHedgeable: boolean;
  /** Whether the agent keeps the response after it was delivered, so that it can be read again. */
  readonly retain: boolean;
  /** The caller's idempotency key; empty without one. */
  readonly idempotencyKey: string;
  /** Requests with the same key are preferably sent to the same target. */
  readonly affinityKey?: string;
  readonly deadline: MonoTime;
  /** Estimated cost of the request, in tokens. */
  readonly costTokens: number;
  readonly priority: number;
  readonly trainer?: TrainerId;
  readonly excludedTargets?: ReadonlySet<TargetId>;
  /** Aborts when the request is cancelled. */
  readonly signal: AbortSignal;
  /** Called with the target of each attempt that was sent. */
  readonly onAttemptSent?: (target: TargetId) => void;
}

/** A response whose head has arrived; its body follows as events of the attempt. */
export interface OpenResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly attempt: OutgoingAttempt;
}

/** The state of one request across all its attempts. */
export class DispatchState {
  readonly req: DispatchRequest;

  readonly triedTargets: Set<TargetId>;

  /** Attempts that have neither failed nor delivered a response head. */
  readonly openAttempts: OutgoingAttempt[] = [];

  attemptCount = 0;

  /** Whether any failed attempt may have run at its target. */
  mayHaveRun = false;

  lastFailure: Failure | undefined;

  /** When a second attempt is due, because the first one is slow or its link is down. */
  secondAttemptAt: MonoTime | undefined;

  /** @param req - the request; its excluded targets count as tried */
  constructor(req: DispatchRequest) {
    this.req = req;
    this.triedTargets = new Set(req.excludedTargets ?? []);
  }

  /** Sets when a second attempt is due; undefined for none. */
  scheduleSecondAttempt(at: number | undefined): void {
    this.secondAttemptAt = at as MonoTime | undefined;
  }

  /** Adds an attempt that was sent. */
  addAttempt(attempt: OutgoingAttempt): void {
    this.attemptCount += 1;
    this.openAttempts.push(attempt);
  }

  /** Records the failure of an attempt. */
  recordFailure(failure: Failure): void {
    this.lastFailure = failure;
    if (failure.run === 'may-have-run') this.mayHaveRun = true;
  }
}
