/** The trainer API without its transport, so that calls can be forwarded between entries. */
import {
  RESULT_CODES,
  createFailure,
  type Failure,
  type Metrics,
  type Millis,
  type TrainerId,
} from '@hibiscushill/base';
import { isSome, type Option } from 'fp-ts/Option';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import { z } from 'zod';

import type { TrainerCoordinator } from './trainer-coordinator';
import { SampleGroups, StepName, VersionNumber } from './records';

/** A trainer's call whose key has been checked and whose body has not been validated. */
export type TrainerCall =
  | { readonly kind: 'publish'; readonly trainer: TrainerId; readonly body: unknown }
  | { readonly kind: 'create'; readonly trainer: TrainerId; readonly body: unknown }
  | { readonly kind: 'samples'; readonly trainer: TrainerId; readonly body: unknown };

/** The reply to a trainer's call: an HTTP status and a body that is sent as JSON. */
export interface TrainerReply {
  readonly status: number;
  readonly body: unknown;
}

/** Finds the entry that owns a trainer, and forwards calls to it. */
export abstract class OwnerDirectory {
  /**
   * Finds the owner of a trainer.
   *
   * @param trainer - the trainer
   * @returns the owner's instance id or address, if it is known
   */
  abstract find(trainer: TrainerId): Option<string>;

  /**
   * Forwards a call to the owner, which handles it itself and never forwards it again.
   *
   * @param owner - what `find` returned
   * @param call - the call
   * @param signal - aborts when the trainer disconnects
   * @returns the owner's reply, or a failure when none was received
   */
  abstract forward(
    owner: string,
    call: TrainerCall,
    signal: AbortSignal,
  ): ResultAsync<TrainerReply, Failure>;
}

/** The trainers of this process and the way to those of other entries. */
export interface TrainerServiceDeps {
  /** Finds the coordinator of a declared trainer in this process. */
  readonly findCoordinator: (trainer: TrainerId) => Option<TrainerCoordinator>;
  readonly owners: OwnerDirectory;
  readonly metrics: Metrics;
}

const MAX_WAIT_MS: Millis = 30_000;

const PublishBody = z.strictObject({ version: VersionNumber, source: z.string().default('') });

const CreateBody = z.strictObject({ step: StepName, groups: SampleGroups });

const SamplesBody = z.object({
  step: StepName,
  after: z.coerce.number().int().min(0).default(0),
  waitMs: z.coerce.number().int().min(0).max(MAX_WAIT_MS).default(0),
});

/** Handles trainers' calls here if this process owns the trainer, and otherwise forwards them. */
export class TrainerService {
  readonly #deps: TrainerServiceDeps;

  /** @param deps - the trainers of this process and the way to other entries */
  constructor(deps: TrainerServiceDeps) {
    this.#deps = deps;
  }

  /**
   * Handles a call here, or forwards it to the trainer's owner.
   *
   * @param call - the call
   * @param signal - aborts when the trainer disconnects
   * @returns the reply; failures become replies with their result code
   */
  async handle(call: TrainerCall, signal: AbortSignal): Promise<TrainerReply> {
    const coordinator = this.#deps.findCoordinator(call.trainer);
    if (isSome(coordinator) && coordinator.value.isOwner) return this.handleLocally(call, signal);
    const owner = this.#deps.owners.find(call.trainer);
    if (!isSome(owner)) return this.#refuse(createFailure('not_owner', { retryAfterMs: 500 }));
    const reply = await this.#deps.owners.forward(owner.value, call, signal);
    if (reply.isOk()) return reply.value;
    return this.#refuse({
      ...reply.error,
      detail: `forwarding to the owner ${owner.value} failed`,
    });
  }

  /**
   * Handles a call here without forwarding it, for calls that another entry has forwarded.
   *
   * @param call - the call
   * @param signal - aborts when the trainer disconnects
   * @returns the reply, which is created at the moment the promise resolves, so that its samples
   *   aren't stale then; failures become replies with their result code
   */
  async handleLocally(call: TrainerCall, signal: AbortSignal): Promise<TrainerReply> {
    const coordinator = this.#deps.findCoordinator(call.trainer);
    if (!isSome(coordinator)) return this.#refuse(createFailure('route_unknown'));
    const result = await this.#execute(coordinator.value, call, signal);
    return result.match(
      (body) => ({ status: 200, body }),
      (failure) => this.#refuse(failure),
    );
  }

  async #execute(
    coordinator: TrainerCoordinator,
    call: TrainerCall,
    signal: AbortSignal,
  ): Promise<Result<object, Failure>> {
    if (call.kind === 'publish') {
      const body = parseBody(PublishBody, call.body);
      return body.isErr()
        ? err(body.error)
        : coordinator.publish(body.value.version, body.value.source);
    }
    if (call.kind === 'create') {
      const body = parseBody(CreateBody, call.body);
      return body.isErr()
        ? err(body.error)
        : coordinator.createStep(body.value.step, body.value.groups);
    }
    const body = parseBody(SamplesBody, call.body);
    return body.isErr() ? err(body.error) : coordinator.readSamples({ ...body.value, signal });
  }

  #refuse(failure: Failure): TrainerReply {
    this.#deps.metrics.countRefusal(failure.code);
    const { code, status } = RESULT_CODES[failure.code];
    const { detail, retryAfterMs, run } = failure;
    return { status, body: { code, name: failure.code, run, detail, retryAfterMs } };
  }
}

function parseBody<T>(schema: z.ZodType<T>, body: unknown): Result<T, Failure> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  const detail = parsed.error.issues
    .slice(0, 3)
    .map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
  return err(createFailure('request_invalid', { detail }));
}
