/** Derives the placement request, and the chain points sent to agents, from a request body. */
import {
  type ChainScope,
  estimateTokens,
  promptChain,
  selectPoints,
} from "./chain.ts";
import { prefixLevels, type PromptAPI, renderPrompt } from "./levels.ts";
import type { PlacementRequest } from "./policy.ts";

/** The scope of a prompt, its API and the price of recomputing it. */
export interface PromptSettings {
  scope: ChainScope;
  api: PromptAPI;
  /** Cost of recomputing a token, in ms of waiting time; set by the request's class. */
  recomputePriceMs: number;
}

/**
 * @param body The parsed request body.
 * @param settings Scope, API and price.
 * @returns The input of the placement policy and of `AskRequest`.
 */
export function describePrompt(
  body: Record<string, unknown>,
  settings: PromptSettings,
): PlacementRequest {
  const prompt = renderPrompt(settings.api, body);
  const chain = promptChain(settings.scope, prompt.bytes);
  const levels = prefixLevels(prompt, chain);
  return {
    levels: levels.map((blocks) => ({ blocks, key: chain.keys[blocks - 1]! })),
    points: selectPoints(chain, levels),
    promptTokens: estimateTokens(prompt.bytes.length),
    recomputePriceMs: settings.recomputePriceMs,
  };
}
