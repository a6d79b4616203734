/** The text that the fake engine generates. It depends only on the prompt and the token index. */
const CHARS_PER_TOKEN = 4;
const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const GOLDEN_RATIO_MULTIPLIER = 0x9e3779b1;

/**
 * Computes the 32-bit FNV-1a hash of a text, over its UTF-16 code units.
 *
 * @param text - the text
 * @returns the hash as an unsigned integer
 */
export function hashText(text: string): number {
  let hash = FNV_BASIS;
  for (let i = 0; i < text.length; i += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME) >>> 0;
  }
  return hash;
}

/**
 * Creates the text of one token.
 *
 * @param promptHash - `hashText` of the prompt
 * @param index - the index of the token, from zero
 * @returns the text, which is always the same for a prompt and index
 */
export function createToken(promptHash: number, index: number): string {
  // eslint-disable-next-line no-bitwise
  const mixed = Math.imul(promptHash ^ (index + 1), GOLDEN_RATIO_MULTIPLIER) >>> 0;
  return ` ${mixed.toString(36)}`;
}

/**
 * Creates the texts of all tokens of a response.
 *
 * @param prompt - the prompt
 * @param count - the number of tokens
 * @returns the texts in order
 */
export function createTokens(prompt: string, count: number): string[] {
  const hash = hashText(prompt);
  return Array.from({ length: count }, (_, index) => createToken(hash, index));
}

/**
 * Estimates the number of tokens in a prompt from its length.
 *
 * @param prompt - the prompt
 * @returns the number of tokens
 */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARS_PER_TOKEN);
}
