/** The trainer API apart from its transport, so that it can be forwarded between entries. */
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

import type { TrainerDesk } from './desk';
import { SampleGroups, StepName, VersionNumber } from './records';

/** A trainer's call, checked for the key's team but not for its content. */
export type TrainerCall =
  | { readonly kind: 'publish'; readonly trainer: TrainerId; readonly body: unknown }
  | { readonly kind: 'create'; readonly trainer: TrainerId; readonly body: unknown }
  | { readonly kind: 'samples'; readonly trainer: TrainerId; readonly body: unknown };

/** The answer to a trainer's call. */
export interface TrainerReply {
  readonly status: number;
  readonly body: unknown;
}

/** Knows which entry owns a trainer, and passes calls on to it. */
export abstract class OwnerDirectory {
  /**
   * Names the owner of a trainer.
   *
   * @param trainer - the trainer
   * @returns the owner's instance id or address, if it is known
   */
  abstract find(trainer: TrainerId): Option<string>;

  /**
   * Passes a call on to the owner, which serves it or refuses it but never passes it on again.
   *
   * @param owner - what `find` gave
   * @param call - the call
   * @param signal - aborts when the trainer goes away
   * @returns the owner's answer
   */
  abstract forward(
    owner: string,
    call: TrainerCall,
    signal: AbortSignal,
  ): ResultAsync<TrainerReply, Failure>;
}

/** What the service needs. */
export interface TrainerServiceDeps {
  /** Finds the desk of a declared trainer. */
  readonly desk: (trainer: TrainerId) => Option<TrainerDesk>;
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

/** Serves trainers' calls at the owner, and passes them on to it elsewhere. */
export class TrainerService {
  readonly #deps: TrainerServiceDeps;

  /** @param deps - the desks of this process and the way to the others */
  constructor(deps: TrainerServiceDeps) {
    this.#deps = deps;
  }

  /**
   * Serves a call here, or passes it on to the owner once.
   *
   * @param call - the call
   * @param signal - aborts when the trainer goes away
   * @returns the answer, made at the moment the promise resolves
   */
  async handle(call: TrainerCall, signal: AbortSignal): Promise<TrainerReply> {
    const desk = this.#deps.desk(call.trainer);
    if (isSome(desk) && desk.value.isOwner) return this.serve(call, signal);
    const owner = this.#deps.owners.find(call.trainer);
    if (!isSome(owner)) return this.#refuse(createFailure('not_owner', { retryAfterMs: 500 }));
    const reply = await this.#deps.owners.forward(owner.value, call, signal);
    if (reply.isOk()) return reply.value;
    return this.#refuse({ ...reply.error, detail: `owner ${owner.value}` });
  }

  /**
   * Serves a call here or refuses it; for calls that another entry has passed on.
   *
   * @param call - the call
   * @param signal - aborts when the trainer goes away
   * @returns the answer, made at the moment the promise resolves
   */
  async serve(call: TrainerCall, signal: AbortSignal): Promise<TrainerReply> {
    const desk = this.#deps.desk(call.trainer);
    if (!isSome(desk)) return this.#refuse(createFailure('route_unknown'));
    const result = await this.#run(desk.value, call, signal);
    return result.match(
      (body) => ({ status: 200, body }),
      (failure) => this.#refuse(failure),
    );
  }

  async #run(
    desk: TrainerDesk,
    call: TrainerCall,
    signal: AbortSignal,
  ): Promise<Result<object, Failure>> {
    if (call.kind === 'publish') {
      const body = parse(PublishBody, call.body);
      return body.isErr() ? err(body.error) : desk.publish(body.value.version, body.value.source);
    }
    if (call.kind === 'create') {
      const body = parse(CreateBody, call.body);
      return body.isErr() ? err(body.error) : desk.createStep(body.value.step, body.value.groups);
    }
    const body = parse(SamplesBody, call.body);
    return body.isErr() ? err(body.error) : desk.samples({ ...body.value, signal });
  }

  #refuse(failure: Failure): TrainerReply {
    this.#deps.metrics.countRefusal(failure.code);
    const { code, status } = RESULT_CODES[failure.code];
    const { detail, retryAfterMs, run } = failure;
    return { status, body: { code, name: failure.code, run, detail, retryAfterMs } };
  }
}

function parse<T>(schema: z.ZodType<T>, body: unknown): Result<T, Failure> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  const detail = parsed.error.issues
    .slice(0, 3)
    .map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
  return err(createFailure('request_invalid', { detail }));
}
