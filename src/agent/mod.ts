/** The agent: a small process that runs beside one backend server. */
export { Agent, ListenError } from "./agent.ts";
export type {
  AgentParts,
  ClaimantIdentity,
  ServerAdapter,
} from "./agent_parts.ts";
export type { AgentOptions, BackendServer } from "./options.ts";
