/** Which items of which agent aren't on the log yet. */
import type { IncarnationId, RequestId } from '@hibiscushill/base';

/** Says that the log has all that an agent gave to this process up to a number. */
export interface AgentAck {
  readonly incarnation: IncarnationId;
  readonly throughSeq: number;
}

/** The items that agents wait to have acknowledged. */
export class AgentReceipts {
  readonly #waiting = new Map<IncarnationId, Map<number, RequestId>>();

  /** Notes an item of an agent. */
  add(incarnation: IncarnationId, seq: number, request: RequestId): void {
    const items = this.#waiting.get(incarnation) ?? new Map<number, RequestId>();
    items.set(seq, request);
    this.#waiting.set(incarnation, items);
  }

  /** Forgets an agent's incarnation. */
  forget(incarnation: IncarnationId): void {
    this.#waiting.delete(incarnation);
  }

  /**
   * Takes out what can be acknowledged.
   *
   * @param isLogged - tells whether the log has a request's item
   * @returns one acknowledgement for each agent with something new
   */
  settle(isLogged: (request: RequestId) => boolean): AgentAck[] {
    return [...this.#waiting].flatMap(([incarnation, items]) => {
      const throughSeq = takeLogged(items, isLogged);
      if (items.size === 0) this.#waiting.delete(incarnation);
      return throughSeq === undefined ? [] : [{ incarnation, throughSeq }];
    });
  }
}

function takeLogged(
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
