/** The engine stand-in's cache of prompt prefixes, by blocks. */
import { hashText } from './tokens';

const BLOCK_CHARS = 64;
const BLOCK_TOKENS = 16;

/** Remembers the blocks of prompts met lately. */
export class PrefixCache {
  readonly #blocks = new Set<string>();

  /** How many tokens the cache holds. */
  get tokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }

  /**
   * Looks a prompt up and remembers it.
   *
   * @param trainer - whose weights read the prompt; others share nothing with it
   * @param prompt - the prompt
   * @param capacity - the most tokens to hold
   * @returns how many tokens at the prompt's start were held
   */
  take(trainer: string, prompt: string, capacity: number): number {
    let hits = 0;
    let isHit = true;
    let key = trainer;
    for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
      key = `${trainer}:${hashText(key + prompt.slice(end - BLOCK_CHARS, end))}`;
      isHit &&= this.#blocks.delete(key);
      if (isHit) hits += BLOCK_TOKENS;
      // Deleting first moves the block to the newest place.
      this.#blocks.delete(key);
      this.#blocks.add(key);
    }
    this.#trim(capacity);
    return hits;
  }

  /** Forgets all blocks. */
  clear(): void {
    this.#blocks.clear();
  }

  #trim(capacity: number): void {
    for (const key of this.#blocks) {
      if (this.tokens <= capacity) return;
      this.#blocks.delete(key);
    }
  }
}
