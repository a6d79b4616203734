/** Finds the entry that owns a trainer, and forwards calls to it. */
import {
  type Failure,
  type InstanceId,
  type Millis,
  type TrainerId,
  createFailure,
} from '@hibiscushill/base';
import { type ForwardedCall, type ForwardedReply, PeerClient } from '@hibiscushill/protocol';
import {
  OwnerDirectory,
  type TrainerCall,
  type TrainerReply,
  type TrainerService,
} from '@hibiscushill/rollout';
import { type Option, fromNullable, isSome, none } from 'fp-ts/Option';
import { type ResultAsync, errAsync } from 'neverthrow';

// The time for the call itself, in addition to the time that the owner may wait for samples.
const FORWARD_MARGIN_MS: Millis = 3000;
const MAX_CALL_WAIT_MS: Millis = 30_000;
const HTTP_BAD_REQUEST = 400;

/** Finds owners by the claims on the log, and their addresses by the instance list. */
export class EntryOwnerDirectory extends OwnerDirectory {
  readonly #ownerOf: (trainer: TrainerId) => Option<InstanceId>;

  readonly #addresses = new Map<InstanceId, string>();

  /** @param ownerOf - returns the holder of a trainer's duty */
  constructor(ownerOf: (trainer: TrainerId) => Option<InstanceId>) {
    super();
    this.#ownerOf = ownerOf;
  }

  /** Sets the inner addresses of the other entries. */
  setAddresses(addresses: ReadonlyMap<InstanceId, string>): void {
    this.#addresses.clear();
    addresses.forEach((address, id) => this.#addresses.set(id, address));
  }

  override find(trainer: TrainerId): Option<string> {
    const owner = this.#ownerOf(trainer);
    return isSome(owner) ? fromNullable(this.#addresses.get(owner.value)) : none;
  }

  override forward(
    owner: string,
    call: TrainerCall,
    signal: AbortSignal,
  ): ResultAsync<TrainerReply, Failure> {
    const body = Buffer.from(JSON.stringify(call.body ?? {}));
    const message = { trainer: call.trainer, kind: call.kind, body };
    return new PeerClient(owner)
      .forward(message, { timeoutMs: MAX_CALL_WAIT_MS + FORWARD_MARGIN_MS, signal })
      .map(({ status, body: reply }) => ({
        status,
        body: JSON.parse(reply.toString('utf8')) as unknown,
      }))
      .orElse((failure) => errAsync(createFailure('not_owner', { ...failure, retryAfterMs: 500 })));
  }
}

/**
 * Serves a call that another entry has forwarded.
 *
 * @param service - the trainer API of this entry
 * @param call - the call
 * @param signal - aborts when the trainer disconnects
 * @returns the reply; status 400 for an unknown kind of call
 */
export async function serveForwardedCall(
  service: TrainerService,
  call: ForwardedCall,
  signal: AbortSignal,
): Promise<ForwardedReply> {
  const { kind, trainer } = call;
  if (kind !== 'publish' && kind !== 'create' && kind !== 'samples') {
    return { status: HTTP_BAD_REQUEST, body: Buffer.from('{}') };
  }
  const body = JSON.parse(call.body.toString('utf8')) as unknown;
  const reply = await service.handleLocally({ kind, trainer: trainer as TrainerId, body }, signal);
  return { status: reply.status, body: Buffer.from(JSON.stringify(reply.body)) };
}
