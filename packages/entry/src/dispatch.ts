/** A request on its way to targets, with the state of its attempts. */
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

/** A request that was admitted. */
export interface DispatchRequest {
  readonly request: RequestId;
  readonly service: ServiceId;
  readonly team: TeamId | '';
  readonly key: KeyId | '';
  readonly isPublic: boolean;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  readonly isIdempotent: boolean;
  readonly isModel: boolean;
  readonly isBillable: boolean;
  /** Whether a second attempt may be sent while the first is under way. */
  readonly mayHedge: boolean;
  readonly retain: boolean;
  readonly idempotencyKey: string;
  readonly affinityKey?: string;
  readonly deadline: MonoTime;
  readonly costTokens: number;
  readonly priority: number;
  readonly trainer?: TrainerId;
  readonly exclude?: ReadonlySet<TargetId>;
  readonly signal: AbortSignal;
  readonly onTarget?: (target: TargetId) => void;
}

/** An answer whose head has arrived; its body follows as events of the attempt. */
export interface OpenAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly attempt: OutgoingAttempt;
}

/** One request's state over all its attempts. */
export class Dispatch {
  readonly req: DispatchRequest;

  readonly tried: Set<TargetId>;

  readonly open: OutgoingAttempt[] = [];

  attempts = 0;

  mayHaveRun = false;

  lastFailure: Failure | undefined;

  /** When a second attempt is due, because the first is slow or its link is broken. */
  secondAt: MonoTime | undefined;

  constructor(req: DispatchRequest) {
    this.req = req;
    this.tried = new Set(req.exclude ?? []);
  }

  scheduleSecond(at: number | undefined): void {
    this.secondAt = at as MonoTime | undefined;
  }

  add(attempt: OutgoingAttempt): void {
    this.attempts += 1;
    this.open.push(attempt);
  }

  noteFailure(failure: Failure): void {
    this.lastFailure = failure;
    if (failure.run === 'may-have-run') this.mayHaveRun = true;
  }
}
