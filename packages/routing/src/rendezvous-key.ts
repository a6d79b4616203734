/**
 * Rendezvous hashing: every process computes the same order of members for a key, and a change of
 * the members moves few keys.
 */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

const HASH_SPACE = 2 ** 32;

/** A hashed key that scores the members of a set. */
export class RendezvousKey {
  readonly #seed: number;

  /** @param key - the key to assign to a member */
  constructor(key: string) {
    this.#seed = h32(key);
  }

  /**
   * Scores a member. The key belongs to the member with the highest score.
   *
   * @param member - the member's id
   * @param weight - the member's part of all keys, in proportion to the weights of the others;
   *   greater than zero
   * @returns a positive score
   */
  score(member: string, weight = 1): number {
    const fraction = (h32(member, this.#seed) + 1) / (HASH_SPACE + 1);
    return weight / -Math.log(fraction);
  }
}
