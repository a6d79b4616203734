/** Rendezvous hashing: every process ranks the same candidates alike, with little churn. */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

const HASH_SPACE = 2 ** 32;

/** A hash of a key that scores the members of a set. */
export class RendezvousKey {
  readonly #seed: number;

  /** @param key - the key that is to be placed */
  constructor(key: string) {
    this.#seed = h32(key);
  }

  /**
   * Scores a member. The member with the highest score is the key's first choice.
   *
   * @param member - the member's id
   * @param weight - how large a part of all keys the member should get; more than zero
   * @returns a positive score
   */
  score(member: string, weight = 1): number {
    const fraction = (h32(member, this.#seed) + 1) / (HASH_SPACE + 1);
    return weight / -Math.log(fraction);
  }
}
