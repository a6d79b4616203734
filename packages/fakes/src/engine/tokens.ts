/** The text that the engine stand-in makes, known beforehand from prompt and index. */
const CHARS_PER_TOKEN = 4;
const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const GOLDEN = 0x9e3779b1;

/**
 * Hashes a text to 32 bits.
 *
 * @param text - the text
 * @returns the hash, zero or more
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
 * Makes the text of one token.
 *
 * @param promptHash - `hashText` of the prompt
 * @param index - the token's index, from zero
 * @returns the text, the same for the same prompt and index
 */
export function createToken(promptHash: number, index: number): string {
  // eslint-disable-next-line no-bitwise
  const mixed = Math.imul(promptHash ^ (index + 1), GOLDEN) >>> 0;
  return ` ${mixed.toString(36)}`;
}

/**
 * Makes the text of a whole answer.
 *
 * @param prompt - the prompt
 * @param tokens - how many tokens
 * @returns the texts in order
 */
export function createTokens(prompt: string, tokens: number): string[] {
  const hash = hashText(prompt);
  return Array.from({ length: tokens }, (_, index) => createToken(hash, index));
}

/**
 * Estimates the tokens of a prompt.
 *
 * @param prompt - the prompt
 * @returns how many tokens
 */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARS_PER_TOKEN);
}
