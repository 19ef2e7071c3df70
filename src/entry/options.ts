/** Settings that an entry is started with. */
import type { Clock, Logger } from "../base/mod.ts";
import type { PolicyName } from "../placement/policy_name.ts";
import type { WireSecurity } from "../wire/security.ts";
import type { PlanningTuning } from "./pool_planners.ts";
import type { EntryTuning } from "./tuning.ts";

/** Settings of {@link Entry}. */
export interface EntryOptions {
  /** Stable id of the instance; the list of instances uses the same id. */
  instanceId: string;
  zone: string;
  /** `ip:port` of the HTTP listener for callers; port 0 picks a free port. */
  httpAddress: string;
  /** `ip:port` of the administration API's HTTP listener; empty turns the API off. */
  adminAddress: string;
  /** Hex SHA-256 of the administrators' bearer key; empty turns the administration API off. */
  adminKeySha256: string;
  /** `ip:port` of the gRPC listener for peers. */
  peerAddress: string;
  /** `ip:port` of the key-value service's gRPC interface; empty if there is none. */
  storeAddress: string;
  /** URL of the list of instances; if empty, instances are discovered from `seedAddresses`. */
  instanceListUrl: string;
  /** `ip:port` of peers and agents to discover instances and configuration from on start. */
  seedAddresses: string[];
  security: WireSecurity;
  policy: PolicyName;
  /** Round-trip time to each availability zone, in ms. */
  zoneRttMs: Record<string, number>;
  /** How long a graceful shutdown waits for requests in flight, in ms. */
  drainMs: number;
  /** How long `/readyz` fails before a graceful shutdown closes the listener, in ms. */
  unreadyMs: number;
  /** Memory of the instance, in bytes, of which what callers make the entry hold is a part. */
  memoryBytes?: number;
  /** Planning settings that differ from the defaults; undefined turns planning off. */
  planning?: Partial<PlanningTuning> | undefined;
  log: Logger;
  clock: Clock;
  /** Timeouts and bounds that differ from the defaults. */
  tuning?: Partial<EntryTuning>;
}
