/** Admission control: a request is admitted or refused as soon as it arrives. */
import type { Failure, Millis, ServiceId } from '@hibiscushill/base';
import type { Team } from '@hibiscushill/config';
import { type Result, ok } from 'neverthrow';

/** The properties of a request that decide on its admission. */
export interface AdmissionRequest {
  readonly team: Pick<Team, 'name' | 'bounds'>;
  readonly service: ServiceId;
  /** The estimated cost. */
  readonly costTokens: number;
  /** The time until the request's deadline, in milliseconds. */
  readonly remainingMs: Millis;
  /** The estimated wait for a slot at the service's targets, in milliseconds. */
  readonly estimatedWaitMs: Millis;
}

/** An admitted request, which counts as in flight until it is released. */
export interface Admission {
  /** The estimated cost that was charged. */
  readonly costTokens: number;

  /**
   * Replaces the cost charged so far by the actual cost, and charges or refunds the difference.
   *
   * @param actualTokens - the actual cost; zero when the request did not run
   */
  adjustCost(actualTokens: number): void;

  /** Ends the request's time in flight. Further calls have no effect. */
  release(): void;
}

/** Decides which requests are admitted. */
export abstract class AdmissionPolicy {
  /**
   * Admits or refuses a request.
   *
   * @param req - the request
   * @returns the admission, which the caller must release, or the refusal
   */
  abstract admit(req: AdmissionRequest): Result<Admission, Failure>;
}

/** Admits every request. */
export class UnboundedAdmission extends AdmissionPolicy {
  override admit({ costTokens }: AdmissionRequest): Result<Admission, Failure> {
    return ok({ costTokens, adjustCost: () => undefined, release: () => undefined });
  }
}
