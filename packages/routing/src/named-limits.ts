/** The limits that targets name in their responses. */
import type { MonoTime, TargetId } from '@hibiscushill/base';

/** What a response says about the limit of its target. */
export interface LimitStatement<Incarnation extends string | number> {
  readonly target: TargetId;
  /** The incarnation that the request was sent to. */
  readonly incarnation: Incarnation;
  /** The requests a second that it takes from all callers together; undefined if it names none. */
  readonly perSecond: number | undefined;
  /** When the request was sent. */
  readonly sentAt: MonoTime;
}

/** What a statement changes. */
export type LimitChange = 'learnt' | 'changed' | 'ended';

interface NewestStatement {
  perSecond: number | undefined;
  sentAt: MonoTime;
}

// More than the targets of a large deployment that start in an hour.
const MAX_INCARNATIONS = 4_096;

/**
 * Remembers the newest limit that each incarnation of a target has named. A limit holds until a
 * response to a later request names another one or none: responses to earlier requests may arrive
 * after those to later ones, and change nothing.
 */
export class NamedLimits<Incarnation extends string | number> {
  readonly #statements = new Map<string, NewestStatement>();

  /**
   * Records a statement, unless it is older than the newest one.
   *
   * @returns what it changes; undefined if nothing
   */
  record(statement: LimitStatement<Incarnation>): LimitChange | undefined {
    const { target, incarnation, perSecond, sentAt } = statement;
    const key = createKey(target, incarnation);
    const known = this.#statements.get(key);
    if (known && sentAt < known.sentAt) return undefined;
    this.#statements.delete(key);
    this.#statements.set(key, { perSecond, sentAt });
    this.#removeOldest();
    if (known?.perSecond === perSecond) return undefined;
    if (perSecond === undefined) return 'ended';
    return known?.perSecond === undefined ? 'learnt' : 'changed';
  }

  /** The requests a second that an incarnation takes; undefined if it has named no limit. */
  find(target: TargetId, incarnation: Incarnation): number | undefined {
    return this.#statements.get(createKey(target, incarnation))?.perSecond;
  }

  /** How many incarnations are remembered. */
  get size(): number {
    return this.#statements.size;
  }

  #removeOldest(): void {
    const [oldest] = this.#statements.keys();
    if (this.#statements.size > MAX_INCARNATIONS && oldest !== undefined) {
      this.#statements.delete(oldest);
    }
  }
}

function createKey(target: TargetId, incarnation: string | number): string {
  return `${target} ${incarnation}`;
}
