/** Which targets have said in a response that they are leaving. */
import type { TargetId } from '@hibiscushill/base';

// More than the targets of a large deployment that leave in an hour.
const MAX_INCARNATIONS = 4_096;

/**
 * Remembers the incarnations of targets that have said so, and decides by it which targets get new
 * requests: a process that can't read the list of targets learns from their responses alone which
 * of them are about to exit.
 *
 * A statement holds for the incarnation that the request was sent to, for as long as the process
 * runs: a list that shows the target as serving is older, and a target that starts again is another
 * incarnation. A late response of an earlier incarnation therefore says nothing about the next one.
 */
export class LeavingTargets<Incarnation extends string | number> {
  readonly #incarnations = new Set<string>();

  /**
   * Records that an incarnation of a target has said that it is leaving.
   *
   * @returns whether this was not known before
   */
  record(target: TargetId, incarnation: Incarnation): boolean {
    const key = createKey(target, incarnation);
    if (this.#incarnations.has(key)) return false;
    this.#incarnations.add(key);
    const [oldest] = this.#incarnations;
    if (this.#incarnations.size > MAX_INCARNATIONS && oldest !== undefined) {
      this.#incarnations.delete(oldest);
    }
    return true;
  }

  /** Tells whether an incarnation of a target has said that it is leaving. */
  isLeaving(target: TargetId, incarnation: Incarnation): boolean {
    return this.#incarnations.has(createKey(target, incarnation));
  }
}

function createKey(target: TargetId, incarnation: string | number): string {
  return `${target} ${incarnation}`;
}
