/** Answers of the stand-in engine: a pure function of the request, so that tests know the exact text. */
import { hash } from "node:crypto";
import { renderPrompt as renderBytes } from "../placement/levels.ts";

/** Number of prompt bytes that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** Number of answer tokens if the request sets no limit. */
export const DEFAULT_MAX_TOKENS = 16;

/** The parts of a request that determine its answer. */
export interface AnswerInput {
  model: string;
  /** Empty if the request names no adapter. */
  adapter: string;
  /** Full text of the prompt, as returned by {@link renderPrompt}. */
  prompt: string;
  maxTokens: number;
}

const WORDS = [
  "tide ",
  "rope ",
  "kelp ",
  "dock ",
  "gull ",
  "sand ",
  "buoy ",
  "keel ",
  "mast ",
  "reef ",
  "wave ",
  "salt ",
  "cove ",
  "foam ",
  "hull ",
  "tern ",
] as const;

/**
 * Applies the engine's chat template. The router uses the same template to predict which prompt
 * prefixes an engine has cached; see docs/INTERFACES.md.
 *
 * @param api API of the request.
 * @param body Body of the request.
 * @returns Text of the prompt.
 */
export function renderPrompt(
  api: "chat" | "text",
  body: Record<string, unknown>,
): string {
  return Buffer.from(renderBytes(api, body).bytes).toString();
}

/**
 * @param prompt Text of the prompt.
 * @returns Number of tokens in the prompt.
 */
export function countTokens(prompt: string): number {
  return Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN);
}

/**
 * @param input Model, prompt and limit of the request.
 * @returns Tokens of the answer, in order.
 */
export function answerTokens(input: AnswerInput): string[] {
  const seed = hash(
    "sha256",
    JSON.stringify([input.model, input.adapter, input.prompt]),
  );
  const tokens: string[] = [];
  let state = (parseInt(seed.slice(0, 8), 16) ^ input.maxTokens) | 1;
  for (let index = 0; index < input.maxTokens; index++) {
    state = xorshift32(state);
    tokens.push(WORDS[(state >>> 16) % WORDS.length]!);
  }
  return tokens;
}

/**
 * @param input Model, prompt and limit of the request.
 * @returns Full text of the answer.
 */
export function expectedAnswer(input: AnswerInput): string {
  return answerTokens(input).join("");
}

/**
 * @param api API of the request.
 * @param body Body of the request.
 * @returns Full text of the answer to the request.
 */
export function expectedAnswerTo(
  api: "chat" | "text",
  body: Record<string, unknown>,
): string {
  return expectedAnswer(toAnswerInput(api, body));
}

/**
 * @param api API of the request.
 * @param body Body of the request.
 * @returns The parts of the request that determine its answer.
 */
export function toAnswerInput(
  api: "chat" | "text",
  body: Record<string, unknown>,
): AnswerInput {
  const limit = body["max_completion_tokens"] ?? body["max_tokens"];
  return {
    model: String(body["model"] ?? ""),
    adapter: String(body["adapter"] ?? ""),
    prompt: renderPrompt(api, body),
    maxTokens: typeof limit === "number" ? limit : DEFAULT_MAX_TOKENS,
  };
}

/** Advances a 32-bit xorshift generator. */
function xorshift32(state: number): number {
  let next = state;
  next ^= next << 13;
  next ^= next >>> 17;
  next ^= next << 5;
  return next | 0;
}
