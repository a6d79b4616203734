/** Estimates the cost of a model request, and extracts the prefix that its cache affinity uses. */

const CHARS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 256;
const PREFIX_CHARS = 256;
const MAX_PARSED_BYTES = 1024 * 1024;

/** The estimated cost and the prompt prefix of a model request. */
export interface ModelEstimate {
  /** Estimated tokens of the prompt and the response. */
  readonly costTokens: number;
  /** The start of the prompt; requests with the same one can use the same engine's prefix cache. */
  readonly prefix: string | undefined;
}

/**
 * Estimates the cost of a model request from its body.
 *
 * @param body - the JSON body with `prompt` and `maxTokens`
 * @returns the estimate; a default one for a body that is too large to parse or isn't valid JSON
 */
export function estimateModelRequest(body: Buffer): ModelEstimate {
  const { prompt, maxTokens } = parseModelRequest(body);
  const text = typeof prompt === 'string' ? prompt : '';
  const responseTokens =
    typeof maxTokens === 'number' && maxTokens > 0 ? maxTokens : DEFAULT_MAX_TOKENS;
  return {
    costTokens: Math.ceil(text.length / CHARS_PER_TOKEN) + responseTokens,
    prefix: text === '' ? undefined : text.slice(0, PREFIX_CHARS),
  };
}

function parseModelRequest(body: Buffer): { prompt?: unknown; maxTokens?: unknown } {
  if (body.length === 0 || body.length > MAX_PARSED_BYTES) return {};
  try {
    const value = JSON.parse(body.toString('utf8')) as unknown;
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}
