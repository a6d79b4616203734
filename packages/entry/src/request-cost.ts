/** Estimates of what a request costs, and what makes requests alike. */

const CHARS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 256;
const PREFIX_CHARS = 256;
const MOST_PARSED_BYTES = 1024 * 1024;

/** What a model request says of its size. */
export interface ModelEstimate {
  /** Estimated tokens, of the prompt and the answer. */
  readonly costTokens: number;
  /** The prompt's start; requests that share it can share an engine's cache. */
  readonly prefix: string | undefined;
}

/**
 * Estimates a model request from its body.
 *
 * @param body - the JSON body with `prompt` and `maxTokens`
 * @returns the estimate; a default one for a body that can't be read
 */
export function estimateModelRequest(body: Buffer): ModelEstimate {
  const { prompt, maxTokens } = parse(body);
  const text = typeof prompt === 'string' ? prompt : '';
  const answer = typeof maxTokens === 'number' && maxTokens > 0 ? maxTokens : DEFAULT_MAX_TOKENS;
  return {
    costTokens: Math.ceil(text.length / CHARS_PER_TOKEN) + answer,
    prefix: text === '' ? undefined : text.slice(0, PREFIX_CHARS),
  };
}

function parse(body: Buffer): { prompt?: unknown; maxTokens?: unknown } {
  if (body.length === 0 || body.length > MOST_PARSED_BYTES) return {};
  try {
    const value = JSON.parse(body.toString('utf8')) as unknown;
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}
