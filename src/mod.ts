/** Public API of cicadahitch as a library: the daemons, the admin client, and their options. */
export { Agent, type AgentOptions, type BackendServer } from "./agent/mod.ts";
export {
  AdminClient,
  type AdminClientFailure,
  type AdminClientOptions,
} from "./admin/mod.ts";
export {
  type Clock,
  createLogger,
  createSilentLogger,
  Lifecycle,
  type Logger,
  type LoggerOptions,
  Metrics,
  systemClock,
} from "./base/mod.ts";
export {
  type InvalidBranch,
  parseBranch,
  type TeamBranch,
} from "./config/branch.ts";
export { Entry, type EntryOptions } from "./entry/mod.ts";
export { PolicyName } from "./placement/policy_name.ts";
export type { WireSecurity } from "./wire/mod.ts";
