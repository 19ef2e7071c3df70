/** Settings of an agent process. */
import type { Clock, Logger } from "../base/mod.ts";
import type { WireSecurity } from "../wire/security.ts";

/** The backend server that an agent serves. */
export type BackendServer =
  /** A model engine with an OpenAI-compatible interface. */
  | { kind: "engine"; url: string }
  /** A plain HTTP service. */
  | { kind: "service"; url: string };

/** Settings of {@link Agent}. */
export interface AgentOptions {
  /** Stable id of the instance, as in the list of instances. */
  instanceId: string;
  zone: string;
  pool: string;
  /** `ip:port` to listen on; port 0 picks any free port. */
  listenAddress: string;
  server: BackendServer;
  /** Number of models that the engine can load at once. */
  modelSlots?: number;
  /** `ip:port` of the key-value service's gRPC interface; empty if there is none. */
  storeAddress: string;
  /** Addresses (`ip:port`) of entries to ask for branches on start. */
  seedAddresses: string[];
  security: WireSecurity;
  /** How long a planned stop waits for runs to end, in ms. */
  drainMs: number;
  log: Logger;
  clock: Clock;
}
