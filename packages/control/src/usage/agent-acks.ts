/** Tracks which items of each agent haven't been acknowledged yet. */
import type { IncarnationId, RequestId } from '@hibiscushill/base';

/** The number up to which the log has all items that an agent sent to this process. */
export interface AgentAck {
  readonly incarnation: IncarnationId;
  readonly throughSeq: number;
}

/** Holds the numbers of the items that each agent sent and that haven't been acknowledged. */
export class AgentAckTracker {
  readonly #unacknowledged = new Map<IncarnationId, Map<number, RequestId>>();

  /** Adds an item of an agent. */
  add(incarnation: IncarnationId, seq: number, request: RequestId): void {
    const items = this.#unacknowledged.get(incarnation) ?? new Map<number, RequestId>();
    items.set(seq, request);
    this.#unacknowledged.set(incarnation, items);
  }

  /** Discards the items of an agent's incarnation. */
  forget(incarnation: IncarnationId): void {
    this.#unacknowledged.delete(incarnation);
  }

  /**
   * Removes the items that can be acknowledged: each agent's items by number up to the first one
   * that isn't on the log.
   *
   * @param isLogged - tells whether the log has a request's item
   * @returns an acknowledgement for each agent of which items were removed
   */
  takeAcks(isLogged: (request: RequestId) => boolean): AgentAck[] {
    return [...this.#unacknowledged].flatMap(([incarnation, items]) => {
      const throughSeq = removeLogged(items, isLogged);
      if (items.size === 0) this.#unacknowledged.delete(incarnation);
      return throughSeq === undefined ? [] : [{ incarnation, throughSeq }];
    });
  }
}

/** Returns the number of the last item that was removed, or undefined when none was. */
function removeLogged(
  items: Map<number, RequestId>,
  isLogged: (request: RequestId) => boolean,
): number | undefined {
  let throughSeq: number | undefined;
  for (const [seq, request] of [...items].sort(([a], [b]) => a - b)) {
    if (!isLogged(request)) return throughSeq;
    throughSeq = seq;
    items.delete(seq);
  }
  return throughSeq;
}
