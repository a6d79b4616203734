/** Admission: a request is let in or refused at once. */
import type { Failure, Millis, ServiceId } from '@hibiscushill/base';
import type { Team } from '@hibiscushill/config';
import { type Result, ok } from 'neverthrow';

/** What the decision goes by. */
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

/** A request that was let in. */
export interface Admission {
  readonly costTokens: number;

  /**
   * Replaces the estimated cost by the actual one.
   *
   * @param actualTokens - the cost; zero when the request did not run
   */
  settle(actualTokens: number): void;

  /** Gives the request's place in flight back. Calling it again has no effect. */
  release(): void;
}

/** Lets requests in or refuses them. */
export abstract class AdmissionPolicy {
  /**
   * Decides on a request.
   *
   * @param req - what the decision goes by
   * @returns the admission, which has to be released, or the refusal
   */
  abstract admit(req: AdmissionRequest): Result<Admission, Failure>;
}

/** Lets every request in. */
export class OpenAdmission extends AdmissionPolicy {
  override admit({ costTokens }: AdmissionRequest): Result<Admission, Failure> {
    return ok({ costTokens, settle: () => undefined, release: () => undefined });
  }
}
