/** Settings of backend servers. */
import type { ServiceRates } from "../service_rates/mod.ts";
import type { Announcements } from "./announcements.ts";
import type { ChannelOptions } from "./channel.ts";
import type { OutputTimes } from "./output_times.ts";

/** Timeouts of connections to servers. */
export const CONNECTION_TIMES = {
  /** Servers are a few ms away, so a slower connection attempt means that the server is dead. */
  connectMs: 300,
  /** Idle timeout, unless the server announces a shorter one. */
  idleMs: 4000,
} as const;

/** Limits of a server, from the configuration of its service. */
export interface ServerLimits {
  /** Capacity of the prefix cache, in tokens, that placement may rely on. */
  cacheTokens: number;
  /** Maximum number of connections from all entries together. */
  connectionLimit: number;
  /** Time per token to copy cached tokens from this server within its zone. */
  copyMsPerToken: number;
  /** Learned rates, for engines. */
  learnedRates?: ServiceRates;
  /** Answer times that all servers of the service share; absent: each server has its own. */
  outputTimes?: OutputTimes;
}

/** Settings of a {@link Server}. */
export interface ServerOptions
  extends ServerLimits, Omit<ChannelOptions, "address"> {
  /** Announcements of the same server start before its registration lapsed; undefined: none. */
  announcements?: Announcements;
}
