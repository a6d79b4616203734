/** The fake engine's cache of prompt prefixes, in blocks of fixed size. */
import { hashText } from './tokens';

const BLOCK_CHARS = 64;
const BLOCK_TOKENS = 16;

/** Holds the most recently used blocks of prompts, as an LRU cache. */
export class PrefixCache {
  /** The key of each block depends on all blocks before it. The oldest comes first. */
  readonly #blocks = new Set<string>();

  /** The number of tokens that the cache holds. */
  get tokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }

  /**
   * Looks up a prompt and adds its blocks to the cache.
   *
   * @param trainer - the trainer whose weights read the prompt; trainers share no blocks
   * @param prompt - the prompt
   * @param maxTokens - the number of tokens that the cache may hold afterwards
   * @returns the number of tokens at the start of the prompt that were cached
   */
  lookUp(trainer: string, prompt: string, maxTokens: number): number {
    let cachedTokens = 0;
    let isCached = true;
    let key = trainer;
    for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
      key = `${trainer}:${hashText(key + prompt.slice(end - BLOCK_CHARS, end))}`;
      isCached &&= this.#blocks.delete(key);
      if (isCached) cachedTokens += BLOCK_TOKENS;
      // Deleting it first makes the block the newest one of the set.
      this.#blocks.delete(key);
      this.#blocks.add(key);
    }
    this.#trim(maxTokens);
    return cachedTokens;
  }

  /** Removes all blocks. */
  clear(): void {
    this.#blocks.clear();
  }

  #trim(maxTokens: number): void {
    for (const key of this.#blocks) {
      if (this.tokens <= maxTokens) return;
      this.#blocks.delete(key);
    }
  }
}
