/** The agent: a small process that runs beside one backend server. */
export { Agent, ListenError } from "./agent.ts";
export type {
  AgentDependencies,
  ClaimantIdentity,
  ServerAdapter,
} from "./agent_dependencies.ts";
export type { AgentOptions, BackendServer } from "./options.ts";
