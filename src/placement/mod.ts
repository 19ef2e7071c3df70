/** Placement: prefix chains of prompts and policies that choose backend servers. */
export { InFlightPrefixes } from "./in_flight_prefixes.ts";
export {
  blockEnds,
  BYTES_PER_TOKEN,
  cacheSalt,
  CHAIN_BLOCK_BYTES,
  CHAIN_BLOCK_TOKENS,
  type ChainScope,
  chainSeed,
  estimateTokens,
  matchedBlocks,
  MAX_PLACEMENT_LEVELS,
  MAX_POINTS,
  nextKey,
  type PrefixChain,
  promptChain,
  scopeId,
  selectPoints,
} from "./chain.ts";
export {
  prefixLevels,
  type PromptAPI,
  type RenderedPrompt,
  renderPrompt,
} from "./levels.ts";
export { type Member, MemberTable } from "./member_table.ts";
export { createPolicy } from "./create_policy.ts";
export {
  Mechanism,
  type Observation,
  type PlacementRequest,
  type Policy,
  type PolicyOptions,
  type ServerOffer,
} from "./policy.ts";
export { PolicyName } from "./policy_name.ts";
export { describePrompt, type PromptSettings } from "./describe_prompt.ts";
